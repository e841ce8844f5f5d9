package guard

import (
	"errors"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

const (
	// bodyTimeout bounds the time for reading a body. A slow body is cut off earlier if there is a
	// want of room.
	bodyTimeout = time.Minute
	// firstBodyBytes is the size of the first buffer for a body. The buffer grows as bytes arrive,
	// because a client may announce a body that it does not send.
	firstBodyBytes = 4 << 10
)

// ReadBody reads the body of a request on a guarded connection. Room for it is taken piece by piece,
// before it is read, and held until the answer is written. It returns *BodyTooLargeError,
// *BodyTimeoutError, *NoRoomError or *BodyError; the room is given back then.
func ReadBody(r *http.Request, timeout time.Duration) ([]byte, error) {
	c := FromContext(r.Context())
	if c == nil || r.Body == nil || r.Body == http.NoBody {
		return nil, nil
	}
	if timeout <= 0 || timeout > bodyTimeout {
		timeout = bodyTimeout
	}
	// A failure means that the connection has ended, which the reads report.
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	body, err := c.readBody(r, timeout)
	if err != nil {
		return nil, err
	}
	_ = c.SetReadDeadline(time.Time{})
	// Trailers are not forwarded.
	r.Trailer = nil
	return body, c.endBody()
}

// readBody reads a body within the limit on its size. If it fails, it gives back the room that it has
// taken.
func (c *Connection) readBody(r *http.Request, timeout time.Duration) ([]byte, error) {
	before := c.held
	body, err := c.readPieces(r)
	if err == nil {
		return body, nil
	}
	c.give(c.held - before)
	err = c.bodyError(err, timeout)
	c.guard.reports.refused(c.at, reasonOf(err))
	return nil, err
}

// readPieces reads a body into a buffer that grows as it fills up.
func (c *Connection) readPieces(r *http.Request) ([]byte, error) {
	if err := c.guard.checkBody(r.ContentLength); err != nil {
		return nil, err
	}
	var buffer []byte
	for {
		if len(buffer) == cap(buffer) {
			grown, err := c.grow(buffer, nextSize(cap(buffer), r.ContentLength))
			if err != nil {
				return nil, err
			}
			buffer = grown
		}
		n, err := r.Body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		if tooLarge := c.guard.checkBody(int64(len(buffer))); tooLarge != nil {
			return nil, tooLarge
		}
		if errors.Is(err, io.EOF) {
			return buffer, nil
		}
		if err != nil {
			return nil, &BodyError{Err: err}
		}
	}
}

// nextSize returns the size of the buffer that follows one of a size. A buffer for a whole body of a
// known length has one byte more, so that its end is read as well; an unknown length is negative.
func nextSize(size int, length int64) int {
	next := max(firstBodyBytes, 2*size)
	if length >= 0 && int64(next) > length {
		return int(length) + 1
	}
	return next
}

// grow returns a larger buffer with the same bytes. While they are copied, both are held.
func (c *Connection) grow(buffer []byte, size int) ([]byte, error) {
	if err := c.take(int64(size)); err != nil {
		return nil, err
	}
	grown := make([]byte, len(buffer), size)
	copy(grown, buffer)
	c.give(int64(cap(buffer)))
	return grown, nil
}

// bodyError returns the reason for which a body could not be read, from the error of its reader.
func (c *Connection) bodyError(err error, timeout time.Duration) error {
	if !errors.Is(err, os.ErrDeadlineExceeded) {
		return err
	}
	if _, evicted := c.status(); evicted {
		return &NoRoomError{RetryAfter: quota.RetryEvicted}
	}
	return &BodyTimeoutError{Timeout: timeout}
}

// reasonOf returns the reason of a refusal in metrics and log lines.
func reasonOf(err error) string {
	var tooLarge *BodyTooLargeError
	var late *BodyTimeoutError
	var noRoom *NoRoomError
	switch {
	case errors.As(err, &tooLarge):
		return refusedBodySize
	case errors.As(err, &late):
		return refusedBodyTimeout
	case errors.As(err, &noRoom):
		return refusedBody
	default:
		return refusedBrokenBody
	}
}
