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

// epoch is the virtual time at which every world starts.
const epoch = model.Instant(1_000_000 * int64(time.Second))

// Default one-way delays.
const (
	defaultPeerDelay     = 500 * time.Microsecond
	defaultUpstreamDelay = 500 * time.Microsecond
	defaultStoreDelay    = 3 * time.Millisecond
	defaultHostListDelay = 5 * time.Millisecond
)

// HostSpec describes a host that runs a node.
type HostSpec struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
}

// Options configure a world.
type Options struct {
	Seed  uint64
	Hosts []HostSpec
	// Tune adjusts the settings of a node before it starts; nil keeps the
	// defaults.
	Tune func(*reducer.Settings)
	// Store answers the nodes' store calls; if it is nil, every call is rejected.
	Store Store
	// PeerDelay and UpstreamDelay are one-way delays; zero means the default.
	PeerDelay     time.Duration
	UpstreamDelay time.Duration
	// ConnectTime is added to the round trip that opens a connection to an
	// upstream. Connections are opened concurrently; see Upstream.AcceptTime.
	ConnectTime time.Duration
	// HostListLag is the delay before a change shows up in the host list.
	HostListLag time.Duration
	// Deliver decides how a message between nodes is delivered; nil delivers
	// every message normally.
	Deliver func(from, to model.HostID, m message.Message) Delivery
	// Observe is called after each event that a node has processed; it may be
	// nil.
	Observe func(host model.HostID, envelope event.Envelope, effects []effect.Effect)
}

// Delivery describes whether and how a message between two nodes is delivered. The
// zero value delivers it normally.
type Delivery struct {
	// BreakStream drops the message and breaks the stream: both nodes receive PeerLost.
	BreakStream bool
	// Drop drops the message without an event on either node.
	Drop bool
	// Delay is added to the one-way delay. Later messages of the stream do not
	// overtake the delayed one.
	Delay time.Duration
	// Unordered exempts the message from the stream's ordering.
	Unordered bool
	// Copies is the number of duplicate deliveries, each CopyDelay after the
	// previous one.
	Copies    int
	CopyDelay time.Duration
}

// Store answers store calls in virtual time. Call invokes deliver once, either
// before it returns or from a later task.
type Store interface {
	Call(w *World, from model.HostID, call effect.CallStore, deliver func(event.StoreResult))
}

// World is a set of nodes and upstreams that share one virtual clock.
type World struct {
	clock
	// Random is the world's seeded random source. Test drivers may draw from it.
	Random      *rand.Rand
	options     Options
	nodes       []*node
	upstreams   []*Upstream
	lastArrival map[streamKey]model.Instant
	partitions  map[streamKey]bool
	hostList    []model.HostEntry
	draining    []model.UpstreamID
	// executions counts the attempts executed by all upstreams.
	executions uint64
}

// streamKey identifies the message stream from one node to another.
type streamKey struct{ from, to model.HostID }

// New returns a world in which all nodes have just been started.
func New(options Options) *World {
	options.PeerDelay = orDefault(options.PeerDelay, defaultPeerDelay)
	options.UpstreamDelay = orDefault(options.UpstreamDelay, defaultUpstreamDelay)
	w := &World{
		clock:       clock{now: epoch},
		Random:      rand.New(rand.NewPCG(options.Seed, 0x9e3779b97f4a7c15)),
		options:     options,
		lastArrival: make(map[streamKey]model.Instant),
		partitions:  make(map[streamKey]bool),
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

// orDefault returns d, or the fallback if d is zero.
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

// At schedules a function for time t; a time in the past is treated as now.
func (w *World) At(t model.Instant, run func()) { w.at(t, run) }

// After schedules a function for d from now.
func (w *World) After(d time.Duration, run func()) { w.after(d, run) }

// RunFor advances the clock by d and runs all tasks that fall due.
func (w *World) RunFor(d time.Duration) { w.runUntil(w.now.Add(d)) }

// Hosts returns the hosts in the order of the options.
func (w *World) Hosts() []model.HostID {
	hosts := make([]model.HostID, 0, len(w.nodes))
	for _, n := range w.nodes {
		hosts = append(hosts, n.spec.Host)
	}
	return hosts
}

// State returns the reducer state of a host's current incarnation.
func (w *World) State(host model.HostID) *reducer.State { return w.node(host).state }

// Settings returns the settings of a host's current incarnation, for a replay.
func (w *World) Settings(host model.HostID) reducer.Settings { return w.node(host).settings() }

// Incarnation returns a host's current incarnation number.
func (w *World) Incarnation(host model.HostID) model.Incarnation { return w.node(host).incarnation }

// Alive reports whether the node on a host is running.
func (w *World) Alive(host model.HostID) bool { return w.node(host).alive }

// Exited returns the Exit effect with which a node terminated itself, and false
// if it has not done so.
func (w *World) Exited(host model.HostID) (effect.Exit, bool) {
	n := w.node(host)
	return n.exit, n.exited
}

// Search sends a caller's search to a node. reply is not called if the node
// terminates first.
func (w *World) Search(host model.HostID, e event.Search, reply func(model.Answer)) model.CallID {
	n := w.node(host)
	e.Call = n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyCaller).Answer) })
	n.deliver(e)
	return e.Call
}

