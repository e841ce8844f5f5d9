package registry

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestFleetStartMakesFewCalls guards against a fleet whose nodes all read every page of the
// registry when they start together. Until a node has found its reader it makes only stale
// reads; a subscriber then uses the reader's view, and the reader reads for itself.
func TestFleetStartMakesFewCalls(t *testing.T) {
	probe := newFixture(t, "n1")
	answerInitialReads(probe, 1, "u1")
	readerHost := probe.state.readerOf("a", "").Host
	all := []model.Member{member("n1"), member("n2"), member("n3")}
	for _, self := range all {
		f := newFixtureWith(t, string(self.Host), DefaultSettings())
		for verb, call := range f.open {
			if !call.AllowStale {
				t.Errorf("%s: the first call of verb %d is not a stale read", self.Host, verb)
			}
		}
		f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: 1}})
		f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 5, Upstreams: registrations("u1")})
		f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5})
		f.advance(bootstrapInterval)
		f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: all})
		f.advance(firstSubscribeDelay)
		_, reads := f.open[effect.ReadUpstreams]
		if isReader := self.Host == readerHost; reads != isReader {
			t.Errorf("%s: reads the upstreams %t, is the reader %t", self.Host, reads, isReader)
		}
		if call := f.open[effect.ReadUpstreams]; call.AllowStale {
			t.Errorf("%s: the reader's read is stale", self.Host)
		}
	}
}

// TestBootstrapEndsWithoutReader guards against a node that uses stale data for long
// because no reader answers: at the end of the bootstrap it reads the registry itself.
func TestBootstrapEndsWithoutReader(t *testing.T) {
	f := newFixtureWith(t, "n1", DefaultSettings())
	answerInitialReads(f, 1, "u1")
	f.advance(DefaultBootstrapTime + 2*bootstrapInterval)
	for _, verb := range []effect.RegistryVerb{effect.ReadRoutes, effect.ReadUpstreams} {
		if call, found := f.open[verb]; !found || call.AllowStale {
			t.Errorf("call of verb %d in flight %t, stale %t, want a read that is not stale", verb, found, call.AllowStale)
		}
	}
}
