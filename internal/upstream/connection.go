package upstream

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hawthorntack/hawthorntack/internal/bounded"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits of a connection.
const (
	// dialTimeout bounds the time to open a connection, including the TLS handshake. It is
	// shorter than the retransmission of a lost SYN, in whose place the next dial comes.
	dialTimeout = 800 * time.Millisecond
	// maxReplyBytes bounds the size of a reply body.
	maxReplyBytes = 4 << 20
	// maxHeadBytes bounds the size of a reply's status line and headers.
	maxHeadBytes = 64 << 10
	// maxEncodedReplyBytes bounds the bytes of a reply body with its transfer encoding.
	maxEncodedReplyBytes = 2 * maxReplyBytes
	// presizedBodyBytes bounds the memory that is allocated for a body before its bytes
	// have arrived.
	presizedBodyBytes = 64 << 10
	// replyBufferBytes is the size of the read buffer.
	replyBufferBytes = 8 << 10
	// smallRequestBytes is the largest request that a socket accepts in a single
	// write, so that no reply can arrive before the whole request was written.
	smallRequestBytes = 4 << 10
)

// UnexpectedReplyError reports a reply that does not match the pending request on the
// connection, or that arrives without one. Want and Got are attempt identifiers, or
// "none" and "any" without a pending request.
type UnexpectedReplyError struct {
	Want, Got string
}

// Error implements error.
func (e *UnexpectedReplyError) Error() string {
	return fmt.Sprintf("reply for attempt %.60q while waiting for %.60q", e.Got, e.Want)
}

// ReplyTooLargeError reports a reply whose head or body exceeds the limit, in bytes.
type ReplyTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *ReplyTooLargeError) Error() string {
	return fmt.Sprintf("reply is larger than %d bytes", e.Limit)
}

// exchange is a request together with the handler of its reply.
type exchange struct {
	// request determines how the reply is framed. It is also the request to write,
	// unless encoded is set.
	request *http.Request
	// encoded holds the bytes to write, or nil to encode request. body follows them; the attempts of a
	// request share it.
	encoded []byte
	body    []byte
	// attempt is zero for status reads and cancellations.
	attempt model.AttemptID
	// reused is set if the connection has carried another request before.
	reused bool
	// handle converts a reply into an event for the reducer. An error closes the
	// connection.
	handle func(response *http.Response, body []byte) (event.Event, error)
}

// connection is an HTTP/1.1 connection. A reader goroutine waits for replies and detects
// immediately when the upstream closes an idle connection.
type connection struct {
	id     model.ConnectionID
	submit func(event.Event)
	socket net.Conn
	// raw gives access to the socket for writes that do not block. It is nil for
	// connections with TLS.
	raw syscall.RawConn
	// memory is shared by all connections of the pool.
	memory *replyMemory

	mu sync.Mutex
	// pending is the exchange whose reply is outstanding, or nil.
	pending *exchange
	// writeStarted is true once the upstream may have received a byte of the request.
	writeStarted bool
	// writeCompleted is true once the whole request has been handed to the socket.
	writeCompleted bool
	// used is true once a request has been sent.
	used   bool
	closed bool
}

// newConnection returns a connection over an open socket.
func newConnection(id model.ConnectionID, submit func(event.Event), socket net.Conn, memory *replyMemory) *connection {
	c := &connection{id: id, submit: submit, socket: socket, memory: memory}
	if tcp, ok := socket.(*net.TCPConn); ok {
		// Without access to the socket, requests are written in a goroutine.
		c.raw, _ = tcp.SyscallConn()
	}
	return c
}

// start writes a request without blocking. It returns false if the connection has ended,
// which was reported without the request. A failed write closes the connection.
func (c *connection) start(e *exchange) bool {
	encoded, err := e.encode()
	if !c.setPending(e, err == nil) {
		return false
	}
	if err != nil {
		go c.end(fmt.Errorf("encode request: %w", err), false)
		return true
	}
	rest := [][]byte{encoded, e.body}
	if len(encoded)+len(e.body) <= smallRequestBytes {
		rest = [][]byte{append(encoded, e.body...)}
	}
	if rest = c.tryWrite(rest); len(rest) == 0 {
		c.markWriteCompleted()
		return true
	}
	go c.writeRest(rest)
	return true
}

// setPending makes a request the pending one. It returns false if the connection has ended. If the
// request is about to be written, it counts as written from now on: the connection may end, and
// report it, before the write.
func (c *connection) setPending(e *exchange, writes bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.pending = e
	e.reused = c.used
	c.used = true
	c.writeStarted = writes
	c.writeCompleted = false
	return true
}

// tryWrite writes as much as the socket accepts at once and returns what is left. That, or the
// error, is for writeRest.
func (c *connection) tryWrite(parts [][]byte) (rest [][]byte) {
	if c.raw == nil {
		return parts
	}
	// Both errors show again in the write of the rest.
	_ = c.raw.Write(func(fd uintptr) bool {
		for len(parts) > 0 {
			n, err := unix.Write(int(fd), parts[0])
			if err != nil {
				break
			}
			if n < len(parts[0]) {
				parts = append([][]byte{parts[0][n:]}, parts[1:]...)
				break
			}
			parts = parts[1:]
		}
		return true
	})
	return parts
}

