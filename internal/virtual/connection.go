package virtual

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// connection joins a node and an upstream.
type connection struct {
	id       model.ConnectionID
	node     *node
	life     model.Incarnation
	upstream *Upstream
	open     bool
	attempt  model.AttemptID
	written  bool
}

// open dials an upstream.
func (n *node) open(e effect.OpenConnection) {
	w := n.world
	c := &connection{id: e.Connection, node: n, life: n.incarnation}
	n.connections[e.Connection] = c
	w.after(2*w.options.UpstreamDelay+w.options.ConnectTime, func() {
		if n.incarnation != c.life || n.connections[c.id] != c {
			return
		}
		u := w.upstreamAt(e.Address)
		if u == nil {
			n.refuse(c)
			return
		}
		if u.ConnectCost == 0 {
			n.opened(c, u)
			return
		}
		w.at(u.occupy(), func() { n.opened(c, u) })
	})
}

// occupy takes the time of accepting one connection and returns its end.
func (u *Upstream) occupy() model.Instant {
	u.busyUntil = max(u.busyUntil, u.world.now).Add(u.ConnectCost)
	return u.busyUntil
}

// opened accepts a connection or refuses it.
func (n *node) opened(c *connection, u *Upstream) {
	if n.incarnation != c.life || n.connections[c.id] != c {
		return
	}
	if u.Down || !n.alive || (u.Connections > 0 && len(u.connections) >= u.Connections) {
		n.refuse(c)
		return
	}
	c.upstream = u
	c.open = true
	u.connections = append(u.connections, c)
	u.PeakConnections = max(u.PeakConnections, len(u.connections))
	n.deliver(event.ConnectionOpened{Connection: c.id})
}

// refuse ends a connection that was never opened.
func (n *node) refuse(c *connection) {
	delete(n.connections, c.id)
	n.deliver(event.ConnectionClosed{Connection: c.id, Refused: true, Reason: "connection refused"})
}

// end closes a connection from the upstream's side; the node learns of it after
// the delay.
func (c *connection) end(reason string) {
	c.endWith(event.ConnectionClosed{Reason: reason})
}

// endWith closes a connection and tells the node as closed says.
func (c *connection) endWith(closed event.ConnectionClosed) {
	if !c.open {
		return
	}
	c.open = false
	c.upstream.forget(c)
	c.node.world.after(c.node.world.options.UpstreamDelay, func() {
		if c.node.incarnation != c.life || c.node.connections[c.id] != c {
			return
		}
		delete(c.node.connections, c.id)
		closed.Connection = c.id
		closed.Attempt = c.attempt
		closed.Written = c.written
		c.node.deliver(closed)
	})
}

// forget removes a connection from the upstream's list.
func (u *Upstream) forget(c *connection) {
	for i, other := range u.connections {
		if other == c {
			u.connections = append(u.connections[:i], u.connections[i+1:]...)
			return
		}
	}
}

// closeConnection closes a connection from the node's side. Work on it goes on
// until the upstream notices, and its reply is lost.
func (n *node) closeConnection(id model.ConnectionID) {
	c := n.connections[id]
	if c == nil {
		return
	}
	if !c.open {
		delete(n.connections, id)
		n.world.after(0, func() { n.deliver(event.ConnectionClosed{Connection: id, Refused: true, Reason: "closed"}) })
		return
	}
	c.end("closed")
}

// closeAll ends all connections of a dead node.
func (n *node) closeAll() {
	for _, u := range n.world.upstreams {
		for _, c := range append([]*connection(nil), u.connections...) {
			if c.node == n {
				c.open = false
				u.forget(c)
			}
		}
	}
}

// sendUpstream writes a sub-request on a connection.
func (n *node) sendUpstream(e effect.SendUpstream) {
	c := n.connections[e.Connection]
	if c == nil {
		n.world.after(0, func() {
			n.deliver(event.ConnectionClosed{Connection: e.Connection, Attempt: e.Attempt, Reason: "already closed"})
		})
		return
	}
	c.attempt = e.Attempt
	c.written = c.open
	n.world.after(n.world.options.UpstreamDelay, func() {
		if c.open {
			c.upstream.accept(c, e)
		}
	})
}
