package registry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// viewAge is the age up to which a node uses a list without a read of its own.
const viewAge = time.Duration(maxSharedPollIntervals * float64(DefaultPollInterval))

// TestViewAfterStoreReturnsFromCopy checks, for any age of the copy from which the store comes back,
// and any starts of the nodes of a failure domain, that no node uses an upstream again that it knew to
// be gone, that none loses one whose entry the copy lacks, and that all follow the changes that are made
// afterwards, though their revisions have been given out before.
func TestViewAfterStoreReturnsFromCopy(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		l := &timeline{t: t, entries: make(map[string][]span), ends: make(map[string]time.Duration), hasEras: true}
		l.staleAge = drawTime(r, "stale age", 0, 5*time.Second)
		l.isSilent = rapid.Bool().Draw(r, "silent")
		l.restoredAt = drawTime(r, "restored", 8*time.Second, 14*time.Second)
		l.copyAge = drawTime(r, "copy age", 0, 6*time.Second)
		l.outage = span{from: l.restoredAt - drawTime(r, "away", 0, 2*time.Second), to: l.restoredAt}
		l.rewrittenAt = l.restoredAt + drawTime(r, "rewritten", 0, 2*time.Second)
		copied := l.restoredAt - l.copyAge
		l.entries["stays"] = []span{{from: -forever, to: forever}}
		left := drawTime(r, "left", 5*time.Second, l.restoredAt)
		l.ends["left"] = left
		l.entries["left"] = []span{{from: -forever, to: left}}
		if left > copied {
			l.entries["left"] = []span{{from: -forever, to: left}, {from: l.restoredAt, to: l.restoredAt + 3600*time.Millisecond}}
		}
		joined := drawTime(r, "joined", 5*time.Second, l.restoredAt)
		l.entries["joined"] = []span{{from: joined, to: forever}}
		if joined > copied {
			l.entries["joined"] = []span{{from: joined, to: l.restoredAt}, {from: l.rewrittenAt, to: forever}}
		}
		leaves := l.restoredAt + drawTime(r, "leaves", 10*time.Millisecond, 6*time.Second)
		l.entries["leaves"] = []span{{from: -forever, to: leaves}}
		comes := l.restoredAt + drawTime(r, "comes", 10*time.Millisecond, 6*time.Second)
		l.entries["comes"] = []span{{from: comes, to: forever}}
		for _, name := range []string{"n1", "n2", "n3"}[:rapid.IntRange(1, 3).Draw(r, "nodes")] {
			l.add(name, span{from: drawTime(r, "start", 0, 10*time.Second), to: forever}, span{from: forever, to: forever})
		}
		seen := make(map[*timelineNode]map[string]bool)
		sawEnd := make(map[*timelineNode]bool)
		l.run(22*time.Second, func() {
			for _, n := range l.nodes {
				if n.fixture == nil {
					continue
				}
				if seen[n] == nil {
					seen[n] = make(map[string]bool)
				}
				isKnown := l.now >= n.alive.from+knownTime
				for name := range l.entries {
					// The first list of a reader may be older than a stale read.
					seen[n][name] = seen[n][name] || isKnown && n.uses(name)
				}
				// The view may lack what has been written since the last list.
				mayBeUnseen := l.now >= l.rewrittenAt && l.now < l.rewrittenAt+viewAge
				isStable := l.now >= l.restoredAt+stableTime
				sawEnd[n] = sawEnd[n] || seen[n]["left"] && !n.uses("left") && l.now < l.outage.from
				switch {
				case sawEnd[n] && n.uses("left"):
					r.Fatalf("%v: %s uses an upstream again that left at %v", l.now, n.name, left)
				case seen[n]["stays"] && !n.uses("stays"):
					r.Fatalf("%v: %s has dropped an upstream that stays", l.now, n.name)
				case seen[n]["joined"] && !n.uses("joined") && !mayBeUnseen:
					r.Fatalf("%v: %s has dropped an upstream that the copy lacks", l.now, n.name)
				case isKnown && isStable && l.now > leaves+drainTime && n.uses("leaves"):
					r.Fatalf("%v: %s uses an upstream that left at %v", l.now, n.name, leaves)
				case isKnown && isStable && l.now > comes+2*time.Second && !n.uses("comes"):
					r.Fatalf("%v: %s does not know an upstream that came at %v", l.now, n.name, comes)
				}
			}
		})
	})
}