// writeRest writes what the socket did not accept at once. If that fails, it closes the
// connection and reports it.
func (c *connection) writeRest(parts [][]byte) {
	for _, part := range parts {
		if _, err := c.socket.Write(part); err != nil {
			c.end(fmt.Errorf("write request: %w", err), false)
			return
		}
	}
	c.markWriteCompleted()
}

// markWriteCompleted records that the whole request has been handed to the socket.
func (c *connection) markWriteCompleted() {
	c.mu.Lock()
	c.writeCompleted = true
	c.mu.Unlock()
}

// encode returns the bytes of the request to write.
func (e *exchange) encode() ([]byte, error) {
	if e.encoded != nil {
		return e.encoded, nil
	}
	var encoded bytes.Buffer
	if err := e.request.Write(&encoded); err != nil {
		return nil, err
	}
	return encoded.Bytes(), nil
}

// read handles replies until the connection ends.
func (c *connection) read() {
	limited := &limitedReader{source: c.socket, memory: c.memory}
	defer limited.release()
	reader := bufio.NewReaderSize(limited, replyBufferBytes)
	for {
		limited.allowHead()
		if _, err := reader.Peek(1); err != nil {
			c.end(fmt.Errorf("read: %w", err), false)
			return
		}
		if err := c.readReply(reader, limited); err != nil {
			var unexpected *UnexpectedReplyError
			c.end(err, errors.As(err, &unexpected))
			return
		}
	}
}

// readReply reads one reply and submits its event. An error means that the connection
// cannot be used any longer; the event may have been submitted nevertheless.
func (c *connection) readReply(reader *bufio.Reader, limited *limitedReader) error {
	c.mu.Lock()
	e := c.pending
	c.mu.Unlock()
	if e == nil {
		return &UnexpectedReplyError{Got: "any", Want: "none"}
	}
	response, err := http.ReadResponse(reader, e.request)
	if err != nil {
		return fmt.Errorf("read reply: %w", err)
	}
	limited.allowBody()
	body, err := readBody(response)
	if err != nil {
		return err
	}
	reuseErr := c.checkReusable(reader, e)
	if reuseErr != nil {
		response.Close = true
	}
	result, err := e.handle(response, body)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.pending = nil
	c.mu.Unlock()
	c.submit(result)
	if reuseErr != nil {
		return reuseErr
	}
	if response.Close {
		return io.EOF
	}
	return nil
}

// readBody reads the body of a reply. It returns *ReplyTooLargeError if the body exceeds
// maxReplyBytes.
func readBody(response *http.Response) ([]byte, error) {
	if response.ContentLength > maxReplyBytes {
		return nil, &ReplyTooLargeError{Limit: maxReplyBytes}
	}
	if response.ContentLength >= 0 && response.ContentLength <= presizedBodyBytes && response.Body != http.NoBody {
		body := make([]byte, response.ContentLength)
		if _, err := io.ReadFull(response.Body, body); err != nil {
			return nil, fmt.Errorf("read reply body: %w", err)
		}
		return body, nil
	}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read reply body: %w", err)
	}
	if len(body) > maxReplyBytes {
		return nil, &ReplyTooLargeError{Limit: maxReplyBytes}
	}
	return body, nil
}

// EarlyReplyError reports a reply that arrived before the whole request was written. The
// connection cannot be reused, because the upstream would parse the rest of the request
// as another request.
type EarlyReplyError struct{}

// Error implements error.
func (EarlyReplyError) Error() string { return "reply received before the whole request was written" }

