package registry

import (
	"slices"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestAnnouncement checks that the announcement's lease is renewed, that it is written
// again when the lease has ended, and that it can be withdrawn.
func TestAnnouncement(t *testing.T) {
	f := newFixture(t, "n1")
	f.step(func() { f.state.SetEntry(&f.ctx, true) })
	f.step(func() { f.state.Announce(&f.ctx, f.ctx.Self) })
	f.answer(effect.Announce, event.RegistryResult{Lease: 77})
	f.advance(DefaultLeaseTime / renewalsPerLease)
	if call := f.open[effect.RenewLease]; call.Lease != 77 {
		t.Fatalf("renewed lease %d, want 77", call.Lease)
	}
	f.answer(effect.RenewLease, event.RegistryResult{Status: event.StoreConflict})
	if call, found := f.open[effect.Announce]; !found || call.Lease != 0 {
		t.Fatalf("no new announcement after the lease has ended: %+v", f.open)
	}
	f.answer(effect.Announce, event.RegistryResult{Status: event.StoreUnknown})
	f.advance(2 * retryInterval)
	f.answer(effect.Announce, event.RegistryResult{Lease: 78})
	f.step(func() { f.state.Withdraw(&f.ctx) })
	if call := f.open[effect.Withdraw]; call.Lease != 78 {
		t.Errorf("withdrawal does not end lease 78: %+v", f.open)
	}
}

// TestEntryNodeHasShortLease checks that a node takes a shorter lease when callers are told
// to use it, so that they do not meet it for long after it has failed.
func TestEntryNodeHasShortLease(t *testing.T) {
	f := newFixture(t, "n1")
	f.step(func() { f.state.Announce(&f.ctx, f.ctx.Self) })
	if call := f.open[effect.Announce]; call.LeaseTime != DefaultSpareLeaseTime {
		t.Errorf("lease of %v, want %v", call.LeaseTime, DefaultSpareLeaseTime)
	}
	f.answer(effect.Announce, event.RegistryResult{Lease: 7})
	f.step(func() { f.state.SetEntry(&f.ctx, true) })
	if call := f.open[effect.Announce]; call.Lease != 0 || call.LeaseTime != DefaultLeaseTime {
		t.Errorf("announcement of an entry node %+v", call)
	}
}

// entryViewBound is the time after which the users no longer accept the address of a host
// that is off in an entry reply, for the smallest deployments.
const entryViewBound = 7 * time.Second

// TestSilentReaderStaysListed guards against a node that goes on to list the host whose updates
// it followed after that host went off, because the last update counts as recent.
func TestSilentReaderStaysListed(t *testing.T) {
	probe := newFixture(t, "n1")
	answerInitialReads(probe, 1, "u1")
	reader := probe.state.readerOf("a", "").Host
	follower := "n1"
	if reader == "n1" {
		follower = "n2"
	}
	f := newFixture(t, follower)
	answerInitialReads(f, 1, "u1")
	f.advance(10 * time.Millisecond)
	list := []model.Member{member("n1"), member("n2"), member("n3")}
	f.step(func() {
		f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{
			RoutesAge: -1, UpstreamsAge: -1, MembersHash: hashMembers(list), Members: list, MembersRevision: 6,
		})
	})
	others := slices.DeleteFunc(slices.Clone(list), func(m model.Member) bool { return m.Host == reader })
	silentSince := f.ctx.Now
	for f.ctx.Now.Sub(silentSince) < entryViewBound {
		f.advance(50 * time.Millisecond)
		for verb, call := range f.open {
			switch {
			case verb != effect.WatchMembers && verb != effect.ReadMembers:
				f.answer(verb, event.RegistryResult{Revision: 6, Lease: 1, Upstreams: registrations("u1")})
			case f.ctx.Now.Sub(silentSince) > DefaultLeaseTime:
				f.answer(verb, event.RegistryResult{Revision: 8, Members: others, RemovedMembers: []model.HostID{reader}})
			case call.Wait < time.Second:
				f.answer(verb, event.RegistryResult{Revision: 6})
			}
		}
	}
	for _, m := range f.state.Members() {
		if m.Host == reader {
			t.Errorf("the silent host is still listed after %v", entryViewBound)
		}
	}
}

// TestRefusedAnnouncement replays a store that refuses one node for ten seconds while it
// serves the others: the node must not repeat its announcement at the rate of its reads,
// and must be listed again soon after the end.
func TestRefusedAnnouncement(t *testing.T) {
	f := newFixture(t, "n1")
	f.step(func() { f.state.Announce(&f.ctx, f.ctx.Self) })
	f.answer(effect.Announce, event.RegistryResult{Lease: 7})
	calls := 0
	fail := func() {
		for _, verb := range []effect.RegistryVerb{effect.Announce, effect.RenewLease} {
			if _, found := f.open[verb]; found {
				calls++
				f.answer(verb, event.RegistryResult{Status: event.StoreRejected})
			}
		}
	}
	for range 100 {
		f.advance(100 * time.Millisecond)
		fail()
	}
	if calls > 8 {
		t.Errorf("%d lease calls in ten seconds of refusals", calls)
	}
	f.advance(3600 * time.Millisecond)
	for _, verb := range []effect.RegistryVerb{effect.Announce, effect.RenewLease} {
		if _, found := f.open[verb]; found {
			return
		}
	}
	t.Error("no lease call within 3.6 s after the last refusal")
}

// TestDroppedSuspicionIsLogged guards against reports that vanish without a trace: while the
// store is away, crashes pile up, and an operator has to see that not all were passed on.
func TestDroppedSuspicionIsLogged(t *testing.T) {
	f := newFixture(t, "n1")
	logged := 0
	for i := range maxPendingReports + 3 {
		f.step(func() {
			f.state.ReportSuspicion(&f.ctx, message.Suspicion{Service: "s", Fingerprint: model.Fingerprint(i)})
			for _, e := range f.ctx.Effects {
				if line, ok := e.(effect.Log); ok && line.Message == "suspicion dropped" {
					logged++
				}
			}
		})
	}
	if logged != 3 {
		t.Errorf("%d lines for 3 dropped suspicions", logged)
	}
}
