package registry

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// entry returns the entry of an upstream's instance with the given incarnation, sequence and
// state.
func entry(instance string, incarnation, sequence uint64, draining bool) model.Registration {
	r := registrations(instance)[0]
	r.Incarnation, r.Sequence, r.Upstream.Draining = incarnation, sequence, draining
	return r
}

// watchUpstreams advances to the next watch of the upstreams and answers it.
func (f *fixture) watchUpstreams(result event.RegistryResult) {
	f.t.Helper()
	for range 200 {
		if _, found := f.open[effect.WatchUpstreams]; found {
			f.answer(effect.WatchUpstreams, result)
			return
		}
		f.advance(10 * time.Millisecond)
	}
	f.t.Fatal("the node does not watch the upstreams")
}

// startWithEntries returns a node that has read the entries at revision 10.
func startWithEntries(t *testing.T, entries ...model.Registration) *fixture {
	f := newFixture(t, "n1")
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: 1}})
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 10, Upstreams: entries})
	return f
}

// isUsable reports whether an instance is listed and not draining.
func (f *fixture) isUsable(instance string) bool {
	for _, r := range f.state.Upstreams() {
		if r.Instance == instance {
			return !r.Upstream.Draining
		}
	}
	return false
}

// TestDelayedHeartbeatRevivesDrainingUpstream guards against an upstream that is used again
// because a delayed write of an earlier heartbeat follows the one that announced its drain.
func TestDelayedHeartbeatRevivesDrainingUpstream(t *testing.T) {
	f := startWithEntries(t, entry("u1", 7, 4, false), entry("u2", 7, 4, false))
	f.watchUpstreams(event.RegistryResult{Revision: 11, Upstreams: []model.Registration{entry("u1", 7, 6, true)}})
	f.watchUpstreams(event.RegistryResult{Revision: 12, Upstreams: []model.Registration{entry("u1", 7, 5, false)}})
	if f.isUsable("u1") {
		t.Error("a delayed heartbeat put a draining upstream back in use")
	}
	f.watchUpstreams(event.RegistryResult{Revision: 13, Upstreams: []model.Registration{entry("u1", 9, 1, false)}})
	if !f.isUsable("u1") {
		t.Error("the restarted upstream is not used")
	}
}

// TestDelayedHeartbeatRevivesRemovedUpstream is like
// TestDelayedHeartbeatRevivesDrainingUpstream, for an upstream whose entry was removed.
func TestDelayedHeartbeatRevivesRemovedUpstream(t *testing.T) {
	f := startWithEntries(t, entry("u1", 7, 4, false), entry("u2", 7, 4, false))
	f.watchUpstreams(event.RegistryResult{Revision: 11, RemovedUpstreams: []string{"u1"}})
	f.watchUpstreams(event.RegistryResult{Revision: 12, Upstreams: []model.Registration{entry("u1", 7, 3, false)}})
	if f.isUsable("u1") {
		t.Error("a delayed heartbeat put a removed upstream back in use")
	}
	f.watchUpstreams(event.RegistryResult{Revision: 13, Upstreams: []model.Registration{entry("u1", 7, 5, false)}})
	if !f.isUsable("u1") {
		t.Error("an upstream that registered again is not used")
	}
}

// TestForgedEntryBlocksUpstream guards against an upstream that is ignored for good because
// another writer left an entry under its key that looks newer than all of its own.
func TestForgedEntryBlocksUpstream(t *testing.T) {
	f := startWithEntries(t, entry("u1", 7, 4, false))
	forged := entry("u1", 1<<50, 1<<50, false)
	forged.Upstream.Address = "forged"
	f.watchUpstreams(event.RegistryResult{Revision: 11, Upstreams: []model.Registration{forged}})
	for i := range uint64(maxAdvances + 1) {
		f.watchUpstreams(event.RegistryResult{Revision: 12 + i, Upstreams: []model.Registration{entry("u1", 7, 5+i, false)}})
	}
	if got := f.state.Upstreams()[0].Upstream.Address; got != "u1" {
		t.Errorf("address %q, want that of the upstream's own entries", got)
	}
}

// TestHeartbeatDelayedAfterLongCalm is like TestDelayedHeartbeatRevivesRemovedUpstream, for an entry
// that had not changed for long, as in the view of a node that follows a reader.
func TestHeartbeatDelayedAfterLongCalm(t *testing.T) {
	f := startWithEntries(t, entry("u1", 7, 4, false), entry("u2", 7, 4, false))
	for range 100 {
		f.watchUpstreams(event.RegistryResult{Revision: 10})
	}
	f.watchUpstreams(event.RegistryResult{Revision: 11, RemovedUpstreams: []string{"u1"}})
	f.watchUpstreams(event.RegistryResult{Revision: 12, Upstreams: []model.Registration{entry("u1", 7, 3, false)}})
	if f.isUsable("u1") {
		t.Error("a delayed heartbeat put a removed upstream back in use")
	}
}
