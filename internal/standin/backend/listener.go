package backend

import (
	"net"
	"sync"
	"time"
)

// limitedListener closes connections over the limit immediately. It delays the accept of
// each connection within the limit by the connect time.
type limitedListener struct {
	net.Listener
	upstream *Upstream
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if !l.upstream.addConnection() {
			conn.Close()
			continue
		}
		time.Sleep(l.upstream.options.ConnectTime)
		return &countedConnection{Conn: conn, upstream: l.upstream}, nil
	}
}

// addConnection counts a new connection. It reports false if the limit is reached.
func (u *Upstream) addConnection() bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.options.MaxConnections > 0 && u.connections >= u.options.MaxConnections {
		u.refusedConnections++
		return false
	}
	u.connections++
	u.peakConnections = max(u.peakConnections, u.connections)
	return true
}

// countedConnection decrements the upstream's connection count when it is closed.
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
