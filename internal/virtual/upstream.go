package virtual

import (
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Upstream is a fake upstream. Its exported fields may be changed between tasks;
// a change applies to attempts that arrive afterwards.
type Upstream struct {
	ID      model.UpstreamID
	Address string
	// Slots is the number of attempts that run concurrently; further ones are
	// shed.
	Slots int
	// MaxConnections is the maximum number of open connections; further ones are
	// refused. Zero means no limit.
	MaxConnections int
	Holdings       []model.Holding
	Draining       bool
	// ServiceTime draws the execution time of one attempt; nil means 1 ms.
	ServiceTime func(*rand.Rand) time.Duration
	// Crashes reports whether a request body crashes the upstream; nil means that
	// none does.
	Crashes func(body []byte) bool
	// MismatchedReplies is the number of following replies that carry another
	// attempt's identifier. Each of them closes its connection.
	MismatchedReplies int
	// Down makes the upstream refuse connections.
	Down bool
	// AcceptTime is the time in which the upstream is fully occupied with accepting
	// one connection: connections are accepted one after the other, and attempts
	// that arrive meanwhile are delayed.
	AcceptTime time.Duration

	// Runs records every attempt that started to run, in order.
	Runs []Run
	// CrashCount, Shed and Cancelled count crashes, refused attempts and cancelled
	// attempts. PeakInFlight and PeakConnections are the highest numbers of
	// concurrent attempts and connections.
	CrashCount      int
	Shed            int
	Cancelled       int
	PeakInFlight    int
	PeakConnections int

	world *World
	// busyUntil is the time at which all connections that have arrived so far are
	// accepted.
	busyUntil   model.Instant
	running     []*runningAttempt
	connections []*connection
}

// Run is one execution of an attempt.
type Run struct {
	At        model.Instant
	Attempt   model.AttemptID
	RequestID model.RequestID
	Kind      message.Kind
	Body      []byte
	Version   model.Version
	Shards    []model.ShardID
	From      model.HostID
	// Execution is the sequence number of the run among those of all upstreams of
	// the world, starting at one.
	Execution uint64
}

// runningAttempt is an attempt that occupies a slot of an upstream.
type runningAttempt struct {
	attempt    model.AttemptID
	connection *connection
	done       bool
}

// row is one row of a search reply, in the JSON format of the stand-in upstream.
type row struct {
	Shard   model.ShardID   `json:"shard"`
	Query   json.RawMessage `json:"query"`
	Version model.Version   `json:"version"`
}

// OrderReply is an upstream's reply to an order.
type OrderReply struct {
	Execution uint64 `json:"execution"`
}

// AddUpstream adds a copy of u to the world and returns it.
func (w *World) AddUpstream(u Upstream) *Upstream {
	added := &u
	added.world = w
	if added.ServiceTime == nil {
		added.ServiceTime = func(*rand.Rand) time.Duration { return time.Millisecond }
	}
	w.upstreams = append(w.upstreams, added)
	return added
}

// Upstream returns the upstream with an identifier, or nil if there is none.
func (w *World) Upstream(id model.UpstreamID) *Upstream {
	for _, u := range w.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// Upstreams returns all upstreams in the order in which they were added.
func (w *World) Upstreams() []*Upstream { return w.upstreams }

// Crash simulates a crash of the upstream's process: all connections are closed
// and all running attempts are lost. It accepts connections again after downFor.
func (u *Upstream) Crash(downFor time.Duration) {
	u.CrashCount++
	u.Down = true
	for _, running := range u.running {
		running.done = true
	}
	u.running = nil
	connections := u.connections
	u.connections = nil
	for _, c := range connections {
		c.closeFromUpstream("connection reset by peer")
	}
	u.world.after(downFor, func() { u.Down = false })
}

// upstreamAt returns the upstream at an address, or nil if there is none.
func (w *World) upstreamAt(address string) *Upstream {
	for _, u := range w.upstreams {
		if u.Address == address {
			return u
		}
	}
	return nil
}

// receive runs an attempt that has arrived, or refuses it if all slots are taken
// or the version of a search is not held.
func (u *Upstream) receive(c *connection, e effect.SendUpstream) {
	if u.Crashes != nil && u.Crashes(e.Body) {
		u.recordRun(c, e)
		u.Crash(time.Second)
		return
	}
	if len(u.running) >= u.Slots {
		u.Shed++
		u.reply(c, event.UpstreamReply{Attempt: e.Attempt, Status: event.UpstreamShed, RetryAfter: time.Second})
		return
	}
	held := u.heldShards(e)
	if e.Kind == message.KindSearch && held == nil {
		u.reply(c, event.UpstreamReply{Attempt: e.Attempt, Status: event.UpstreamVersionGone})
		return
	}
	execution := u.recordRun(c, e)
	running := &runningAttempt{attempt: e.Attempt, connection: c}
	u.running = append(u.running, running)
	u.PeakInFlight = max(u.PeakInFlight, len(u.running))
	start := max(u.busyUntil, u.world.now)
	u.world.at(start.Add(u.ServiceTime(u.world.Random)), func() {
		if running.done {
			return
		}
		u.releaseSlot(running)
		u.reply(c, newReply(e, held, execution))
	})
}

// heldShards returns those of the requested shards that the upstream holds in the
// requested version.
func (u *Upstream) heldShards(e effect.SendUpstream) []model.ShardID {
	for _, h := range u.Holdings {
		if h.Version != e.Version {
			continue
		}
		var held []model.ShardID
		for _, requested := range e.Shards {
			for _, id := range h.HeldShards {
				if id == requested {
					held = append(held, id)
				}
			}
		}
		return held
	}
	return nil
}

// recordRun records a run and returns its execution number.
func (u *Upstream) recordRun(c *connection, e effect.SendUpstream) uint64 {
	u.world.executions++
	execution := u.world.executions
	u.Runs = append(u.Runs, Run{
		At:        u.world.now,
		Attempt:   e.Attempt,
		RequestID: e.RequestID,
		Kind:      e.Kind,
		Body:      e.Body,
		Version:   e.Version,
		Shards:    e.Shards,
		From:      c.node.spec.Host,
		Execution: execution,
	})
	return execution
}

// releaseSlot marks a running attempt as done and frees its slot.
func (u *Upstream) releaseSlot(running *runningAttempt) {
	running.done = true
	for i, other := range u.running {
		if other == running {
			u.running = append(u.running[:i], u.running[i+1:]...)
			return
		}
	}
}

// newReply builds the reply to an attempt that has run.
func newReply(e effect.SendUpstream, held []model.ShardID, execution uint64) event.UpstreamReply {
	reply := event.UpstreamReply{Attempt: e.Attempt, Status: event.UpstreamAnswered, Version: e.Version, RowShards: held}
	if e.Kind == message.KindOrder {
		reply.Rows = []model.Row{mustEncode(OrderReply{Execution: execution})}
		return reply
	}
	for _, shard := range held {
		reply.Rows = append(reply.Rows, mustEncode(row{Shard: shard, Query: e.Body, Version: e.Version}))
	}
	return reply
}

// mustEncode encodes a value as JSON. It panics on an error, which cannot occur for
// the types of this package.
func mustEncode(v any) model.Row {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// reply sends a reply to the node. While MismatchedReplies is positive, it closes
// the connection with a mismatch instead.
func (u *Upstream) reply(c *connection, r event.UpstreamReply) {
	if !c.open {
		return
	}
	if u.MismatchedReplies > 0 {
		u.MismatchedReplies--
		c.closeWithEvent(event.ConnectionClosed{Mismatch: true, Reason: "reply of another attempt"})
		return
	}
	r.Connection = c.id
	r.Draining = u.Draining
	u.world.after(u.world.options.UpstreamDelay, func() {
		if !c.open || c.node.incarnation != c.incarnation || c.attempt != r.Attempt {
			return
		}
		c.attempt = model.AttemptID{}
		c.written = false
		c.node.deliver(r)
	})
}

// cancelUpstream asks an upstream to cancel an attempt.
func (n *node) cancelUpstream(e effect.CancelUpstream) {
	c := n.connections[e.Connection]
	if c == nil || !c.open {
		return
	}
	w := n.world
	w.after(w.options.UpstreamDelay, func() {
		if !c.open {
			return
		}
		c.upstream.cancelAttempt(e.Attempt)
		w.after(w.options.UpstreamDelay, func() {
			if c.open && n.incarnation == c.incarnation {
				n.deliver(event.UpstreamCancelDone{Connection: c.id})
			}
		})
	})
}

// cancelAttempt cancels a running attempt and replies accordingly. It does nothing
// if the attempt is not running.
func (u *Upstream) cancelAttempt(attempt model.AttemptID) {
	for _, running := range u.running {
		if running.attempt == attempt {
			u.Cancelled++
			u.releaseSlot(running)
			u.reply(running.connection, event.UpstreamReply{Attempt: attempt, Status: event.UpstreamCancelled})
			return
		}
	}
}

// readStatus requests an upstream's status.
func (n *node) readStatus(e effect.ReadUpstreamStatus) {
	c := n.connections[e.Connection]
	if c == nil || !c.open {
		return
	}
	w := n.world
	w.after(2*w.options.UpstreamDelay, func() {
		if !c.open || n.incarnation != c.incarnation {
			return
		}
		u := c.upstream
		holdings := append([]model.Holding(nil), u.Holdings...)
		n.deliver(event.UpstreamStatusRead{
			Connection: c.id, Holdings: holdings, Draining: u.Draining, InFlight: len(u.running),
		})
	})
}
