package virtual

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// node is one reducer and what surrounds it.
type node struct {
	world       *World
	spec        HostSpec
	state       *reducer.State
	incarnation model.Incarnation
	alive       bool
	paused      bool
	backlog     []event.Event
	calls       map[model.CallID]func(effect.Effect)
	nextCall    model.CallID
	connections map[model.ConnectionID]*connection
	// wake is the time of the scheduled event.Wake, zero if none.
	wake   model.Instant
	exit   effect.Exit
	exited bool
}

// start begins a new life.
func (n *node) start() {
	n.incarnation++
	n.alive = true
	n.paused = false
	n.exited = false
	n.backlog = nil
	n.wake = 0
	n.calls = make(map[model.CallID]func(effect.Effect))
	n.connections = make(map[model.ConnectionID]*connection)
	n.state = reducer.New(n.settings())
	n.deliver(event.Start{})
}

// settings returns the settings of the node's present life.
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

// newCall opens a call.
func (n *node) newCall(reply func(effect.Effect)) model.CallID {
	n.nextCall++
	if n.calls != nil {
		n.calls[n.nextCall] = reply
	}
	return n.nextCall
}

// reply ends a call.
func (n *node) reply(call model.CallID, e effect.Effect) {
	reply := n.calls[call]
	delete(n.calls, call)
	if reply != nil {
		reply(e)
	}
}

// deliver feeds an event to the reducer, or keeps it while the node is paused.
func (n *node) deliver(e event.Event) {
	if !n.alive {
		return
	}
	if n.paused {
		n.backlog = append(n.backlog, e)
		return
	}
	envelope := event.Envelope{Now: n.world.now, Random: n.world.Random.Uint64(), Event: e}
	// A reply may lead its receiver to send the next request at once, into this
	// same reducer: the effects must outlive that step.
	effects := slices.Clone(n.state.Reduce(envelope))
	if n.world.options.Observe != nil {
		n.world.options.Observe(n.spec.Host, envelope, effects)
	}
	n.execute(effects)
	n.scheduleWake()
}

// resume processes what arrived during a pause.
func (n *node) resume() {
	n.paused = false
	backlog := n.backlog
	n.backlog = nil
	n.deliver(event.Wake{})
	for _, e := range backlog {
		n.deliver(e)
	}
}

// die ends the node's life without warning.
func (n *node) die() {
	if !n.alive {
		return
	}
	n.alive = false
	n.closeAll()
	for _, other := range n.world.nodes {
		if other != n {
			n.world.lose(n.spec.Host, other.spec.Host)
		}
	}
}

// scheduleWake makes sure that the reducer's earliest timer fires.
func (n *node) scheduleWake() {
	at, ok := n.state.NextWake()
	if !ok || !n.alive || n.paused {
		return
	}
	at = max(at, n.world.now)
	if n.wake != 0 && n.wake <= at {
		return
	}
	n.wake = at
	life := n.incarnation
	n.world.at(at, func() {
		if n.incarnation != life || n.wake != at {
			return
		}
		n.wake = 0
		n.deliver(event.Wake{})
		n.scheduleWake()
	})
}

// execute carries effects out in order.
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
		n.die()
	}
}

// callStore passes a call to the store and keeps the call's timeout.
func (n *node) callStore(e effect.CallStore) {
	life := n.incarnation
	answered := false
	deliver := func(result event.StoreResult) {
		if answered || n.incarnation != life {
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

// readHostList returns the platform's list as it stands when the reply leaves.
func (n *node) readHostList() {
	life := n.incarnation
	n.world.after(defaultHostListDelay, func() {
		if n.incarnation != life {
			return
		}
		hosts := append([]model.HostEntry(nil), n.world.hostList...)
		n.deliver(event.HostList{Hosts: hosts, DrainingUpstreams: n.world.draining})
	})
}
