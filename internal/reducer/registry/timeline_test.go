package registry

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// span is a time in a timeline, from one time to another since its start.
type span struct{ from, to time.Duration }

// contains reports whether a time lies in the span.
func (s span) contains(at time.Duration) bool { return at >= s.from && at < s.to }

// drawTime draws a time in steps of 10 ms.
func drawTime(r *rapid.T, label string, from, to time.Duration) time.Duration {
	const step = 10 * time.Millisecond
	return step * time.Duration(rapid.IntRange(int(from/step), int(to/step)).Draw(r, label))
}

// forever is later than the end of every timeline.
const forever = time.Hour

// timelineNode is a node in a timeline.
type timelineNode struct {
	*fixture
	name string
	// alive and frozen are the times in which the process exists and is stopped by a signal.
	alive, frozen span
	startedAt     map[model.OperationID]time.Duration
}

// isRunning reports whether the node runs at a time.
func (n *timelineNode) isRunning(at time.Duration) bool {
	return n.alive.contains(at) && !n.frozen.contains(at)
}

// isUndisturbed reports whether the node has run throughout a window up to a time.
func (n *timelineNode) isUndisturbed(at, window time.Duration) bool {
	return n.isRunning(at) && at-n.alive.from >= window && (n.frozen.from > at || at-n.frozen.to >= window)
}

// uses reports whether an upstream is in the node's view.
func (n *timelineNode) uses(instance string) bool {
	return slices.ContainsFunc(n.state.Upstreams(), func(r model.Registration) bool { return r.Instance == instance })
}

// timeline plays a store, whose contents over time are known beforehand, and the nodes of one
// failure domain that follow it, in virtual time.
type timeline struct {
	t     *testing.T
	now   time.Duration
	nodes []*timelineNode
	// entries holds the times in which each instance is registered.
	entries map[string][]span
	// ends holds when instances end, if their entries outlive them.
	ends map[string]time.Duration
	// outage is when the store is away. It refuses calls meanwhile or, if it is silent, leaves
	// them unanswered.
	outage   span
	isSilent bool
	// staleAge is the age of what stale reads return.
	staleAge time.Duration
	// restoredAt is when the store comes back from a copy that is copyAge old, and rewrittenAt when
	// the upstreams have written again.
	restoredAt, rewrittenAt time.Duration
	copyAge                 time.Duration
	hasEras                 bool
}

const (
	timelineTick = 20 * time.Millisecond
	// listedAfter and listedUntil bound when a node is listed: from shortly after its start until
	// its lease has ended.
	listedAfter = 400 * time.Millisecond
	listedUntil = DefaultLeaseTime
)

// add adds a node.
func (l *timeline) add(name string, alive, frozen span) {
	l.nodes = append(l.nodes, &timelineNode{name: name, alive: alive, frozen: frozen, startedAt: make(map[model.OperationID]time.Duration)})
}

// instant returns a time of the timeline as the nodes see it.
func instant(at time.Duration) model.Instant { return model.Instant(1000*time.Second + at) }

// run plays the timeline to an end, and calls check after each tick.
func (l *timeline) run(end time.Duration, check func()) {
	for ; l.now < end; l.now += timelineTick {
		for _, n := range l.nodes {
			if n.isRunning(l.now) {
				l.runNode(n)
			}
		}
		for _, n := range l.nodes {
			l.deliver(n)
		}
		check()
	}
}

// runNode fires a node's timers and answers its calls.
func (l *timeline) runNode(n *timelineNode) {
	if n.fixture == nil {
		n.fixture = newFixtureAt(l.t, n.name, DefaultSettings(), instant(l.now))
	}
	n.ctx.Now = instant(l.now)
	n.advance(0)
	var due []effect.CallRegistry
	for _, call := range n.open {
		due = append(due, call)
	}
	slices.SortFunc(due, func(a, b effect.CallRegistry) int { return cmp.Compare(a.Operation, b.Operation) })
	for _, call := range due {
		if _, known := n.startedAt[call.Operation]; !known {
			n.startedAt[call.Operation] = l.now
		}
		if result, done := l.result(call, n.startedAt[call.Operation]); done {
			n.answer(call.Verb, result)
		}
	}
}

// deliver delivers the messages that a node has sent.
func (l *timeline) deliver(n *timelineNode) {
	if n.fixture == nil {
		return
	}
	sent := n.sent
	n.sent = nil
	for _, e := range sent {
		for _, to := range l.nodes {
			if model.HostID(to.name) != e.To || to.fixture == nil || !to.isRunning(l.now) {
				continue
			}
			to.ctx.Now = instant(l.now)
			to.step(func() {
				switch m := e.Message.(type) {
				case message.RegistrySubscribe:
					to.state.HandleSubscribe(&to.ctx, model.HostID(n.name), m)
				case message.RegistryUpdate:
					to.state.HandleUpdate(&to.ctx, m)
				}
			})
		}
	}
}

