package virtual

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// node runs one reducer and executes its effects.
type node struct {
	world        *World
	spec         HostSpec
	state        *reducer.State
	incarnation  model.Incarnation
	alive        bool
	paused       bool
	backlog      []event.Event
	pendingCalls map[model.CallID]func(effect.Effect)
	lastCall     model.CallID
	connections  map[model.ConnectionID]*connection
	// scheduledWake is the time of the scheduled event.Wake, zero if there is none.
	scheduledWake model.Instant
	exit          effect.Exit
	exited        bool
}

// start begins a new incarnation with fresh state.
func (n *node) start() {
	n.incarnation++
	n.alive = true
	n.paused = false
	n.exited = false
	n.backlog = nil
	n.scheduledWake = 0
	n.pendingCalls = make(map[model.CallID]func(effect.Effect))
	n.connections = make(map[model.ConnectionID]*connection)
	n.state = reducer.New(n.settings())
	n.deliver(event.Start{})
}

// settings returns the settings of the node's current incarnation.
func (n *node) settings() reducer.Settings {
	settings := reducer.DefaultSettings(model.Member{
		Host:          n.spec.Host,
		Incarnation:   n.incarnation,
		FailureDomain: n.spec.FailureDomain,
		CallerAddress: callerAddress(n.spec.Host),
		PeerAddress:   peerAddress(n.spec.Host),
	})
	if n.world.options.Tune != nil {
		n.world.options.Tune(&settings)
	}
	return settings
}

// newCall registers the reply function of a new call and returns the call's
// identifier.
func (n *node) newCall(reply func(effect.Effect)) model.CallID {
	n.lastCall++
	if n.pendingCalls != nil {
		n.pendingCalls[n.lastCall] = reply
	}
	return n.lastCall
}

// reply removes a pending call and passes the effect to its reply function.
func (n *node) reply(call model.CallID, e effect.Effect) {
	reply := n.pendingCalls[call]
	delete(n.pendingCalls, call)
	if reply != nil {
		reply(e)
	}
}

// deliver passes an event to the reducer and executes the resulting effects. While
// the node is paused, the event is queued; a terminated node drops it.
func (n *node) deliver(e event.Event) {
	if !n.alive {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, e)
		return
	}
	envelope := event.Envelope{Now: n.world.now, Random: n.world.Random.Uint64(), Event: e}
	// A reply function may send the next request to this same reducer before it
	// returns, so the effects are copied out of the reducer's buffer.
	effects := slices.Clone(n.state.Reduce(envelope))
	if n.world.options.Observe != nil {
		n.world.options.Observe(n.spec.Host, envelope, effects)
	}
	n.execute(effects)
	n.scheduleWake()
}

// resume ends a pause and processes the events queued during it.
func (n *node) resume() {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	n.deliver(event.Wake{})
	for _, e := range backlog {
		n.deliver(e)
	}
}

// terminate ends the current incarnation without warning.
func (n *node) terminate() {
	if !n.alive {
		return
	}
	n.alive = false
	n.closeAll()
	for _, other := range n.world.nodes {
		if other != n {
			n.world.breakStreams(n.spec.Host, other.spec.Host)
		}
	}
}

// scheduleWake schedules an event.Wake for the reducer's earliest timer, unless an
// earlier one is already scheduled.
func (n *node) scheduleWake() {
	at, ok := n.state.NextWake()
	if !ok || !n.alive || n.paused {
		return
	}
	at = max(at, n.world.now)
	if n.scheduledWake != 0 && n.scheduledWake <= at {
		return
	}
	n.scheduledWake = at
	incarnation := n.incarnation
	n.world.at(at, func() {
		if n.incarnation != incarnation || n.scheduledWake != at {
			return
		}
		n.scheduledWake = 0
		n.deliver(event.Wake{})
		n.scheduleWake()
	})
}

// execute executes effects in order.
func (n *node) execute(effects []effect.Effect) {
	for _, e := range effects {
		n.executeOne(e)
	}
}

func (n *node) executeOne(e effect.Effect) {
	switch e := e.(type) {
	case effect.ReplyCaller:
		n.reply(e.Call, e)
	case effect.ReplyEntry:
		n.reply(e.Call, e)
	case effect.ReplyStatement:
		n.reply(e.Call, e)
	case effect.ReplyDump:
		n.reply(e.Call, e)
	case effect.SendPeer:
		n.world.send(n, e)
	case effect.OpenConnection:
		n.open(e)
	case effect.CloseConnection:
		n.closeConnection(e.Connection)
	case effect.SendUpstream:
		n.sendUpstream(e)
	case effect.CancelUpstream:
		n.cancelUpstream(e)
	case effect.ReadUpstreamStatus:
		n.readStatus(e)
	case effect.CallStore:
		n.callStore(e)
	case effect.ReadHostList:
		n.readHostList()
	case effect.Exit:
		n.exit = e
		n.exited = true
		n.terminate()
	}
}

// callStore passes a call to the store. If no result arrives within the call's
// timeout, the outcome is reported as unknown and a later result is ignored.
func (n *node) callStore(e effect.CallStore) {
	incarnation := n.incarnation
	answered := false
	deliver := func(result event.StoreResult) {
		if answered || n.incarnation != incarnation {
			return
		}
		answered = true
		result.Operation = e.Operation
		n.deliver(result)
	}
	unknown := event.StoreResult{Status: event.StoreUnknown}
	n.world.after(e.Timeout, func() { deliver(unknown) })
	if n.world.options.Store == nil {
		n.world.after(defaultStoreDelay, func() { deliver(event.StoreResult{Status: event.StoreRejected}) })
		return
	}
	n.world.options.Store.Call(n.world, n.spec.Host, e, deliver)
}

// readHostList delivers the platform's host list as of the time of delivery.
func (n *node) readHostList() {
	incarnation := n.incarnation
	n.world.after(defaultHostListDelay, func() {
		if n.incarnation != incarnation {
			return
		}
		hosts := append([]model.HostEntry(nil), n.world.hostList...)
		n.deliver(event.HostList{Hosts: hosts, DrainingUpstreams: n.world.draining})
	})
}
