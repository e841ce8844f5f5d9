package guard

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"

	"golang.org/x/sys/unix"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// Sizes of the kernel's buffers of a client's connection. The receive buffer may fill while the
// process does not read from the connection, the send buffer while the client does not. The kernel
// doubles them for its own needs.
const (
	receiveBufferBytes = 32 << 10
	sendBufferBytes    = 64 << 10
	// sendQueueBytes is what a send buffer may hold at the most.
	sendQueueBytes = 2 * sendBufferBytes
)

// Listen opens a listener on a TCP address.
func Listen(address string) (net.Listener, error) {
	config := net.ListenConfig{Control: setBuffers}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("listen on %s: %w", address, err)
	}
	return listener, nil
}

// setBuffers sets the sizes of the buffers of a listening socket, which its connections inherit.
func setBuffers(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = errors.Join(
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes),
			unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBufferBytes))
	})
	return errors.Join(err, optionErr)
}

// listener accepts connections for which there is room.
type listener struct {
	net.Listener
	guard *Guard
	at    quota.Listener
	// carries is what the connections carry.
	carries Content
}

// Content is what the connections of a listener carry.
type Content uint8

// Contents of connections.
const (
	// HTTP is HTTP/1.1 in plain text.
	HTTP Content = iota
	// TLS is encrypted HTTP/1.1. Heads cannot be told from other bytes.
	TLS
	// Streams are streams of other nodes. Only their connections are bounded.
	Streams
)

// Wrap returns a listener that accepts connections for which there is room and closes all others.
func (g *Guard) Wrap(l net.Listener, at quota.Listener, carries Content) net.Listener {
	return &listener{Listener: l, guard: g, at: at, carries: carries}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.open(socket); c != nil {
			return c, nil
		}
		socket.Close()
	}
}

// open returns the connection of a socket, or nil if there is no room for it.
func (l *listener) open(socket net.Conn) *Connection {
	g := l.guard
	c := &Connection{Conn: socket, guard: g, at: l.at, carries: l.carries}
	decision := g.ask(func(now model.Instant) quota.Decision {
		id, decision := g.state.Open(now, l.at, connectionBytes)
		if decision.Granted {
			c.id = id
			g.open[id] = c
		}
		return decision
	})
	if !decision.Granted {
		g.reports.refused(l.at, refusedConnection)
		return nil
	}
	return c
}
