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

// Upstream is a fake upstream. Its exported fields may be changed at any time
// between tasks; they act on work that arrives afterwards.
type Upstream struct {
	ID      model.UpstreamID
	Address string
	// Slots is how many attempts it runs at once; more are shed.
	Slots int
	// Connections is how many connections it accepts; more are refused.
	Connections int
	Holdings    []model.Holding
	Draining    bool
	// ServiceTime draws the time of one attempt.
	ServiceTime func(*rand.Rand) time.Duration
	// Crashes reports whether a body crashes the upstream; nil means never.
	Crashes func(body []byte) bool
	// CrossReplies makes the next replies carry another attempt's identifier.
	CrossReplies int
	// Down upstreams refuse connections.
	Down bool
	// ConnectCost is the time in which the upstream does nothing else but accept
	// one connection: connections are accepted one after the other, and work that
	// arrives meanwhile is delayed.
	ConnectCost time.Duration

	// Runs records every attempt that began to run.
	Runs []Run
	// Crashed counts crashes, Shed the attempts that were refused, Peak the most
	// attempts and PeakConnections the most connections at one time.
	Crashed         int
	Shed            int
	Cancelled       int
	Peak            int
	PeakConnections int

	world *World
	// busyUntil is when the connections that have arrived are accepted.
	busyUntil   model.Instant
	running     []*work
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
	// Execution numbers the runs of all upstreams of a world from one.
	Execution uint64
}

// work is an attempt that runs on an upstream.
type work struct {
	attempt    model.AttemptID
	connection *connection
	ended      bool
}

// row is one row of a search reply, as the stand-in upstream writes it.
type row struct {
	Shard   model.ShardID   `json:"shard"`
	Query   json.RawMessage `json:"query"`
	Version model.Version   `json:"version"`
}

// OrderReply is an upstream's reply to an order.
type OrderReply struct {
	Execution uint64 `json:"execution"`
}

// AddUpstream adds an upstream to the world and returns it.
func (w *World) AddUpstream(u Upstream) *Upstream {
	added := &u
	added.world = w
	if added.ServiceTime == nil {
		added.ServiceTime = func(*rand.Rand) time.Duration { return time.Millisecond }
	}
	w.upstreams = append(w.upstreams, added)
	return added
}

// Upstream returns the upstream with an identifier, or nil.
func (w *World) Upstream(id model.UpstreamID) *Upstream {
	for _, u := range w.upstreams {
		if u.ID == id {
			return u
		}
	}
	return nil
}

// Upstreams returns all upstreams in the order of adding.
func (w *World) Upstreams() []*Upstream { return w.upstreams }

// Crash ends the upstream's process: all connections end and all work is lost.
// It accepts connections again after downFor.
func (u *Upstream) Crash(downFor time.Duration) {
	u.Crashed++
	u.Down = true
	for _, work := range u.running {
		work.ended = true
	}
	u.running = nil
	connections := u.connections
	u.connections = nil
	for _, c := range connections {
		c.end("connection reset by peer")
	}
	u.world.after(downFor, func() { u.Down = false })
}

// upstreamAt returns the upstream at an address, or nil.
func (w *World) upstreamAt(address string) *Upstream {
	for _, u := range w.upstreams {
		if u.Address == address {
			return u
		}
	}
	return nil
}

// accept runs or refuses an attempt that has arrived.
func (u *Upstream) accept(c *connection, e effect.SendUpstream) {
	if u.Crashes != nil && u.Crashes(e.Body) {
		u.record(c, e)
		u.Crash(time.Second)
		return
	}
	if len(u.running) >= u.Slots {
		u.Shed++
		u.reply(c, event.UpstreamReply{Attempt: e.Attempt, Status: event.UpstreamShed, RetryAfter: time.Second})
		return
	}
	holds := u.holds(e)
	if e.Kind == message.KindSearch && holds == nil {
		u.reply(c, event.UpstreamReply{Attempt: e.Attempt, Status: event.UpstreamVersionGone})
		return
	}
	execution := u.record(c, e)
	running := &work{attempt: e.Attempt, connection: c}
	u.running = append(u.running, running)
	u.Peak = max(u.Peak, len(u.running))
	start := max(u.busyUntil, u.world.now)
	u.world.at(start.Add(u.ServiceTime(u.world.Random)), func() {
		if running.ended {
			return
		}
		u.finish(running)
		u.reply(c, workReply(e, holds, execution))
	})
}

// holds returns the asked shards that the upstream holds of the asked version.
func (u *Upstream) holds(e effect.SendUpstream) []model.ShardID {
	for _, h := range u.Holdings {
		if h.Version != e.Version {
			continue
		}
		var held []model.ShardID
		for _, asked := range e.Shards {
			for _, id := range h.HeldShards {
				if id == asked {
					held = append(held, id)
				}
			}
		}
		return held
	}
	return nil
}

// record notes a run and returns its execution number.
func (u *Upstream) record(c *connection, e effect.SendUpstream) uint64 {
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

// finish takes an attempt out of its slot.
func (u *Upstream) finish(w *work) {
	w.ended = true
	for i, other := range u.running {
		if other == w {
			u.running = append(u.running[:i], u.running[i+1:]...)
			return
		}
	}
}

// workReply builds the reply to an attempt that ran.
func workReply(e effect.SendUpstream, held []model.ShardID, execution uint64) event.UpstreamReply {
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

// mustEncode encodes a value whose type always encodes.
func mustEncode(v any) model.Row {
	encoded, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return encoded
}

// reply sends a reply back to the node, or a reply of another attempt, which the
// node's connection takes for a mismatch.
func (u *Upstream) reply(c *connection, r event.UpstreamReply) {
	if !c.open {
		return
	}
	if u.CrossReplies > 0 {
		u.CrossReplies--
		c.endWith(event.ConnectionClosed{Mismatch: true, Reason: "reply of another attempt"})
		return
	}
	r.Connection = c.id
	r.Draining = u.Draining
	u.world.after(u.world.options.UpstreamDelay, func() {
		if !c.open || c.node.incarnation != c.life || c.attempt != r.Attempt {
			return
		}
		c.attempt = model.AttemptID{}
		c.written = false
		c.node.deliver(r)
	})
}

// cancelUpstream asks an upstream to stop an attempt.
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
		c.upstream.stop(e.Attempt)
		w.after(w.options.UpstreamDelay, func() {
			if c.open && n.incarnation == c.life {
				n.deliver(event.UpstreamCancelDone{Connection: c.id})
			}
		})
	})
}

// stop ends a running attempt on request.
func (u *Upstream) stop(attempt model.AttemptID) {
	for _, w := range u.running {
		if w.attempt == attempt {
			u.Cancelled++
			u.finish(w)
			u.reply(w.connection, event.UpstreamReply{Attempt: attempt, Status: event.UpstreamCancelled})
			return
		}
	}
}

// readStatus asks an upstream for its status.
func (n *node) readStatus(e effect.ReadUpstreamStatus) {
	c := n.connections[e.Connection]
	if c == nil || !c.open {
		return
	}
	w := n.world
	w.after(2*w.options.UpstreamDelay, func() {
		if !c.open || n.incarnation != c.life {
			return
		}
		u := c.upstream
		holdings := append([]model.Holding(nil), u.Holdings...)
		n.deliver(event.UpstreamStatusRead{
			Connection: c.id, Holdings: holdings, Draining: u.Draining, InFlight: len(u.running),
		})
	})
}
