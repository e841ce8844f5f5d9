package relay

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// simulation runs nodes and upstreams in virtual time.
type simulation struct {
	t         *testing.T
	now       model.Instant
	random    *rand.Rand
	events    eventHeap
	nextOrder uint64
	nodes     []*node
	upstreams map[string]*upstream
	// calls are the open requests by node and call, and answers are those that have
	// ended.
	calls    map[callKey]*call
	answers  []*call
	callByID map[string]*call
	// runTimes holds when upstreams began to run each URI.
	runTimes map[string][]model.Instant
	// crashTimes holds when each URI crashed an upstream.
	crashTimes map[string][]model.Instant
	lastCall   model.CallID
	// idleTimeout is the idle timeout that upstreams state in their replies; zero means
	// none.
	idleTimeout time.Duration
}

type callKey struct {
	node *node
	call model.CallID
}

// call is a caller's request and its result.
type call struct {
	id        string
	path      string
	startedAt model.Instant
	elapsed   time.Duration
	answer    model.ForwardAnswer
	attempts  int
	// runs counts how often each service started the request.
	runs map[string]int
}

// node is one node's relay with the parts of the runtime that it needs.
type node struct {
	sim         *simulation
	state       *State
	timers      timer.Queue
	ctx         step.Context
	connections map[model.ConnectionID]*simConnection
	reports     []message.Suspicion
	logs        []effect.Log
	// frozen nodes receive no messages from other nodes.
	frozen bool
	// onSend, if set, is called for each request sent to an upstream.
	onSend func(e effect.SendForward)
}

// ReportSuspicion implements SuspicionReporter.
func (n *node) ReportSuspicion(_ *step.Context, s message.Suspicion) {
	n.reports = append(n.reports, s)
}

// simConnection is one connection of a node.
type simConnection struct {
	upstream *upstream
	opened   bool
	closed   bool
	attempt  uint64
	request  *model.ForwardRequest
	// lateCopy is the identifier of a request that was refused on the connection and whose
	// refusal is sent again; copyAfter is the number of requests before the copy.
	lateCopy  string
	copyAfter int
}

// upstream simulates one replica with slots, a queue and injected faults.
type upstream struct {
	id, service string
	slots       int
	serviceTime time.Duration
	// The injected faults. The shares are probabilities for each request.
	pausedUntil model.Instant
	slowdown    float64
	down        bool
	silent      bool
	refuseShare float64
	loseShare   float64
	failShare   float64
	// repeatShare is the share of the refusals that are sent a second time, where the reply to
	// one of the next requests on the connection is expected.
	repeatShare float64
	// notice is stated in each reply.
	notice model.Notice
	// crashOn is the URI on which the upstream crashes, crashDelay after it has begun to run the
	// request; empty means none. It is back restartAfter a crash; zero means never.
	crashOn      string
	crashDelay   time.Duration
	restartAfter time.Duration
	// dropsAbandoned means that the upstream stops a request whose connection is closed.
	dropsAbandoned bool
	// starts counts the incarnations.
	starts int

	running  int
	queue    []func()
	arrivals int
	// toldAt is when each node first got a reply that names a limit, and arrivedAt holds the
	// times of the arrivals from nodes that had got one toldBefore earlier.
	toldAt    map[*node]model.Instant
	arrivedAt []model.Instant
	runs      int
}

// scheduledEvent is a function to run at a point in virtual time.
type scheduledEvent struct {
	at    model.Instant
	order uint64
	run   func()
}

