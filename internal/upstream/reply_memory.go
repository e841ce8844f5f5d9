package upstream

import (
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxLargeReplyBytes bounds the bytes of all large replies that are being received at
	// the same time. Reading them takes up to about twice as much memory.
	maxLargeReplyBytes = 32 << 20
	// smallReplyBytes is the size up to which a reply is received without regard to
	// maxLargeReplyBytes.
	smallReplyBytes = 64 << 10
)

// ReplyMemoryError reports a reply that was not read to its end because too many large
// replies arrived at the same time.
type ReplyMemoryError struct {
	// Limit is the limit for all of them, in bytes.
	Limit int64
}

// Error implements error.
func (e *ReplyMemoryError) Error() string {
	return fmt.Sprintf("large replies exceed %d bytes together", e.Limit)
}

// replyMemory counts the bytes of the large replies that the connections of a pool are
// receiving. Each connection has a limit of its own, but many upstreams in trouble may send
// bytes without end at the same time. It is safe for concurrent use.
type replyMemory struct{ used atomic.Int64 }

// reserve adds bytes, or returns *ReplyMemoryError if there are too many.
func (m *replyMemory) reserve(n int64) error {
	if m.used.Add(n) > maxLargeReplyBytes {
		m.used.Add(-n)
		return &ReplyMemoryError{Limit: maxLargeReplyBytes}
	}
	return nil
}

// release returns reserved bytes.
func (m *replyMemory) release(n int64) { m.used.Add(-n) }

// limitedReader reads from a connection until a limit that its user sets anew for each part
// of a reply. An upstream in trouble may send bytes without end, and net/http buffers the
// whole head of a reply.
type limitedReader struct {
	source io.Reader
	memory *replyMemory
	// left is the number of bytes up to the limit, and limit the limit of the current
	// part.
	left, limit int
	// reserved is the number of bytes of the current part that are counted in memory.
	reserved int64
}

// allow sets the limit for the next part of a reply, and releases the memory of the last.
func (r *limitedReader) allow(limit int) {
	r.left, r.limit = limit, limit
	r.release()
}

// release releases the memory of the current part.
func (r *limitedReader) release() {
	r.memory.release(r.reserved)
	r.reserved = 0
}

// Read implements io.Reader. It returns *ReplyTooLargeError at the limit, and
// *ReplyMemoryError if other connections receive large replies too.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, &ReplyTooLargeError{Limit: r.limit}
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	if excess := int64(r.limit-r.left-smallReplyBytes) - r.reserved; excess > 0 {
		if err := r.memory.reserve(excess); err != nil {
			return 0, err
		}
		r.reserved += excess
	}
	return n, err
}
