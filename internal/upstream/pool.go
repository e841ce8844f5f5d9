package upstream

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Pool holds the connections that the reducer has opened, keyed by the reducer's
// connection identifiers. All decisions are made by the reducer. The methods of Pool do
// not block, except CloseAll.
type Pool struct {
	submit func(event.Event)
	tls    *tls.Config
	codec  Codec
	memory replyMemory

	mu          sync.Mutex
	connections map[model.ConnectionID]*connectionHandle
	goroutines  sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
}

// connectionHandle holds a connection from the start of its dial to its end.
type connectionHandle struct {
	address string
	// connection is nil until the dial has succeeded.
	connection atomic.Pointer[connection]
	cancel     context.CancelFunc
}

// NewPool returns an empty pool that submits events to the reducer. Connections use
// plain TCP if the TLS configuration is nil.
func NewPool(tlsConfig *tls.Config, submit func(event.Event)) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		submit:      submit,
		tls:         tlsConfig,
		connections: make(map[model.ConnectionID]*connectionHandle),
		ctx:         ctx,
		cancel:      cancel,
	}
}

// Codec encodes forwarded requests and decodes their replies in the upstreams' own
// protocol over HTTP/1.1.
type Codec interface {
	// EncodeHead returns the bytes of a request up to its body, as written to the connection. The
	// body follows unchanged.
	EncodeHead(e effect.SendForward) []byte
	// Decode decodes a complete reply. An error means that the reply does not
	// belong to the request, and closes the connection. reused is true if the connection
	// has carried another request before, whose reply may arrive again.
	Decode(e effect.SendForward, reused bool, response *http.Response, body []byte) (event.ForwardReply, error)
}

// SetCodec sets the codec of forwarded requests. It must be called before the first
// call of Forward.
func (p *Pool) SetCodec(codec Codec) { p.codec = codec }

// Forward sends a routed request. ForwardReply or ConnectionClosed follows.
func (p *Pool) Forward(e effect.SendForward) {
	attempt := model.AttemptID{Number: e.Attempt}
	h := p.lookup(e.Connection)
	if h == nil {
		p.submitAsync(event.ConnectionClosed{Connection: e.Connection, Attempt: attempt, Reason: "already closed"})
		return
	}
	x := &exchange{
		request: &http.Request{Method: e.Request.Method},
		encoded: p.codec.EncodeHead(e),
		body:    e.Request.Body,
		attempt: attempt,
	}
	x.handle = func(response *http.Response, body []byte) (event.Event, error) {
		reply, err := p.codec.Decode(e, x.reused, response, body)
		reply.Closing = response.Close
		return reply, err
	}
	p.start(h, e.Connection, x)
}

// Open dials an upstream. ConnectionOpened or ConnectionClosed follows.
func (p *Pool) Open(e effect.OpenConnection) {
	ctx, cancel := context.WithCancel(p.ctx)
	h := &connectionHandle{address: e.Address, cancel: cancel}
	p.mu.Lock()
	p.connections[e.Connection] = h
	p.mu.Unlock()
	p.goroutines.Add(1)
	go func() {
		defer p.goroutines.Done()
		defer cancel()
		p.run(ctx, e.Connection, h)
		p.mu.Lock()
		delete(p.connections, e.Connection)
		p.mu.Unlock()
	}()
}

// Close closes a connection. ConnectionClosed follows.
func (p *Pool) Close(e effect.CloseConnection) {
	if h := p.lookup(e.Connection); h != nil {
		h.cancel()
	}
}

// Send sends a search or an order. UpstreamReply or ConnectionClosed follows.
func (p *Pool) Send(e effect.SendUpstream) {
	h := p.lookup(e.Connection)
	if h == nil {
		p.submitAsync(event.ConnectionClosed{Connection: e.Connection, Attempt: e.Attempt, Reason: "already closed"})
		return
	}
	x, err := attemptExchange(h.address, e)
	if err != nil {
		p.submitAsync(event.UpstreamReply{Connection: e.Connection, Attempt: e.Attempt, Status: event.UpstreamShed})
		return
	}
	p.start(h, e.Connection, x)
}

// ReadStatus requests the status of an upstream.
func (p *Pool) ReadStatus(e effect.ReadUpstreamStatus) {
	h := p.lookup(e.Connection)
	if h == nil {
		return
	}
	if x, err := statusExchange(h.address, e.Connection); err == nil {
		p.start(h, e.Connection, x)
	}
}

// Cancel requests that an upstream stop an attempt.
func (p *Pool) Cancel(e effect.CancelUpstream) {
	h := p.lookup(e.Connection)
	if h == nil {
		return
	}
	if x, err := cancelExchange(h.address, e); err == nil {
		p.start(h, e.Connection, x)
	}
}

// CloseAll closes all connections and waits for their goroutines.
func (p *Pool) CloseAll() {
	p.cancel()
	p.goroutines.Wait()
}

// lookup returns the handle of a connection, or nil if the connection is not open.
func (p *Pool) lookup(id model.ConnectionID) *connectionHandle {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[id]
}

// start writes a request to an open connection.
func (p *Pool) start(h *connectionHandle, id model.ConnectionID, x *exchange) {
	c := h.connection.Load()
	if c == nil || !c.start(x) {
		p.submitAsync(event.ConnectionClosed{Connection: id, Attempt: x.attempt, Reason: "already closed"})
	}
}

// submitAsync submits an event without blocking. Methods that run on the reducer's
// goroutine use it, because that goroutine must not wait for itself.
func (p *Pool) submitAsync(e event.Event) {
	go p.submit(e)
}

// run dials a connection and handles its replies until it ends.
func (p *Pool) run(ctx context.Context, id model.ConnectionID, h *connectionHandle) {
	socket, err := p.dial(ctx, h.address)
	if err != nil {
		p.submit(event.ConnectionClosed{Connection: id, Refused: true, Reason: err.Error()})
		return
	}
	c := newConnection(id, p.submit, socket, &p.memory)
	h.connection.Store(c)
	p.submit(event.ConnectionOpened{Connection: id})
	stop := context.AfterFunc(ctx, func() { c.end(ctx.Err(), false) })
	defer stop()
	c.read()
}

// dial opens a TCP connection, with TLS if configured.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{Control: setSocketOptions}
	if p.tls == nil {
		socket, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, fmt.Errorf("connect to upstream %s: %w", address, err)
		}
		return socket, nil
	}
	socket, err := (&tls.Dialer{NetDialer: dialer, Config: p.tls}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("connect to upstream %s: %w", address, err)
	}
	return socket, nil
}

// tcpUserTimeout is how long written bytes may stay unacknowledged before the connection
// is closed, for example because the upstream's host is down. The first two
// retransmissions of a lost packet take 600 ms.
const tcpUserTimeout = 700 * time.Millisecond

// sendBufferBytes bounds what the kernel holds of the requests to an upstream that does not read.
const sendBufferBytes = 64 << 10

// setSocketOptions sets TCP_USER_TIMEOUT and the send buffer of a socket before it connects. It is
// the Control function of the dialer.
func setSocketOptions(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds())),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes))
	})
	if err != nil {
		return fmt.Errorf("access raw socket: %w", err)
	}
	if optionErr != nil {
		return fmt.Errorf("set socket options: %w", optionErr)
	}
	return nil
}
