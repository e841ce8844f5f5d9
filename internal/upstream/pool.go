package upstream

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Pool holds the connections that the reducer has opened, by its identifiers.
// It decides nothing. Its methods do not block.
type Pool struct {
	submit func(event.Event)
	tls    *tls.Config
	codec  Codec

	mu          sync.Mutex
	connections map[model.ConnectionID]*lane
	running     sync.WaitGroup
	ctx         context.Context
	cancel      context.CancelFunc
}

// lane feeds the requests of one connection to its goroutine.
type lane struct {
	address string
	// requests has room for one request: the reducer sends on idle connections
	// only.
	requests chan *exchange
	cancel   context.CancelFunc
}

// NewPool returns an empty pool that submits events to the reducer. A nil TLS
// configuration means plain connections.
func NewPool(tlsConfig *tls.Config, submit func(event.Event)) *Pool {
	ctx, cancel := context.WithCancel(context.Background())
	return &Pool{
		submit:      submit,
		tls:         tlsConfig,
		connections: make(map[model.ConnectionID]*lane),
		ctx:         ctx,
		cancel:      cancel,
	}
}

// Codec writes forwarded requests and reads their replies in the upstreams' own
// protocol over HTTP/1.1.
type Codec interface {
	// Encode returns the bytes of a request.
	Encode(e effect.SendForward) []byte
	// Decode classifies a whole reply. An error means that the reply does not
	// belong to the request, and ends the connection.
	Decode(e effect.SendForward, response *http.Response, body []byte) (event.ForwardReply, error)
}

// SetCodec sets the codec of forwarded requests. It must be called before the
// first of them.
func (p *Pool) SetCodec(codec Codec) { p.codec = codec }

// Forward writes a routed request.
func (p *Pool) Forward(e effect.SendForward) {
	attempt := model.AttemptID{Number: e.Attempt}
	l := p.lane(e.Connection)
	if l == nil {
		p.report(event.ConnectionClosed{Connection: e.Connection, Attempt: attempt, Reason: "already closed"})
		return
	}
	p.start(l, e.Connection, &exchange{
		request: &http.Request{Method: e.Request.Method},
		encoded: p.codec.Encode(e),
		attempt: attempt,
		handle: func(response *http.Response, body []byte) (event.Event, error) {
			reply, err := p.codec.Decode(e, response, body)
			reply.Closing = response.Close
			return reply, err
		},
	})
}

// Open dials an upstream; ConnectionOpened or ConnectionClosed follows.
func (p *Pool) Open(e effect.OpenConnection) {
	ctx, cancel := context.WithCancel(p.ctx)
	l := &lane{address: e.Address, requests: make(chan *exchange, 1), cancel: cancel}
	p.mu.Lock()
	p.connections[e.Connection] = l
	p.mu.Unlock()
	p.running.Add(1)
	go func() {
		defer p.running.Done()
		defer cancel()
		p.run(ctx, e.Connection, l)
		p.mu.Lock()
		delete(p.connections, e.Connection)
		p.mu.Unlock()
	}()
}

// Close ends a connection; ConnectionClosed follows.
func (p *Pool) Close(e effect.CloseConnection) {
	if l := p.lane(e.Connection); l != nil {
		l.cancel()
	}
}

// Send writes a sub-request.
func (p *Pool) Send(e effect.SendUpstream) {
	l := p.lane(e.Connection)
	if l == nil {
		p.report(event.ConnectionClosed{Connection: e.Connection, Attempt: e.Attempt, Reason: "already closed"})
		return
	}
	x, err := workExchange(l.address, e)
	if err != nil {
		p.report(event.UpstreamReply{Connection: e.Connection, Attempt: e.Attempt, Status: event.UpstreamShed})
		return
	}
	p.start(l, e.Connection, x)
}

// ReadStatus asks an upstream for its status.
func (p *Pool) ReadStatus(e effect.ReadUpstreamStatus) {
	l := p.lane(e.Connection)
	if l == nil {
		return
	}
	if x, err := statusExchange(l.address, e.Connection); err == nil {
		p.start(l, e.Connection, x)
	}
}

// Cancel asks an upstream to stop an attempt.
func (p *Pool) Cancel(e effect.CancelUpstream) {
	l := p.lane(e.Connection)
	if l == nil {
		return
	}
	if x, err := cancelExchange(l.address, e); err == nil {
		p.start(l, e.Connection, x)
	}
}

// CloseAll ends all connections and waits for their goroutines.
func (p *Pool) CloseAll() {
	p.cancel()
	p.running.Wait()
}

// lane returns a connection's lane, or nil.
func (p *Pool) lane(id model.ConnectionID) *lane {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.connections[id]
}

// start hands a request to a connection's goroutine.
func (p *Pool) start(l *lane, id model.ConnectionID, x *exchange) {
	select {
	case l.requests <- x:
	default:
		// The reducer never sends on a busy connection; a full lane means that the
		// connection has ended and its goroutine is gone.
		p.report(event.ConnectionClosed{Connection: id, Attempt: x.attempt, Reason: "already closed"})
	}
}

// report submits an event from the reducer's own goroutine, which must not wait
// for the reducer.
func (p *Pool) report(e event.Event) {
	go p.submit(e)
}

// run dials and then carries the connection's requests until it ends.
func (p *Pool) run(ctx context.Context, id model.ConnectionID, l *lane) {
	socket, err := p.dial(ctx, l.address)
	if err != nil {
		p.submit(event.ConnectionClosed{Connection: id, Refused: true, Reason: err.Error()})
		return
	}
	c := &connection{id: id, submit: p.submit, socket: socket}
	p.submit(event.ConnectionOpened{Connection: id})
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		c.read()
	}()
	for {
		select {
		case <-ctx.Done():
			c.end(ctx.Err(), false)
			<-finished
			return
		case <-finished:
			p.refusePending(c, l)
			return
		case x := <-l.requests:
			c.start(x)
		}
	}
}

// refusePending reports a request that was handed over but never written.
func (p *Pool) refusePending(c *connection, l *lane) {
	select {
	case x := <-l.requests:
		c.start(x)
	default:
	}
}

// dial opens a connection, with TLS if configured.
func (p *Pool) dial(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	dialer := &net.Dialer{Control: limitUnacknowledged}
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

// unacknowledgedTimeout ends a connection whose peer acknowledges nothing, such as
// one behind a partition. It is longer than a lost packet's first repetitions.
const unacknowledgedTimeout = 2 * time.Second

// limitUnacknowledged sets the socket's timeout for unacknowledged bytes.
func limitUnacknowledged(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTimeout.Milliseconds()))
	})
	if err != nil {
		return fmt.Errorf("reach the socket: %w", err)
	}
	if failed != nil {
		return fmt.Errorf("limit unacknowledged bytes: %w", failed)
	}
	return nil
}
