package upstream

import (
	"cmp"
	"fmt"
	"io"
	"sync/atomic"
)

const (
	// maxLargeReplyBytes bounds the bytes of all large replies that are being received at
	// the same time, if no other bound is set. Reading them takes up to about twice as much memory.
	maxLargeReplyBytes = 32 << 20
	// smallReplyBytes is the size up to which a reply's body is received without regard to
	// that bound, and smallHeadBytes that of its head.
	smallReplyBytes = 64 << 10
	smallHeadBytes  = replyBufferBytes
	// headMemoryFactor is the memory that a parsed head takes for each of its bytes, if it has many
	// short header lines.
	headMemoryFactor = 16
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
type replyMemory struct {
	used atomic.Int64
	// limit is set before the pool is used; zero means maxLargeReplyBytes.
	limit int64
}

// SetReplyMemory bounds the bytes of all large replies that are being received at the same time. It
// must be called before the pool is used.
func (p *Pool) SetReplyMemory(bytes int64) { p.memory.limit = bytes }

// reserve adds bytes, or returns *ReplyMemoryError if there are too many.
func (m *replyMemory) reserve(n int64) error {
	limit := cmp.Or(m.limit, maxLargeReplyBytes)
	if m.used.Add(n) > limit {
		m.used.Add(-n)
		return &ReplyMemoryError{Limit: limit}
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
	// free is the number of bytes of the current part that are not counted in memory, and
	// factor the memory that each further one takes.
	free, factor int
	// reserved is the memory that is counted for the reply, in bytes, and head that of its
	// head, which is held until the end of the reply.
	reserved, head int64
}

// allowHead begins a reply: it sets the limit for its head, and releases the memory of the
// last one.
func (r *limitedReader) allowHead() {
	r.release()
	r.left, r.limit, r.free, r.factor = maxHeadBytes, maxHeadBytes, smallHeadBytes, headMemoryFactor
}

// allowBody begins the body of a reply.
func (r *limitedReader) allowBody() {
	r.head = r.reserved
	r.left, r.limit, r.free, r.factor = maxEncodedReplyBytes, maxEncodedReplyBytes, smallReplyBytes, 1
}

// release releases the memory of a reply.
func (r *limitedReader) release() {
	r.memory.release(r.reserved)
	r.reserved, r.head = 0, 0
}

// Read implements io.Reader. It returns *ReplyTooLargeError at the limit, and
// *ReplyMemoryError if other connections receive large replies too.
func (r *limitedReader) Read(buffer []byte) (int, error) {
	if r.left <= 0 {
		return 0, &ReplyTooLargeError{Limit: r.limit}
	}
	n, err := r.source.Read(buffer[:min(len(buffer), r.left)])
	r.left -= n
	if excess := r.head + int64(r.limit-r.left-r.free)*int64(r.factor) - r.reserved; excess > 0 {
		if err := r.memory.reserve(excess); err != nil {
			return 0, err
		}
		r.reserved += excess
	}
	return n, err
}
