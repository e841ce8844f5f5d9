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
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits of a connection.
const (
	// dialTimeout bounds the opening of a connection.
	dialTimeout = 2 * time.Second
	// maxReplyBytes bounds a reply's body.
	maxReplyBytes = 4 << 20
	// replyBufferBytes is the size of the read buffer.
	replyBufferBytes = 8 << 10
	// smallRequestBytes is what a socket takes in one piece, so that a reply cannot
	// come before the whole request was written.
	smallRequestBytes = 4 << 10
)

// UnexpectedReplyError reports a reply that does not belong to the request on
// the connection.
type UnexpectedReplyError struct {
	Want, Got string
}

// Error implements error.
func (e *UnexpectedReplyError) Error() string {
	return fmt.Sprintf("reply for attempt %.60q while waiting for %.60q", e.Got, e.Want)
}

// ReplyTooLargeError reports a reply body over the limit.
type ReplyTooLargeError struct {
	Limit int
}

// Error implements error.
func (e *ReplyTooLargeError) Error() string {
	return fmt.Sprintf("reply is larger than %d bytes", e.Limit)
}

// exchange is one request and how to read its reply.
type exchange struct {
	// request tells how the reply is framed. It is also written, unless encoded
	// holds the bytes to write.
	request *http.Request
	encoded []byte
	// attempt is zero for status reads and cancellations.
	attempt model.AttemptID
	// handle turns a reply into the event that the reducer gets.
	handle func(response *http.Response, body []byte) (event.Event, error)
}

// connection is one HTTP/1.1 connection. A reader goroutine waits for replies,
// and notices at once when the upstream closes an idle connection.
type connection struct {
	id     model.ConnectionID
	submit func(event.Event)
	socket net.Conn

	mu      sync.Mutex
	pending *exchange
	written bool
	// flushed is true once the whole request has been handed to the socket.
	flushed bool
	closed  bool
}

// start writes a request. It reports the end of the connection if that fails.
func (c *connection) start(e *exchange) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		// The reader has already reported the end without this request.
		c.submit(event.ConnectionClosed{Connection: c.id, Attempt: e.attempt, Reason: "already closed"})
		return
	}
	c.pending = e
	c.written = false
	c.flushed = false
	c.mu.Unlock()

	encoded, err := e.encode()
	if err != nil {
		c.end(fmt.Errorf("encode request: %w", err), false)
		return
	}
	c.setWritten()
	if _, err := c.socket.Write(encoded); err != nil {
		c.end(fmt.Errorf("write request: %w", err), false)
		return
	}
	c.mu.Lock()
	c.flushed = true
	c.mu.Unlock()
}

// encode returns the bytes of the request.
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

// setWritten marks the point of no return: from here on the upstream may have
// the request, also when the write fails.
func (c *connection) setWritten() {
	c.mu.Lock()
	c.written = true
	c.mu.Unlock()
}

// read takes in replies until the connection ends.
func (c *connection) read() {
	reader := bufio.NewReaderSize(c.socket, replyBufferBytes)
	for {
		if _, err := reader.Peek(1); err != nil {
			c.end(fmt.Errorf("read: %w", err), false)
			return
		}
		if err := c.readReply(reader); err != nil {
			var unexpected *UnexpectedReplyError
			c.end(err, errors.As(err, &unexpected))
			return
		}
	}
}