// Order sends a caller's order to a node. reply is not called if the node
// terminates first.
func (w *World) Order(host model.HostID, e event.Order, reply func(model.Answer)) model.CallID {
	n := w.node(host)
	e.Call = n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyCaller).Answer) })
	n.deliver(e)
	return e.Call
}

// Entry asks a node which caller addresses to use for a service.
func (w *World) Entry(host model.HostID, service string, reply func(effect.ReplyEntry)) {
	n := w.node(host)
	call := n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyEntry)) })
	n.deliver(event.Entry{Call: call, Service: service})
}

// Statement sends an operator's statement to a node.
func (w *World) Statement(host model.HostID, e event.Statement, reply func(effect.StatementResult)) {
	n := w.node(host)
	e.Call = n.newCall(func(f effect.Effect) { reply(f.(effect.ReplyStatement).Result) })
	n.deliver(e)
}

// CallerGone notifies a node that the caller has abandoned its request.
func (w *World) CallerGone(host model.HostID, call model.CallID) {
	w.node(host).deliver(event.CallerGone{Call: call})
}

// Stop requests a graceful shutdown of a node.
func (w *World) Stop(host model.HostID) { w.node(host).deliver(event.StopRequested{}) }

// Kill terminates a node without warning. Its peers receive PeerLost after the
// peer delay, and its connections to upstreams are closed.
func (w *World) Kill(host model.HostID) { w.node(host).terminate() }

// Restart starts a terminated node with a new incarnation. It does nothing if
// the node is running.
func (w *World) Restart(host model.HostID) {
	n := w.node(host)
	if !n.alive {
		n.start()
	}
}

// Pause suspends a node for d. Events that arrive meanwhile are queued and
// processed together when the node resumes.
func (w *World) Pause(host model.HostID, d time.Duration) {
	n := w.node(host)
	if !n.alive || n.paused {
		return
	}
	n.paused = true
	incarnation := n.incarnation
	w.after(d, func() {
		if n.incarnation == incarnation {
			n.resume()
		}
	})
}

// Partition partitions two hosts: it breaks the streams between them and keeps new
// ones from opening.
func (w *World) Partition(a, b model.HostID) {
	w.partitions[streamKey{a, b}] = true
	w.partitions[streamKey{b, a}] = true
	w.breakStreams(a, b)
}

// Heal removes the partition between two hosts.
func (w *World) Heal(a, b model.HostID) {
	delete(w.partitions, streamKey{a, b})
	delete(w.partitions, streamKey{b, a})
}

// SetHostLeaving sets whether the platform's host list shows a host as leaving.
// The change takes effect after HostListLag.
func (w *World) SetHostLeaving(host model.HostID, leaving bool) {
	w.after(w.options.HostListLag, func() {
		for i := range w.hostList {
			if w.hostList[i].Host == host {
				w.hostList[i].Leaving = leaving
			}
		}
	})
}

// SetDrainingUpstreams sets the upstreams that the platform's host list shows as
// draining. The change takes effect after HostListLag.
func (w *World) SetDrainingUpstreams(upstreams []model.UpstreamID) {
	w.after(w.options.HostListLag, func() { w.draining = upstreams })
}

// node returns the node on a host, or nil if there is no such host.
func (w *World) node(host model.HostID) *node {
	for _, n := range w.nodes {
		if n.spec.Host == host {
			return n
		}
	}
	return nil
}

// breakStreams notifies two nodes, after the peer delay, that the streams between
// them have ended.
func (w *World) breakStreams(a, b model.HostID) {
	w.after(w.options.PeerDelay, func() {
		if n := w.node(a); n != nil {
			n.deliver(event.PeerLost{Host: b})
		}
		if n := w.node(b); n != nil {
			n.deliver(event.PeerLost{Host: a})
		}
	})
}

// send delivers a message to another node, in order within its stream unless
// Options.Deliver decides otherwise.
func (w *World) send(from *node, e effect.SendPeer) {
	to := w.node(e.To)
	if to == nil {
		return
	}
	key := streamKey{from.spec.Host, e.To}
	if w.partitions[key] || !to.alive {
		w.after(w.options.PeerDelay, func() { from.deliver(event.PeerLost{Host: e.To}) })
		return
	}
	var delivery Delivery
	if w.options.Deliver != nil {
		delivery = w.options.Deliver(key.from, key.to, e.Message)
	}
	if delivery.BreakStream {
		w.breakStreams(key.from, key.to)
	}
	if delivery.BreakStream || delivery.Drop {
		return
	}
	at := w.now.Add(w.options.PeerDelay + delivery.Delay)
	if !delivery.Unordered {
		at = max(at, w.lastArrival[key])
		w.lastArrival[key] = at
	}
	incarnation := from.incarnation
	for n := range 1 + delivery.Copies {
		w.at(at.Add(time.Duration(n)*delivery.CopyDelay), func() {
			if w.partitions[key] {
				return
			}
			to.deliver(event.PeerMessage{From: key.from, Incarnation: incarnation, Message: e.Message})
		})
	}
}
