package guard

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// Memory that a connection and its requests take.
const (
	// connectionBytes is that of a connection without a request: its buffers and its goroutine.
	connectionBytes = 20 << 10
	// requestBytes is that of a request besides its head and body: a second goroutine, the buffers of
	// the answer, and the receive buffer of the kernel.
	requestBytes = 12<<10 + receiveBufferBytes
	// headByteCost and headFieldCost are what each byte and each field of a head take once it is
	// parsed and copied for upstreams. A field is a header line or a parameter of the query.
	headByteCost  = 6
	headFieldCost = 250
	// opaqueByteCost is what each encrypted byte may take.
	opaqueByteCost = headByteCost + headFieldCost/4
)

// Connection is a client's connection. All that it makes the process hold is given back when it is
// closed, at the latest.
//
// Its reads, its requests and the changes of its phase follow each other, as net/http serves a
// connection. Only evict and Close may be called meanwhile.
type Connection struct {
	net.Conn
	guard   *Guard
	id      quota.ID
	at      quota.Listener
	carries Content

	// head is the head that is being read, and held what the current request holds, in bytes.
	head headReader
	held int64
	// bodyUnread is set while the body of the request has not been read to its end.
	bodyUnread bool
	// unsent is the most that the kernel's send queue may hold of the answers so far, in bytes.
	unsent atomic.Int64
	// passedOn is set once net/http has got a byte of the connection.
	passedOn bool
	// refused is set once the client has been told that its request is refused.
	refused atomic.Bool

	mu sync.Mutex
	// phase changes together with the account.
	phase quota.Phase
	// evicted is set once the connection has to close for want of room.
	evicted bool
	closing sync.Once
}

// connectionKey is the context key of a client's connection.
type connectionKey struct{}

// guarded returns the guarded connection of an HTTP server's connection, or nil if it is none.
func guarded(connection net.Conn) *Connection {
	if secured, isTLS := connection.(*tls.Conn); isTLS {
		connection = secured.NetConn()
	}
	c, _ := connection.(*Connection)
	return c
}

// withConnection is the ConnContext function of the servers.
func withConnection(ctx context.Context, connection net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, guarded(connection))
}

// connectionChanged is the ConnState function of the servers.
func connectionChanged(connection net.Conn, state http.ConnState) {
	if c := guarded(connection); c != nil && state == http.StateIdle {
		c.endRequest()
	}
}

// FromContext returns the connection of a request, or nil if it is not guarded.
func FromContext(ctx context.Context) *Connection {
	c, _ := ctx.Value(connectionKey{}).(*Connection)
	return c
}

// SyscallConn gives access to the socket. It returns nil if there is none.
func (c *Connection) SyscallConn() (syscall.RawConn, error) {
	socket, isSocket := c.Conn.(syscall.Conn)
	if !isSocket {
		return nil, nil
	}
	return socket.SyscallConn()
}

// enter begins a phase. It returns false if the connection has been evicted.
func (c *Connection) enter(phase quota.Phase) bool {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.state.Enter(g.now(), c.id, phase) {
		return false
	}
	c.mu.Lock()
	c.phase = phase
	c.mu.Unlock()
	return true
}

// take takes room for further bytes of the current request. It returns *NoRoomError if there is
// none.
func (c *Connection) take(bytes int64) error {
	if bytes <= 0 {
		c.give(-bytes)
		return nil
	}
	g := c.guard
	decision := g.ask(func(now model.Instant) quota.Decision { return g.state.Take(now, c.id, bytes) })
	if !decision.Granted {
		return &NoRoomError{RetryAfter: decision.RetryAfter}
	}
	c.held += bytes
	return nil
}

// give returns bytes of the current request.
func (c *Connection) give(bytes int64) {
	if bytes == 0 {
		return
	}
	c.held -= bytes
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Give(c.id, bytes)
}

// status returns the phase and whether the connection has been evicted.
func (c *Connection) status() (quota.Phase, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase, c.evicted
}

// Read implements net.Conn. The bytes of a head are passed on once there is room for what they take
// when they are parsed. If there is none, or if the head is too large, the request is refused and the
// connection ends.
func (c *Connection) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		phase, evicted := c.status()
		switch {
		case phase != quota.Head && phase != quota.Idle:
			return n, err
		case evicted:
			return 0, c.refuseEvicted()
		case n == 0:
			return n, err
		}
		skipped, refusal := c.readHead(p[:n])
		if refusal != nil {
			return 0, c.refuse(refusal)
		}
		if n = copy(p, p[skipped:n]); n > 0 || err != nil {
			c.passedOn = true
			return n, err
		}
	}
}

// readHead takes room for the next bytes of a head. It returns how many bytes at the start are to be
// skipped.
func (c *Connection) readHead(p []byte) (skipped int, refusal error) {
	if phase, _ := c.status(); phase == quota.Idle && !c.enter(quota.Head) {
		return 0, &NoRoomError{RetryAfter: quota.RetryEvicted}
	}
	switch c.carries {
	case TLS:
		return 0, c.take(int64(len(p)) * opaqueByteCost)
	case Streams:
		c.enter(quota.Busy)
		return 0, nil
	}
	if c.passedOn {
		// The start of the head may have come with the request before. Empty lines are only skipped
		// where it certainly has not.
		c.head.started = true
	}
	skipped = c.head.read(p)
	if err := c.guard.checkHead(c.head.size); err != nil {
		return 0, err
	}
	return skipped, c.take(c.unsent.Load() + c.head.cost() - c.held)
}

// beginRequest begins the work on a request whose head is complete. It returns *NoRoomError if there
// is no room for it.
func (c *Connection) beginRequest(r *http.Request) error {
	if err := c.take(c.unsent.Load() + costOfHead(r) + requestBytes - c.held); err != nil {
		return err
	}
	c.bodyUnread = r.Body != nil && r.Body != http.NoBody
	phase := quota.Busy
	if c.bodyUnread {
		phase = quota.Body
	}
	if !c.enter(phase) {
		return &NoRoomError{RetryAfter: quota.RetryEvicted}
	}
	return nil
}

// endBody begins the work on a request whose body is complete. It returns *NoRoomError if the
// connection has been evicted meanwhile.
func (c *Connection) endBody() error {
	c.bodyUnread = false
	if !c.enter(quota.Busy) {
		return &NoRoomError{RetryAfter: quota.RetryEvicted}
	}
	return nil
}

// endRequest returns what the request held once its answer is written, but for what the kernel still
// holds of it.
func (c *Connection) endRequest() {
	c.give(c.held)
	unsent := min(c.unsent.Load(), sendQueueBytes)
	if unsent > bufferedAnswerBytes {
		unsent = min(unsent, c.sendQueue())
	}
	c.unsent.Store(unsent)
	// If there is no room for it, the connection ends at the next request.
	_ = c.take(unsent)
	c.head = headReader{}
	c.enter(quota.Idle)
}

// sendQueue returns the number of bytes in the kernel's send queue, or zero if it is not known.
func (c *Connection) sendQueue() int64 {
	raw, err := c.SyscallConn()
	if err != nil || raw == nil {
		return 0
	}
	queued := 0
	// A failure means that the connection has ended.
	_ = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err == nil {
			queued = n
		}
	})
	return int64(queued)
}

// SetReadDeadline implements net.Conn. It does not undo the deadline of an evicted connection.
func (c *Connection) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// release returns all that the connection holds.
func (c *Connection) release() {
	g := c.guard
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Close(c.id)
	delete(g.open, c.id)
}