// readReply reads one reply and submits its event.
func (c *connection) readReply(reader *bufio.Reader) error {
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
	body, err := io.ReadAll(io.LimitReader(response.Body, maxReplyBytes+1))
	if err != nil {
		return fmt.Errorf("read reply body: %w", err)
	}
	if len(body) > maxReplyBytes {
		return &ReplyTooLargeError{Limit: maxReplyBytes}
	}
	spoiled := c.spoiled(reader, e)
	if spoiled != nil {
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
	if spoiled != nil {
		return spoiled
	}
	if response.Close {
		return io.EOF
	}
	return nil
}

// EarlyReplyError reports a reply that came before the whole request was written.
// The rest of the request would be taken for another one.
type EarlyReplyError struct{}

// Error implements error.
func (EarlyReplyError) Error() string { return "the reply came before the end of the request" }

// spoiled returns why a connection cannot be used after a whole reply, or nil.
func (c *connection) spoiled(reader *bufio.Reader, e *exchange) error {
	if reader.Buffered() > 0 {
		return &UnexpectedReplyError{Got: "any", Want: "none"}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.flushed && len(e.encoded) > smallRequestBytes {
		return EarlyReplyError{}
	}
	return nil
}

// end closes the connection and reports it once.
func (c *connection) end(reason error, mismatch bool) {
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return
	}
	c.closed = true
	closed := event.ConnectionClosed{Connection: c.id, Mismatch: mismatch, Reason: reason.Error()}
	if c.pending != nil {
		closed.Attempt = c.pending.attempt
		closed.Written = c.written
	}
	c.mu.Unlock()
	c.socket.Close()
	c.submit(closed)
}

// workExchange builds a search or an order.
func workExchange(address string, e effect.SendUpstream) (*exchange, error) {
	path, body, err := workBody(e)
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
		return workReply(e, response, body)
	}
	return &exchange{request: request, attempt: e.Attempt, handle: handle}, nil
}

// workBody returns the path and body of a sub-request.
func workBody(e effect.SendUpstream) (path string, body []byte, err error) {
	if e.Kind == message.KindOrder {
		return OrderPath, e.Body, nil
	}
	body, err = json.Marshal(SearchRequest{Version: e.Version, Shards: e.Shards, Query: e.Body})
	if err != nil {
		return "", nil, fmt.Errorf("encode search: %w", err)
	}
	return SearchPath, body, nil
}

// newRequest builds a request that is written to a connection of our own.
func newRequest(method, address, path string, body []byte) (*http.Request, error) {
	request, err := http.NewRequestWithContext(context.Background(), method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, fmt.Errorf("build request to %s: %w", address, err)
	}
	return request, nil
}

// workReply classifies the reply to a sub-request.
func workReply(e effect.SendUpstream, response *http.Response, body []byte) (event.Event, error) {
	echoed := response.Header.Get(AttemptHeader)
	if echoed != e.Attempt.String() {
		return nil, &UnexpectedReplyError{Want: e.Attempt.String(), Got: echoed}
	}
	reply := event.UpstreamReply{
		Connection: e.Connection,
		Attempt:    e.Attempt,
		Status:     classify(response),
		RetryAfter: retryAfter(response),
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

// classify maps an HTTP status to a class of reply. Only a refusal that says so
// itself counts as not run.
func classify(response *http.Response) event.UpstreamStatus {
	switch response.StatusCode {
	case http.StatusOK:
		return event.UpstreamAnswered
	case http.StatusGone:
		return event.UpstreamVersionGone
	case StatusCancelled:
		return event.UpstreamCancelled
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		if response.Header.Get(NotRunHeader) == "true" {
			return event.UpstreamShed
		}
	}
	return event.UpstreamFailed
}

// retryAfter reads the Retry-After header in seconds; zero if there is none.
func retryAfter(response *http.Response) time.Duration {
	seconds, err := strconv.Atoi(response.Header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// statusExchange builds a status read.
func statusExchange(address string, id model.ConnectionID) (*exchange, error) {
	request, err := newRequest(http.MethodGet, address, StatusPath, nil)
	if err != nil {
		return nil, err
	}
	handle := func(_ *http.Response, body []byte) (event.Event, error) {
		var status StatusReply
		if err := json.Unmarshal(body, &status); err != nil {
			return nil, fmt.Errorf("decode status: %w", err)
		}
		return event.UpstreamStatusRead{
			Connection: id,
			Holdings:   status.Holdings,
			Draining:   status.Draining,
			InFlight:   status.InFlight,
		}, nil
	}
	return &exchange{request: request, handle: handle}, nil
}

// cancelExchange builds a cancellation.
func cancelExchange(address string, e effect.CancelUpstream) (*exchange, error) {
	request, err := newRequest(http.MethodDelete, address, AttemptsPath+e.Attempt.String(), nil)
	if err != nil {
		return nil, err
	}
	handle := func(*http.Response, []byte) (event.Event, error) {
		return event.UpstreamCancelDone{Connection: e.Connection}, nil
	}
	return &exchange{request: request, handle: handle}, nil
}
