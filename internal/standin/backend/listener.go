package backend

import (
	"net"
	"sync"
	"time"
)

// limitedListener closes connections over the limit at once and spends the
// connect time on each of the others, one at a time.
type limitedListener struct {
	net.Listener
	upstream *Upstream
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		socket, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.upstream.addConnection() {
			socket.Close()
			continue
		}
		time.Sleep(l.upstream.options.ConnectTime)
		return &countedConnection{Conn: socket, upstream: l.upstream}, nil
	}
}

// addConnection counts a connection, or refuses it over the limit.
func (u *Upstream) addConnection() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.options.Connections > 0 && u.connections >= u.options.Connections {
		u.refused++
		return false
	}
	u.connections++
	u.peak = max(u.peak, u.connections)
	return true
}

// countedConnection takes itself out of the count when it is closed.
type countedConnection struct {
	net.Conn
	upstream *Upstream
	once     sync.Once
}

// Close implements net.Conn.
func (c *countedConnection) Close() error {
	c.once.Do(func() {
		c.upstream.mu.Lock()
		c.upstream.connections--
		c.upstream.mu.Unlock()
	})
	return c.Conn.Close()
}