// checkReusable returns an error if the connection cannot be used for another request
// after a complete reply.
func (c *connection) checkReusable(reader *bufio.Reader, e *exchange) error {
	if reader.Buffered() > 0 {
		return &UnexpectedReplyError{Got: "any", Want: "none"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.writeCompleted && len(e.encoded)+len(e.body) > smallRequestBytes {
		return EarlyReplyError{}
	}
	return nil
}

// maxReasonBytes bounds the text of an error, which may quote what an upstream has sent.
const maxReasonBytes = 200

// end closes the connection and reports its end to the reducer. Only the first call has an
// effect. The mismatch flag is true if a reply did not match the pending request.
func (c *connection) end(reason error, mismatch bool) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	text := reason.Error()
	closed := event.ConnectionClosed{Connection: c.id, Mismatch: mismatch, Reason: text[:min(len(text), maxReasonBytes)]}
	if c.pending != nil {
		closed.Attempt = c.pending.attempt
		closed.Written = c.writeStarted
	}
	c.mu.Unlock()
	c.socket.Close()
	c.submit(closed)
}

// attemptExchange returns the exchange of a search or an order.
func attemptExchange(address string, e effect.SendUpstream) (*exchange, error) {
	path, body, err := attemptBody(e)
	if err != nil {
		return nil, err
	}
	request, err := newRequest(http.MethodPost, address, path, body)
	if err != nil {
		return nil, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set(AttemptHeader, e.Attempt.String())
	request.Header.Set(TimeoutHeader, strconv.FormatInt(max(1, e.TimeLeft.Milliseconds()), 10))
	if !e.RequestID.IsZero() {
		request.Header.Set(RequestHeader, e.RequestID.String())
	}
	handle := func(response *http.Response, body []byte) (event.Event, error) {
		return attemptReply(e, response, body)
	}
	return &exchange{request: request, attempt: e.Attempt, handle: handle}, nil
}

// attemptBody returns the path and the body of a search or an order.
func attemptBody(e effect.SendUpstream) (path string, body []byte, err error) {
	if e.Kind == message.KindOrder {
		return OrderPath, e.Body, nil
	}
	body, err = json.Marshal(SearchRequest{Version: e.Version, Shards: e.Shards, Query: e.Body})
	if err != nil {
		return "", nil, fmt.Errorf("encode search: %w", err)
	}
	return SearchPath, body, nil
}

// newRequest returns a request to be written directly to a connection, without an
// http.Client.
func newRequest(method, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request to %s: %w", address, err)
	}
	return request, nil
}

// attemptReply decodes the reply to a search or an order. It returns
// *UnexpectedReplyError if the reply does not echo the attempt's identifier.
func attemptReply(e effect.SendUpstream, response *http.Response, body []byte) (event.Event, error) {
	echoed := response.Header.Get(AttemptHeader)
	if echoed != e.Attempt.String() {
		return nil, &UnexpectedReplyError{Want: e.Attempt.String(), Got: echoed}
	}
	reply := event.UpstreamReply{
		Connection: e.Connection,
		Attempt:    e.Attempt,
		Status:     classify(e.Kind, response),
		RetryAfter: parseRetryAfter(response),
		Draining:   response.Header.Get(DrainingHeader) == "true",
		Closing:    response.Close,
	}
	if reply.Status != event.UpstreamAnswered {
		return reply, nil
	}
	if e.Kind == message.KindOrder {
		reply.Rows = []model.Row{body}
		return reply, nil
	}
	var decoded SearchReply
	if err := json.Unmarshal(body, &decoded); err != nil || len(decoded.Rows) != len(decoded.Shards) {
		reply.Status = event.UpstreamFailed
		return reply, nil
	}
	reply.Version = decoded.Version
	reply.Rows = decoded.Rows
	reply.RowShards = decoded.Shards
	return reply, nil
}

// classify maps the reply to a request of a kind to a class. A refusal counts as not run only if
// it carries NotRunHeader, or if it names a version, which an order has not.
func classify(kind message.Kind, response *http.Response) event.UpstreamStatus {
	switch response.StatusCode {
	case http.StatusOK:
		return event.UpstreamAnswered
	case http.StatusGone:
		if kind == message.KindSearch {
			return event.UpstreamVersionGone
		}
	case StatusCancelled:
		return event.UpstreamCancelled
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if response.Header.Get(NotRunHeader) == "true" {
			return event.UpstreamShed
		}
	}
	return event.UpstreamFailed
}

// parseRetryAfter returns the value of the Retry-After header, which is in seconds, or
// zero if it is missing or invalid.
func parseRetryAfter(response *http.Response) time.Duration {
	seconds, _ := bounded.ParseWhole(response.Header.Get("Retry-After"), int64(bounded.MaxDuration/time.Second))
	return time.Duration(seconds) * time.Second
}

// statusExchange returns the exchange of a status read.
func statusExchange(address string, id model.ConnectionID) (*exchange, error) {
	request, err := newRequest(http.MethodGet, address, StatusPath, nil)
	if err != nil {
		return nil, err
	}
	handle := func(response *http.Response, body []byte) (event.Event, error) {
		if err := checkNoAttempt(response); err != nil {
			return nil, err
		}
		var status StatusReply
		if err := json.Unmarshal(body, &status); err != nil {
			return nil, fmt.Errorf("decode status: %w", err)
		}
		return event.UpstreamStatusRead{
			Connection: id,
			Holdings:   status.Holdings,
			Draining:   status.Draining,
			InFlight:   bounded.Count(status.InFlight),
		}, nil
	}
	return &exchange{request: request, handle: handle}, nil
}

// cancelExchange returns the exchange of a cancellation.
func cancelExchange(address string, e effect.CancelUpstream) (*exchange, error) {
	request, err := newRequest(http.MethodDelete, address, AttemptsPath+e.Attempt.String(), nil)
	if err != nil {
		return nil, err
	}
	handle := func(response *http.Response, _ []byte) (event.Event, error) {
		if err := checkNoAttempt(response); err != nil {
			return nil, err
		}
		return event.UpstreamCancelDone{Connection: e.Connection}, nil
	}
	return &exchange{request: request, handle: handle}, nil
}

// checkNoAttempt returns *UnexpectedReplyError if a reply belongs to an attempt: a late copy of
// such a reply may arrive where the reply to a status read or a cancellation is expected.
func checkNoAttempt(response *http.Response) error {
	if attempt := response.Header.Get(AttemptHeader); attempt != "" {
		return &UnexpectedReplyError{Want: "none", Got: attempt}
	}
	return nil
}
