package virtual

import (
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// epoch is the virtual time at which a world begins.
const epoch = model.Instant(1_000_000 * int64(time.Second))

// Default delays, one way.
const (
	defaultPeerDelay     = 500 * time.Microsecond
	defaultUpstreamDelay = 500 * time.Microsecond
	defaultStoreDelay    = 3 * time.Millisecond
	defaultHostListDelay = 5 * time.Millisecond
)

// HostSpec is one entry host.
type HostSpec struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
}

// Options describe a world.
type Options struct {
	Seed  uint64
	Hosts []HostSpec
	// Tune changes the settings of a node before it starts; nil keeps them.
	Tune func(*reducer.Settings)
	// Store answers the nodes' store calls; nil means that the store is down.
	Store Store
	// PeerDelay and UpstreamDelay are one-way delays; zero means the default.
	PeerDelay     time.Duration
	UpstreamDelay time.Duration
	// ConnectTime is what an upstream needs to accept a connection.
	ConnectTime time.Duration
	// HostListLag delays changes of the host list.
	HostListLag time.Duration
	// Deliver decides what happens to a message between nodes; nil delivers all.
	Deliver func(from, to model.HostID, m message.Message) Delivery
	// Observe is told of each step of each node; nil means nobody.
	Observe func(host model.HostID, envelope event.Envelope, effects []effect.Effect)
}

// Delivery is the fate of a message between nodes.
type Delivery struct {
	// Lost drops the message and ends the stream: both nodes get PeerLost.
	Lost bool
	// Silent drops the message without telling anybody.
	Silent bool
	// Delay is added to the one-way delay; later messages of the stream wait
	// behind it.
	Delay time.Duration
	// Crossed lets the message arrive out of the stream's order.
	Crossed bool
	// Copies is the number of extra deliveries, each CopyDelay after the last.
	Copies    int
	CopyDelay time.Duration
}

// Store answers store calls in virtual time. It calls deliver once, now or later.
type Store interface {
	Call(w *World, from model.HostID, call effect.CallStore, deliver func(event.StoreResult))
}

// World is a set of nodes and upstreams under one virtual clock.
type World struct {
	clock
	// Random is the world's seeded source; drivers may draw from it.
	Random    *rand.Rand
	options   Options
	nodes     []*node
	upstreams []*Upstream
	streams   map[streamKey]model.Instant
	cuts      map[streamKey]bool
	hostList  []model.HostEntry
	draining  []model.UpstreamID
	// executions numbers the runs of all upstreams.
	executions uint64
}

// streamKey names the stream from one node to another.
type streamKey struct{ from, to model.HostID }

// New returns a world whose nodes have all just started.
func New(options Options) *World {
	options.PeerDelay = orDefault(options.PeerDelay, defaultPeerDelay)
	options.UpstreamDelay = orDefault(options.UpstreamDelay, defaultUpstreamDelay)
	w := &World{
		clock:   clock{now: epoch},
		Random:  rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		options: options,
		streams: make(map[streamKey]model.Instant),
		cuts:    make(map[streamKey]bool),
	}
	for _, spec := range options.Hosts {
		w.hostList = append(w.hostList, model.HostEntry{
			Host: spec.Host, FailureDomain: spec.FailureDomain, PeerAddress: peerAddress(spec.Host),
		})
		w.nodes = append(w.nodes, &node{world: w, spec: spec})
	}
	for _, n := range w.nodes {
		n.start()
	}
	return w
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d == 0 {
		return fallback
	}
	return d
}

// peerAddress returns the address of a host's peer listener.
func peerAddress(host model.HostID) string { return string(host) + ":7000" }

// callerAddress returns the address of a host's caller listener.
func callerAddress(host model.HostID) string { return string(host) + ":8000" }

// Now returns the virtual time.
func (w *World) Now() model.Instant { return w.now }

// At schedules a function.
func (w *World) At(t model.Instant, run func()) { w.at(t, run) }

// After schedules a function d from now.
func (w *World) After(d time.Duration, run func()) { w.after(d, run) }

// RunFor advances the clock by d.
func (w *World) RunFor(d time.Duration) { w.runUntil(w.now.Add(d)) }

// Hosts returns the hosts in the order of the options.
func (w *World) Hosts() []model.HostID {
	hosts := make([]model.HostID, 0, len(w.nodes))
	for _, n := range w.nodes {
		hosts = append(hosts, n.spec.Host)
	}
	return hosts
}

// State returns the reducer of a host's present life.
func (w *World) State(host model.HostID) *reducer.State { return w.node(host).state }

// Settings returns the settings of a host's present life, for a replay.
func (w *World) Settings(host model.HostID) reducer.Settings { return w.node(host).settings() }

// Incarnation returns the number of a host's present life.
func (w *World) Incarnation(host model.HostID) model.Incarnation { return w.node(host).incarnation }

// Alive reports whether the node on a host runs.
func (w *World) Alive(host model.HostID) bool { return w.node(host).alive }