// TestOlderEraIsDiscarded guards against a late result of an older era that replaces newer data, and
// against a lease of an older era that is renewed: its number may be another node's by now.
func TestOlderEraIsDiscarded(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadRoutes, event.RegistryResult{Era: 2, Revision: 5, Routes: &model.RouteTable{Version: 1}})
	f.answer(effect.ReadMembers, event.RegistryResult{Era: 2, Revision: 5})
	f.answer(effect.ReadUpstreams, event.RegistryResult{Era: 1, Revision: 90, Upstreams: registrations("u1")})
	if got := f.upstreamNames(); got != "" {
		t.Errorf("upstreams of an older era: %s", got)
	}
	f.advance(2 * retryInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Era: 2, Revision: 5, Upstreams: registrations("u1", "u2")})
	f.step(func() { f.state.Announce(&f.ctx, member("n1")) })
	f.answer(effect.Announce, event.RegistryResult{Era: 2, Lease: 7})
	f.step(func() {
		list := registrations("u3")
		f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{Era: 3, Upstreams: list, UpstreamsHash: hashRegistrations(list), UpstreamsRevision: 1})
	})
	f.advance(announceSpread)
	if call, found := f.open[effect.Announce]; !found || call.Lease != 0 {
		t.Errorf("announcement in flight %t, with lease %d of an older era", found, call.Lease)
	}
	f.step(func() {
		f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{Era: 2, Upstreams: registrations(), UpstreamsHash: 1, UpstreamsRevision: 99})
	})
	if got := f.upstreamNames(); got != "u1 u2 u3 " {
		t.Errorf("upstreams: %s", got)
	}
}

// TestFallingEras guards against a node that follows the store no longer because its era, which never
// falls, was once stated too high.
func TestFallingEras(t *testing.T) {
	f := newFixture(t, "n1")
	answerInitialReads(f, 1, "u1")
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Era: 1000, Revision: 5, Upstreams: registrations("u1")})
	for range maxOlderResults + 2 {
		f.advance(2 * DefaultPollInterval)
		for _, verb := range []effect.RegistryVerb{effect.ReadUpstreams, effect.WatchUpstreams} {
			if _, found := f.open[verb]; found {
				f.answer(verb, event.RegistryResult{Era: 2, Revision: 6, Upstreams: registrations("u1", "u2")})
			}
		}
	}
	if got := f.upstreamNames(); got != "u1 u2 " || f.state.statedEra() != 0 {
		t.Errorf("upstreams %s, stated era %d", got, f.state.statedEra())
	}
}

// TestBlockIsLostWithEra guards against a block of content that nodes which start do not learn of,
// because the store has come back from a copy without it.
func TestBlockIsLostWithEra(t *testing.T) {
	f := newFixture(t, "n1")
	answerInitialReads(f, 1, "u1")
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Era: 1, Revision: 5, Upstreams: registrations("u1")})
	block := message.Suspicion{Service: "s", Fingerprint: 7, Blocked: true, TimeLeft: int64(20 * time.Second)}
	f.step(func() { f.state.ReportSuspicion(&f.ctx, block) })
	f.answer(effect.ReportSuspicion, event.RegistryResult{Era: 1})
	f.advance(2 * time.Second)
	f.step(func() { f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{Era: 2, UpstreamsAge: -1}) })
	f.advance(announceSpread)
	call, found := f.open[effect.ReportSuspicion]
	if left := time.Duration(call.Suspicion.TimeLeft); !found || left > 18*time.Second || left < 17*time.Second {
		t.Errorf("report in flight %t, %v left of the block", found, left)
	}
}
