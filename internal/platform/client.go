package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
)

// Limits of the client.
const (
	// hostListTimeout bounds a read of the host list.
	hostListTimeout = 2 * time.Second
	// watchMargin is subtracted from a watch's timeout, so that its reply arrives
	// in time if nothing changes.
	watchMargin = 500 * time.Millisecond
	// maxIdleConnections bounds the idle connections to the platform.
	maxIdleConnections = 8
	idleTimeout        = 90 * time.Second
)

// StatusError reports an HTTP status that the protocol does not define.
type StatusError struct {
	Path   string
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform %s: unexpected HTTP status %d", e.Path, e.Status)
}

// Client implements Store and HostLister over HTTP. It never retries:
// the reducer decides what to do about a lost reply. It is safe for concurrent use.
type Client struct {
	base   string
	client *http.Client
}

// NewClient returns a client of the platform at a base URL such as
// "http://127.0.0.1:9400".
func NewClient(base string) *Client {
	transport := &http.Transport{
		MaxIdleConns:        maxIdleConnections,
		MaxIdleConnsPerHost: maxIdleConnections,
		IdleConnTimeout:     idleTimeout,
	}
	return &Client{base: base, client: &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// Call implements Store. A call that did not get a connection returns
// event.StoreRejected. Any other call without a valid reply returns
// event.StoreUnknown.
func (c *Client) Call(ctx context.Context, call effect.CallStore) event.StoreResult {
	body, err := json.Marshal(NewStoreRequest(call, watchWait(call)))
	if err != nil {
		return event.StoreResult{Operation: call.Operation, Status: event.StoreRejected}
	}
	result, connected, err := c.post(ctx, StorePath+VerbName(call.Verb), body)
	if err != nil {
		result = event.StoreResult{Status: statusWithoutReply(connected)}
	}
	result.Operation = call.Operation
	return result
}

// watchWait returns how long the service may hold a watch before it replies, or
// zero for other calls.
func watchWait(call effect.CallStore) time.Duration {
	if call.Verb != effect.StoreWatch {
		return 0
	}
	return max(call.Timeout/2, call.Timeout-watchMargin)
}

// statusWithoutReply returns the status of a call without a reply.
func statusWithoutReply(connected bool) event.StoreStatus {
	if connected {
		return event.StoreUnknown
	}
	return event.StoreRejected
}

// post sends one request. It also reports whether it got a connection, in
// which case the request may have been written.
func (c *Client) post(ctx context.Context, path string, body []byte) (result event.StoreResult, connected bool, err error) {
	var gotConnection atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { gotConnection.Store(true) }}
	request, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, trace), http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return result, false, fmt.Errorf("platform %s: %w", path, err)
	}
	// Without GetBody the transport cannot send the request a second time.
	request.GetBody = nil
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return result, gotConnection.Load(), fmt.Errorf("platform %s: %w", path, err)
	}
	defer response.Body.Close()
	status := storeStatus(response.StatusCode)
	if status == event.StoreUnknown {
		return result, true, &StatusError{Path: path, Status: response.StatusCode}
	}
	var reply StoreReply
	if err := decode(response.Body, &reply); err != nil {
		return result, true, fmt.Errorf("platform %s: %w", path, err)
	}
	return reply.result(status), true, nil
}

// Hosts implements HostLister.
func (c *Client) Hosts(ctx context.Context) event.HostList {
	reply, err := c.hosts(ctx)
	if err != nil {
		return event.HostList{Failed: true}
	}
	return event.HostList{Hosts: reply.Hosts, DrainingUpstreams: reply.DrainingUpstreams}
}

// hosts requests the host list. It returns *StatusError if the status is not 200.
func (c *Client) hosts(ctx context.Context) (HostsReply, error) {
	ctx, cancel := context.WithTimeout(ctx, hostListTimeout)
	defer cancel()
	var reply HostsReply
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+HostsPath, nil)
	if err != nil {
		return reply, fmt.Errorf("platform host list: %w", err)
	}
	response, err := c.client.Do(request)
	if err != nil {
		return reply, fmt.Errorf("platform host list: %w", err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return reply, &StatusError{Path: HostsPath, Status: response.StatusCode}
	}
	if err := decode(response.Body, &reply); err != nil {
		return reply, fmt.Errorf("platform host list: %w", err)
	}
	return reply, nil
}

// decode decodes one JSON value from a body, of which it reads at most MaxBodyBytes. The
// connection can be used again if nothing follows the value.
func decode(body io.Reader, into any) error {
	return json.NewDecoder(io.LimitReader(body, MaxBodyBytes)).Decode(into)
}
