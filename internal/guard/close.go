package guard

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// evictedDeadline is a read deadline in the past.
var evictedDeadline = time.Unix(1, 0)

// evict makes the connection end. A request that is being read is refused by its reader; an answer
// that is being written is cut, and the kernel drops what it has not sent.
func (c *Connection) evict() {
	c.mu.Lock()
	c.evicted = true
	phase := c.phase
	if phase == quota.Head || phase == quota.Body {
		// A failure means that the connection has ended.
		_ = c.Conn.SetReadDeadline(evictedDeadline)
	}
	c.mu.Unlock()
	c.guard.reports.evicted(c.at, phase)
	if phase == quota.Head || phase == quota.Body {
		return
	}
	c.reset()
	c.Conn.Close()
}

// refuseEvicted refuses the request of an evicted connection if it has begun, and returns the error
// with which the connection ends.
func (c *Connection) refuseEvicted() error {
	if c.head.size == 0 {
		return &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}
	}
	return c.refuse(&NoRoomError{RetryAfter: quota.RetryEvicted})
}

// refuse refuses a request whose head has not been read to its end, and returns the error with which
// the connection ends. Its type keeps net/http from an answer of its own.
func (c *Connection) refuse(reason error) error {
	status := http.StatusServiceUnavailable
	if _, tooLarge := reason.(*HeadTooLargeError); tooLarge {
		status = http.StatusRequestHeaderFieldsTooLarge
		c.guard.reports.refused(c.at, refusedHeadSize)
	} else {
		c.guard.reports.refused(c.at, refusedHead)
	}
	if c.carries == HTTP {
		c.refused.Store(true)
		// A failure means that the client has closed the connection.
		_ = c.Conn.SetWriteDeadline(time.Now().Add(lingerTime))
		_, _ = io.WriteString(c.Conn, c.guard.refusalText(status, reason))
	}
	c.give(c.held)
	return &net.OpError{Op: "read", Net: "tcp", Err: reason}
}

// refusalText returns an answer that refuses a request and ends its connection.
func (g *Guard) refusalText(status int, reason error) string {
	retryAfter := ""
	if noRoom, isNoRoom := reason.(*NoRoomError); isNoRoom && noRoom.RetryAfter > 0 {
		retryAfter = "Retry-After: " + g.formatRetryAfter(noRoom.RetryAfter) + "\r\n"
	}
	text := reason.Error() + "\n"
	return fmt.Sprintf("HTTP/1.1 %d %s\r\nContent-Type: text/plain; charset=utf-8\r\nContent-Length: %d\r\n%sConnection: close\r\n\r\n%s",
		status, http.StatusText(status), len(text), retryAfter, text)
}

const (
	// lingerTime is how long a refused connection is read from before it is closed. A close with
	// unread bytes would reset it, and the client might lose the refusal.
	lingerTime = 500 * time.Millisecond
	// lingerBytes bounds what is read meanwhile.
	lingerBytes = 256 << 10
	// sendTime is how long a connection stays open for an answer that the client has not read to its
	// end. The kernel would keep it after a close, out of reach of the account.
	sendTime = time.Minute
	// sendCheckInterval is the time between two looks at what is left of it.
	sendCheckInterval = 100 * time.Millisecond
)

// Close implements net.Conn. The connection is closed later if its request was refused, or if much of
// its answer has not been sent.
func (c *Connection) Close() error {
	var err error
	c.closing.Do(func() {
		_, evicted := c.status()
		queued := int64(0)
		if c.unsent.Load() > bufferedAnswerBytes {
			queued = c.sendQueue()
		}
		switch {
		case evicted:
			err = c.Conn.Close()
			c.release()
		case queued > 0:
			go c.awaitSent(queued)
		case c.refused.Load():
			go c.linger()
		default:
			err = c.Conn.Close()
			c.release()
		}
	})
	return err
}

// linger waits for the client of a refused request to close its side, and then closes the connection.
func (c *Connection) linger() {
	defer c.release()
	defer c.Conn.Close()
	c.closeWrite()
	_ = c.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}

// awaitSent closes the connection once the kernel has sent what it has of the answer, or sendTime has
// passed. Until then the connection counts as one whose answer is not read.
func (c *Connection) awaitSent(queued int64) {
	defer c.release()
	defer c.Conn.Close()
	c.guard.keep(c.id, connectionBytes+queued)
	c.enter(quota.Answer)
	c.closeWrite()
	for until := time.Now().Add(sendTime); time.Now().Before(until) && c.sendQueue() > 0; {
		_ = c.SetReadDeadline(time.Now().Add(sendCheckInterval))
		_, err := io.CopyN(io.Discard, c.Conn, lingerBytes)
		switch {
		case err == nil || errors.Is(err, io.EOF):
			// A client that has closed its sending side may read on.
			time.Sleep(sendCheckInterval)
		case !errors.Is(err, os.ErrDeadlineExceeded):
			return
		}
	}
	c.reset()
}

// closeWrite tells the client that nothing follows what has been written.
func (c *Connection) closeWrite() {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		_ = tcp.CloseWrite()
	}
}

// reset makes the kernel drop what it has not sent when the connection is closed.
func (c *Connection) reset() {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP && c.sendQueue() > 0 {
		_ = tcp.SetLinger(0)
	}
}