type eventHeap []scheduledEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].order < h[j].order
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(scheduledEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// Delays of the simulated network.
const (
	oneWay    = 500 * time.Microsecond
	handshake = 6 * time.Millisecond
)

// newSimulation returns a simulation with the given number of nodes.
func newSimulation(t *testing.T, seed uint64, settings Settings, nodes int) *simulation {
	sim := &simulation{
		t:         t,
		now:       model.Instant(1000 * time.Second),
		random:    rand.New(rand.NewPCG(seed, seed)),
		upstreams: make(map[string]*upstream),
		calls:     make(map[callKey]*call),
		callByID:  make(map[string]*call),
		runTimes:  make(map[string][]model.Instant),

		crashTimes: make(map[string][]model.Instant),
	}
	for range nodes {
		n := &node{sim: sim, connections: make(map[model.ConnectionID]*simConnection)}
		n.state = New(settings, quarantine.New(), n)
		n.state.startedAt = sim.now
		n.ctx = step.Context{
			Random: rand.New(rand.NewPCG(seed, uint64(len(sim.nodes)))),
			View:   emptyView{},
			Timers: &n.timers,
			Config: &model.Config{},
			Self:   model.Member{Host: model.HostID(fmt.Sprintf("host-%02d", len(sim.nodes))), FailureDomain: "a", Incarnation: 1},
		}
		sim.nodes = append(sim.nodes, n)
	}
	sim.setMembers()
	return sim
}

// setMembers passes the members to all nodes.
func (sim *simulation) setMembers() {
	members := make([]model.Member, len(sim.nodes))
	for i, n := range sim.nodes {
		members[i] = n.ctx.Self
	}
	for _, n := range sim.nodes {
		n.step(func(ctx *step.Context) { n.state.SetMembers(ctx, members, members) })
	}
}

type emptyView struct{}

func (emptyView) Members() []model.Member                    { return nil }
func (emptyView) Member(model.HostID) (model.Member, bool)   { return model.Member{}, false }
func (sim *simulation) schedule(d time.Duration, run func()) { sim.scheduleAt(sim.now.Add(d), run) }
func (sim *simulation) upstreamID(service string, i int) string {
	return service + "/u" + strconv.Itoa(i)
}

func (sim *simulation) replica(service string, i int) *upstream {
	return sim.upstreams[sim.upstreamID(service, i)]
}

// scheduleAt schedules a function for a point in virtual time.
func (sim *simulation) scheduleAt(at model.Instant, run func()) {
	sim.nextOrder++
	heap.Push(&sim.events, scheduledEvent{at: max(at, sim.now), order: sim.nextOrder, run: run})
}

// advance runs the simulation for a duration.
func (sim *simulation) advance(d time.Duration) {
	end := sim.now.Add(d)
	for {
		next := end
		if len(sim.events) > 0 {
			next = min(next, sim.events[0].at)
		}
		for _, n := range sim.nodes {
			if at, ok := n.timers.Next(); ok {
				next = min(next, max(at, sim.now))
			}
		}
		sim.now = next
		if next >= end {
			return
		}
		sim.runDue()
	}
}

// runDue runs the timers and events that are due.
func (sim *simulation) runDue() {
	for _, n := range sim.nodes {
		for {
			due, ok := n.timers.PopDue(sim.now)
			if !ok {
				break
			}
			n.step(func(ctx *step.Context) {
				if due.Owner == timer.Relay {
					n.state.HandleTimer(ctx, due.ID)
				}
			})
		}
	}
	for len(sim.events) > 0 && sim.events[0].at <= sim.now {
		heap.Pop(&sim.events).(scheduledEvent).run()
	}
}

// step calls the node's reducer and executes the effects.
func (n *node) step(run func(ctx *step.Context)) {
	n.ctx.Now = n.sim.now
	n.ctx.Effects = nil
	run(&n.ctx)
	for _, e := range n.ctx.Effects {
		n.execute(e)
	}
}

// execute applies one effect to the simulation.
func (n *node) execute(e effect.Effect) {
	switch e := e.(type) {
	case effect.OpenConnection:
		n.openConnection(e)
	case effect.CloseConnection:
		if conn := n.connections[e.Connection]; conn != nil {
			n.closeConnection(e.Connection, conn, "closed here")
		}
	case effect.SendForward:
		n.send(e)
	case effect.ReplyForward:
		n.recordAnswer(e)
	case effect.SendPeer:
		n.sendPeer(e)
	case effect.Log:
		n.logs = append(n.logs, e)
	}
}

// sendPeer delivers a message to another node.
func (n *node) sendPeer(e effect.SendPeer) {
	for _, to := range n.sim.nodes {
		if to.ctx.Self.Host != e.To || to.frozen {
			continue
		}
		n.sim.schedule(oneWay, func() { to.step(func(ctx *step.Context) { to.receive(ctx, n.ctx.Self.Host, e.Message) }) })
	}
}

// receive handles a message from another node.
func (n *node) receive(ctx *step.Context, from model.HostID, m message.Message) {
	switch m := m.(type) {
	case message.Subquery:
		n.state.HandleSubquery(ctx, from, m)
	case message.SubqueryReport:
		n.state.HandleSubqueryReport(ctx, from, m)
	case message.RateReports:
		n.state.HandleRateReports(ctx, from, m)
	case message.Suspicion:
		n.state.HandleSuspicion(ctx, m)
	case message.Unblock:
		n.state.HandleUnblock(ctx, m)
	case message.SubqueryCancel:
		n.state.HandleSubqueryCancel(ctx, from, m)
	}
}

// openConnection opens a connection after the simulated delay, or reports that the connect
// failed.
func (n *node) openConnection(e effect.OpenConnection) {
	sim := n.sim
	u := sim.upstreams[e.Address]
	conn := &simConnection{upstream: u}
	n.connections[e.Connection] = conn
	delay := 2*oneWay + handshake
	if u.silent {
		delay = time.Second
	}
	sim.schedule(delay, func() {
		if conn.closed {
			return
		}
		if u.down || u.silent {
			conn.closed = true
			delete(n.connections, e.Connection)
			n.step(func(ctx *step.Context) {
				n.state.HandleClosed(ctx, event.ConnectionClosed{Connection: e.Connection, Refused: true, Reason: "refused"})
			})
			return
		}
		conn.opened = true
		n.step(func(ctx *step.Context) { n.state.HandleOpened(ctx, event.ConnectionOpened{Connection: e.Connection}) })
	})
}

// closeConnection ends a connection and notifies the relay.
func (n *node) closeConnection(id model.ConnectionID, conn *simConnection, reason string) {
	if conn.closed {
		return
	}
	written := conn.attempt != 0
	conn.closed = true
	delete(n.connections, id)
	attempt := model.AttemptID{Number: conn.attempt}
	n.sim.schedule(0, func() {
		n.step(func(ctx *step.Context) {
			n.state.HandleClosed(ctx, event.ConnectionClosed{Connection: id, Attempt: attempt, Written: written, Reason: reason})
		})
	})
}

// send delivers a request to its upstream.
func (n *node) send(e effect.SendForward) {
	sim := n.sim
	if n.onSend != nil {
		n.onSend(e)
	}
	conn := n.connections[e.Connection]
	if conn == nil || conn.closed {
		// The event that reports the end of the connection, with nothing written, is
		// pending.
		return
	}
	if conn.attempt != 0 {
		sim.t.Fatalf("two requests on one connection")
	}
	conn.attempt, conn.request = e.Attempt, e.Request
	if c := sim.findCall(e.Request.ID); c != nil {
		c.attempts++
	}
	sim.schedule(oneWay, func() { n.receiveRequest(e, conn) })
}

// findCall returns the call of a request, which may have ended.
func (sim *simulation) findCall(id string) *call { return sim.callByID[id] }

// recordAnswer records the answer to a call.
func (n *node) recordAnswer(e effect.ReplyForward) {
	key := callKey{n, e.Call}
	c := n.sim.calls[key]
	if c == nil {
		n.sim.t.Fatalf("second answer to call %d", e.Call)
	}
	delete(n.sim.calls, key)
	c.answer = e.Answer
	c.elapsed = n.sim.now.Sub(c.startedAt)
	n.sim.answers = append(n.sim.answers, c)
}