// Exited returns the effect with which a node ended itself, and false if it has
// not.
func (w *World) Exited(host model.HostID) (effect.Exit, bool) {
	n := w.node(host)
	return n.exit, n.exited
}

// Search sends a caller's search to a node. The reply is lost if the node dies.
func (w *World) Search(host model.HostID, e event.Search, reply func(model.Answer)) model.CallID {
	n := w.node(host)
	e.Call = n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyCaller).Answer) })
	n.deliver(e)
	return e.Call
}

// Order sends a caller's order to a node. The reply is lost if the node dies.
func (w *World) Order(host model.HostID, e event.Order, reply func(model.Answer)) model.CallID {
	n := w.node(host)
	e.Call = n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyCaller).Answer) })
	n.deliver(e)
	return e.Call
}

// Entry asks a node which addresses to use.
func (w *World) Entry(host model.HostID, service string, reply func(effect.ReplyEntry)) {
	n := w.node(host)
	call := n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyEntry)) })
	n.deliver(event.Entry{Call: call, Service: service})
}

// Statement sends an operator's text to a node.
func (w *World) Statement(host model.HostID, e event.Statement, reply func(effect.StatementResult)) {
	n := w.node(host)
	e.Call = n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyStatement).Result) })
	n.deliver(e)
}

// CallerGone tells a node that a caller closed its request.
func (w *World) CallerGone(host model.HostID, call model.CallID) {
	w.node(host).deliver(event.CallerGone{Call: call})
}

// Stop sends a node the signal for a planned stop.
func (w *World) Stop(host model.HostID) { w.node(host).deliver(event.StopRequested{}) }

// Kill ends a node without warning. Its peers notice at once, its upstreams see
// the connections end.
func (w *World) Kill(host model.HostID) { w.node(host).die() }

// Restart starts a dead node with a new incarnation.
func (w *World) Restart(host model.HostID) {
	n := w.node(host)
	if !n.alive {
		n.start()
	}
}

// Pause freezes a node for d: what arrives waits, and is processed afterwards at
// once.
func (w *World) Pause(host model.HostID, d time.Duration) {
	n := w.node(host)
	if !n.alive || n.paused {
		return
	}
	n.paused = true
	life := n.incarnation
	w.after(d, func() {
		if n.incarnation == life {
			n.resume()
		}
	})
}

// Cut ends the streams between two hosts and keeps new ones from opening.
func (w *World) Cut(a, b model.HostID) {
	w.cuts[streamKey{a, b}] = true
	w.cuts[streamKey{b, a}] = true
	w.lose(a, b)
}

// Heal lets two hosts reach each other again.
func (w *World) Heal(a, b model.HostID) {
	delete(w.cuts, streamKey{a, b})
	delete(w.cuts, streamKey{b, a})
}

// SetHostLeaving changes the platform's list after the list's lag.
func (w *World) SetHostLeaving(host model.HostID, leaving bool) {
	w.after(w.options.HostListLag, func() {
		for i := range w.hostList {
			if w.hostList[i].Host == host {
				w.hostList[i].Leaving = leaving
			}
		}
	})
}

// SetUpstreamsLeaving changes the platform's list after the list's lag.
func (w *World) SetUpstreamsLeaving(upstreams []model.UpstreamID) {
	w.after(w.options.HostListLag, func() { w.draining = upstreams })
}

// node returns the node on a host, or nil.
func (w *World) node(host model.HostID) *node {
	for _, n := range w.nodes {
		if n.spec.Host == host {
			return n
		}
	}
	return nil
}

// lose tells two nodes that the streams between them ended.
func (w *World) lose(a, b model.HostID) {
	w.after(w.options.PeerDelay, func() {
		if n := w.node(a); n != nil {
			n.deliver(event.PeerLost{Host: b})
		}
		if n := w.node(b); n != nil {
			n.deliver(event.PeerLost{Host: a})
		}
	})
}

// send carries a message between nodes in the order of the stream.
func (w *World) send(from *node, e effect.SendPeer) {
	to := w.node(e.To)
	if to == nil {
		return
	}
	key := streamKey{from.spec.Host, e.To}
	if w.cuts[key] || !to.alive {
		w.after(w.options.PeerDelay, func() { from.deliver(event.PeerLost{Host: e.To}) })
		return
	}
	var fate Delivery
	if w.options.Deliver != nil {
		fate = w.options.Deliver(key.from, key.to, e.Message)
	}
	if fate.Lost {
		w.lose(key.from, key.to)
	}
	if fate.Lost || fate.Silent {
		return
	}
	at := w.now.Add(w.options.PeerDelay + fate.Delay)
	if !fate.Crossed {
		at = max(at, w.streams[key])
		w.streams[key] = at
	}
	life := from.incarnation
	for n := range 1 + fate.Copies {
		w.at(at.Add(time.Duration(n)*fate.CopyDelay), func() {
			if w.cuts[key] {
				return
			}
			to.deliver(event.PeerMessage{From: key.from, Incarnation: life, Message: e.Message})
		})
	}
}
