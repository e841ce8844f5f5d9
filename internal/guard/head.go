package guard

import "net/http"

// headReader follows the bytes of a request's head as they arrive, without parsing it.
type headReader struct {
	// size counts the bytes of the head, with the empty lines before it, and fields its lines and the
	// parameters of its query.
	size, fields int
	// started is set once a byte of the request line has arrived, and ended once the empty line has
	// that ends the head.
	started, ended bool
	// lineEmpty is set while the current line has no bytes.
	lineEmpty bool
}

// read takes in the next bytes of a connection and returns how many of them, at the start, are empty
// lines before the request, which are to be skipped.
func (h *headReader) read(p []byte) (blank int) {
	for _, b := range p {
		if h.ended {
			return blank
		}
		h.size++
		switch {
		case b == '\n' && !h.started, b == '\r' && !h.started:
			blank++
		case b == '\n':
			h.ended = h.lineEmpty
			h.lineEmpty = true
			h.fields++
		case b == '\r':
		default:
			if b == '&' {
				h.fields++
			}
			h.started, h.lineEmpty = true, false
		}
	}
	return blank
}

// cost returns the memory that the parsed head takes, in bytes.
func (h *headReader) cost() int64 { return headCost(h.size, h.fields) }

// headCost returns the memory that a parsed head of a number of bytes and fields takes, in bytes.
func headCost(size, fields int) int64 {
	return int64(size)*headByteCost + int64(fields)*headFieldCost
}

// costOfHead returns the memory that the parsed head of a request takes, in bytes.
func costOfHead(r *http.Request) int64 {
	h := headReader{started: true}
	h.read([]byte(r.RequestURI))
	for name, values := range r.Header {
		for _, value := range values {
			h.size += len(name) + len(value)
			h.fields++
		}
	}
	return h.cost()
}
