package virtual

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// connection is a connection from a node to an upstream.
type connection struct {
	id          model.ConnectionID
	node        *node
	incarnation model.Incarnation
	upstream    *Upstream
	open        bool
	// attempt is the sub-request that awaits its reply on the connection, zero if there
	// is none. written is true if the connection was open when it was sent.
	attempt model.AttemptID
	written bool
}

// open starts opening a connection to the upstream at an address.
func (n *node) open(e effect.OpenConnection) {
	w := n.world
	c := &connection{id: e.Connection, node: n, incarnation: n.incarnation}
	n.connections[e.Connection] = c
	w.after(2*w.options.UpstreamDelay+w.options.ConnectTime, func() {
		if n.incarnation != c.incarnation || n.connections[c.id] != c {
			return
		}
		u := w.upstreamAt(e.Address)
		if u == nil {
			n.refuse(c)
			return
		}
		if u.AcceptTime == 0 {
			n.finishOpen(c, u)
			return
		}
		w.at(u.reserveAcceptTime(), func() { n.finishOpen(c, u) })
	})
}

// reserveAcceptTime extends busyUntil by the time to accept one connection and
// returns the instant at which that connection is accepted.
func (u *Upstream) reserveAcceptTime() model.Instant {
	u.busyUntil = max(u.busyUntil, u.world.now).Add(u.AcceptTime)
	return u.busyUntil
}

// finishOpen establishes a pending connection. It refuses the connection if the
// upstream is down or has reached its connection limit.
func (n *node) finishOpen(c *connection, u *Upstream) {
	if n.incarnation != c.incarnation || n.connections[c.id] != c {
		return
	}
	if u.Down || !n.alive || (u.MaxConnections > 0 && len(u.connections) >= u.MaxConnections) {
		n.refuse(c)
		return
	}
	c.upstream = u
	c.open = true
	u.connections = append(u.connections, c)
	u.PeakConnections = max(u.PeakConnections, len(u.connections))
	n.deliver(event.ConnectionOpened{Connection: c.id})
}

// refuse removes a pending connection and reports it as refused.
func (n *node) refuse(c *connection) {
	delete(n.connections, c.id)
	n.deliver(event.ConnectionClosed{Connection: c.id, Refused: true, Reason: "connection refused"})
}

// closeFromUpstream closes a connection from the upstream's side. The node is
// notified after the upstream delay.
func (c *connection) closeFromUpstream(reason string) {
	c.closeWithEvent(event.ConnectionClosed{Reason: reason})
}

// closeWithEvent closes a connection, fills the connection and its attempt into the
// event, and delivers the event to the node after the upstream delay.
func (c *connection) closeWithEvent(closed event.ConnectionClosed) {
	if !c.open {
		return
	}
	c.open = false
	c.upstream.removeConnection(c)
	c.node.world.after(c.node.world.options.UpstreamDelay, func() {
		if c.node.incarnation != c.incarnation || c.node.connections[c.id] != c {
			return
		}
		delete(c.node.connections, c.id)
		closed.Connection = c.id
		closed.Attempt = c.attempt
		closed.Written = c.written
		c.node.deliver(closed)
	})
}

// removeConnection removes a connection from the upstream's list.
func (u *Upstream) removeConnection(c *connection) {
	for i, other := range u.connections {
		if other == c {
			u.connections = append(u.connections[:i], u.connections[i+1:]...)
			return
		}
	}
}

// closeConnection closes a connection from the node's side. An attempt that runs
// on it continues on the upstream, and its reply is dropped.
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
	c.closeFromUpstream("closed")
}

// closeAll closes all connections of a terminated node without notifying it.
func (n *node) closeAll() {
	for _, u := range n.world.upstreams {
		for _, c := range append([]*connection(nil), u.connections...) {
			if c.node == n {
				c.open = false
				u.removeConnection(c)
			}
		}
	}
}

// sendUpstream sends a sub-request on a connection.
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
			c.upstream.receive(c, e)
		}
	})
}
