package registry

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// startStale returns a node that has just started and made a stale read of each part of its view.
func startStale(t *testing.T, upstreams ...string) *fixture {
	f := newFixtureWith(t, "n1", DefaultSettings())
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: 1}})
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 5, Upstreams: registrations(upstreams...)})
	f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5})
	return f
}

// startWithoutReader returns a node at the end of its bootstrap that has made stale reads of the
// upstreams only, and that no other node reads for.
func startWithoutReader(t *testing.T, upstreams ...string) *fixture {
	f := startStale(t, upstreams...)
	for range 2 * int(DefaultBootstrapTime/bootstrapInterval) {
		f.advance(bootstrapInterval / 2)
		if _, found := f.open[effect.ReadMembers]; found {
			f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5})
		}
	}
	return f
}

// TestStartTakenForOutage guards against a node that goes on to use an upstream that has left,
// because the time between the stale read at its start and its first real one is taken for an
// outage of the store.
func TestStartTakenForOutage(t *testing.T) {
	f := startWithoutReader(t, "u1", "u2")
	f.advance(bootstrapInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 9, Upstreams: registrations("u1")})
	if got := f.upstreamNames(); got != "u1 " {
		t.Errorf("upstreams after the first real read: %s", got)
	}
}

// TestStartBesideOutage guards against a node that drops upstreams whose entries have expired in an
// outage of the store that began after its start.
func TestStartBesideOutage(t *testing.T) {
	f := startWithoutReader(t, "u1", "u2")
	f.advance(bootstrapInterval)
	for range 6 {
		f.advance(2 * retryInterval)
		f.answer(effect.ReadUpstreams, event.RegistryResult{Status: event.StoreRejected})
	}
	f.advance(2 * retryInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 9, Upstreams: registrations("u1")})
	if got := f.upstreamNames(); got != "u1 u2 " {
		t.Errorf("upstreams right after the outage: %s", got)
	}
	f.advance(DefaultReregisterTime)
	if got := f.upstreamNames(); got != "u1 " {
		t.Errorf("upstreams %v after the outage: %s", DefaultReregisterTime, got)
	}
}

// TestFreezeTakenForOutage guards against a process that was stopped for seconds and goes on to use
// an upstream that has left meanwhile: nothing shows that the store was away.
func TestFreezeTakenForOutage(t *testing.T) {
	f := newFixture(t, "n1")
	answerInitialReads(f, 1, "u1", "u2")
	f.ctx.Now = f.ctx.Now.Add(5 * time.Second)
	list := registrations("u1")
	f.step(func() {
		f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{Upstreams: list, UpstreamsHash: hashRegistrations(list), UpstreamsRevision: 9})
	})
	if got := f.upstreamNames(); got != "u1 " {
		t.Errorf("upstreams after the freeze: %s", got)
	}
}

// TestKeptUpstreamThatLeaves guards against an upstream that registers again after an outage, then
// leaves, and is still used because others are kept: its entry has not expired.
func TestKeptUpstreamThatLeaves(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 5, Upstreams: registrations("u1", "u2", "u3")})
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Status: event.StoreUnknown})
	f.advance(3 * DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 9, Upstreams: registrations("u1", "u2")})
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Revision: 10, RemovedUpstreams: []string{"u2"}})
	if got := f.upstreamNames(); got != "u1 u3 " {
		t.Errorf("upstreams after the outage: %s", got)
	}
}