// result returns the result of a call, and false if there is none yet.
func (l *timeline) result(call effect.CallRegistry, startedAt time.Duration) (event.RegistryResult, bool) {
	timedOut := l.now-startedAt >= call.Timeout
	switch {
	case l.isSilent && startedAt < l.outage.to && l.now >= l.outage.from:
		return event.RegistryResult{Status: event.StoreUnknown}, timedOut
	case l.outage.contains(l.now):
		return event.RegistryResult{Status: event.StoreRejected}, true
	}
	at := l.now
	if call.AllowStale {
		at -= l.staleAge
	}
	result, done := l.okResult(call, startedAt, at)
	result.Era = l.era(at)
	return result, done
}

// okResult returns the result of a call that the store answers as of a time.
func (l *timeline) okResult(call effect.CallRegistry, startedAt, at time.Duration) (event.RegistryResult, bool) {
	if call.Verb == effect.WatchUpstreams && call.After > l.revision(at) {
		return event.RegistryResult{Status: event.StoreTruncated}, true
	}
	switch call.Verb {
	case effect.ReadRoutes, effect.WatchRoutes:
		result := event.RegistryResult{Revision: 1, Routes: &model.RouteTable{Version: 1}}
		return result, call.Wait == 0 || l.now-startedAt >= call.Wait
	case effect.ReadUpstreams:
		return event.RegistryResult{Revision: l.revision(at), Upstreams: l.registrations(at)}, true
	case effect.WatchUpstreams:
		return l.changes(call.After), l.revision(at) > call.After || l.now-startedAt >= call.Wait
	case effect.ReadMembers, effect.WatchMembers:
		listed, removed := l.members(at)
		result := event.RegistryResult{Revision: 1, Members: listed, RemovedMembers: removed}
		return result, call.Wait == 0 || l.now-startedAt >= call.Wait
	default:
		return event.RegistryResult{Lease: 1}, true
	}
}

// registered returns the instances that are registered at a time.
func (l *timeline) registered(at time.Duration) []string {
	var names []string
	for name, spans := range l.entries {
		if slices.ContainsFunc(spans, func(s span) bool { return s.contains(at) }) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// era returns the store's era at a time, zero if it states none.
func (l *timeline) era(at time.Duration) uint64 {
	switch {
	case !l.hasEras:
		return 0
	case l.isRestored(at):
		return 2
	default:
		return 1
	}
}

// isRestored reports whether the store has come back from a copy by a time.
func (l *timeline) isRestored(at time.Duration) bool { return l.restoredAt != 0 && at >= l.restoredAt }

// isInHistory reports whether the store at a time has the change of an earlier one: not if that was
// made after the copy, and changes by the return itself are none.
func (l *timeline) isInHistory(change, at time.Duration) bool {
	if l.isRestored(at) && change > l.restoredAt-l.copyAge && change <= l.restoredAt {
		return false
	}
	return change <= at
}

// revision returns the store's revision at a time.
func (l *timeline) revision(at time.Duration) uint64 {
	revision := uint64(1)
	for _, spans := range l.entries {
		for _, s := range spans {
			for _, change := range []time.Duration{s.from, s.to} {
				if l.isInHistory(change, at) {
					revision++
				}
			}
		}
	}
	return revision
}

// registrations returns the entries at a time. Their sequence rises with each heartbeat, and is that
// of the copy until the upstreams have written again.
func (l *timeline) registrations(at time.Duration) []model.Registration {
	list := registrations(l.registered(at)...)
	for i := range list {
		written := at
		if l.isRestored(at) && (at < l.rewrittenAt || l.isLeft(list[i].Instance, l.restoredAt)) {
			written = l.restoredAt - l.copyAge
		}
		list[i].Incarnation = 1
		list[i].Sequence = uint64((forever + written) / (100 * time.Millisecond))
	}
	return list
}

// isLeft reports whether an instance has ended by a time; its entry may be there nevertheless.
func (l *timeline) isLeft(instance string, at time.Duration) bool {
	return l.ends[instance] != 0 && at >= l.ends[instance]
}

// changes returns the changes after a revision.
func (l *timeline) changes(after uint64) event.RegistryResult {
	result := event.RegistryResult{Revision: l.revision(l.now)}
	registered := l.registrations(l.now)
	for name, spans := range l.entries {
		isChanged := func(change time.Duration) bool {
			return l.isInHistory(change, l.now) && l.revision(change) > after
		}
		if !slices.ContainsFunc(spans, func(s span) bool { return isChanged(s.from) || isChanged(s.to) }) {
			continue
		}
		at := slices.IndexFunc(registered, func(r model.Registration) bool { return r.Instance == name })
		if at < 0 {
			result.RemovedUpstreams = append(result.RemovedUpstreams, name)
		} else {
			result.Upstreams = append(result.Upstreams, registered[at])
		}
	}
	return result
}

// members returns the nodes that are listed at a time, and those that are not any longer.
func (l *timeline) members(at time.Duration) (listed []model.Member, removed []model.HostID) {
	for _, n := range l.nodes {
		switch {
		case at >= n.alive.from+listedAfter && at < n.alive.to+listedUntil:
			listed = append(listed, member(n.name))
		case at >= n.alive.to+listedUntil:
			removed = append(removed, model.HostID(n.name))
		}
	}
	return listed, removed
}
