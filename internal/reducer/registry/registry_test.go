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

// TestRoutesNeverGoBack checks that no order of reads, watches, failures and updates
// from other nodes replaces the routes by older ones.
func TestRoutesNeverGoBack(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		f := newFixture(t, "n1")
		newest := model.Revision(0)
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			version := model.Revision(rapid.IntRange(1, 9).Draw(r, "version"))
			table := &model.RouteTable{Version: version}
			switch rapid.IntRange(0, 3).Draw(r, "kind") {
			case 0:
				f.step(func() {
					f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{RoutesVersion: version, Routes: table, UpstreamsAge: -1, MembersAge: -1})
				})
			case 1:
				f.advance(time.Second)
			default:
				for _, verb := range []effect.RegistryVerb{effect.ReadRoutes, effect.WatchRoutes} {
					if _, found := f.open[verb]; found {
						status := rapid.SampledFrom([]event.StoreStatus{event.StoreOK, event.StoreUnknown, event.StoreTruncated}).Draw(r, "status")
						f.answer(verb, event.RegistryResult{Status: status, Revision: 7, Routes: table})
					}
				}
			}
			if known := f.state.Routes(); known != nil {
				if known.Version < newest {
					r.Fatalf("routes went back to version %d after %d", known.Version, newest)
				}
				newest = known.Version
			}
		}
	})
}

// TestMissingUpstreams checks when an upstream without a registration is removed: at
// once while the store answers, and after an outage only once live upstreams have had
// the time to register again.
func TestMissingUpstreams(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1", "u2", "u3")})
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1", "u2")})
	if got := f.upstreamNames(); got != "u1 u2 " {
		t.Errorf("upstreams after a successful read: %s", got)
	}
	for range 5 {
		f.advance(time.Second)
		f.answer(effect.ReadUpstreams, event.RegistryResult{Status: event.StoreRejected})
	}
	f.advance(time.Second)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1")})
	if got := f.upstreamNames(); got != "u1 u2 " {
		t.Errorf("upstreams right after an outage: %s", got)
	}
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1")})
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1")})
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1")})
	if got := f.upstreamNames(); got != "u1 " {
		t.Errorf("upstreams three seconds after an outage: %s", got)
	}
}

// TestReusedAddress checks that an upstream that went missing in an outage is removed
// when another upstream has taken its address.
func TestReusedAddress(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1", "u2")})
	f.advance(5 * time.Second)
	other := registrations("u3")
	other[0].Upstream.Address = "u2"
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: other})
	if got := f.upstreamNames(); got != "u1 u3 " {
		t.Errorf("upstreams: %s", got)
	}
}

// TestWatchRestartsWithRead checks that a task reads again after its watch has failed:
// at once when the store no longer has the revision, and after a delay otherwise.
func TestWatchRestartsWithRead(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: 1}})
	f.advance(routeWatchDelay)
	if call := f.open[effect.WatchRoutes]; call.After != 5 {
		t.Fatalf("watch starts after revision %d, want 5", call.After)
	}
	f.answer(effect.WatchRoutes, event.RegistryResult{Status: event.StoreTruncated})
	if _, found := f.open[effect.ReadRoutes]; !found {
		t.Error("no read after the store lost the revision")
	}
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 9})
	f.advance(routeWatchDelay)
	f.answer(effect.WatchRoutes, event.RegistryResult{Status: event.StoreUnknown})
	if _, found := f.open[effect.ReadRoutes]; found {
		t.Error("read without a delay after a failure")
	}
	f.advance(2 * retryInterval)
	if _, found := f.open[effect.ReadRoutes]; !found {
		t.Error("no read after a failure")
	}
}

// TestWatchedUpstreams checks that the view follows the changes that a watch reports, and
// that the node reads the whole list again after the watch has failed.
func TestWatchedUpstreams(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 5, Upstreams: registrations("u1", "u2")})
	f.advance(DefaultPollInterval / 2)
	if call := f.open[effect.WatchUpstreams]; call.After != 5 {
		t.Fatalf("watch after revision %d, want 5", call.After)
	}
	f.answer(effect.WatchUpstreams, event.RegistryResult{Revision: 7, Upstreams: registrations("u3"), RemovedUpstreams: []string{"u1", "unknown"}})
	if got := f.upstreamNames(); got != "u2 u3 " {
		t.Errorf("upstreams after the watch: %s", got)
	}
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Revision: 7})
	if got := f.upstreamNames(); got != "u2 u3 " {
		t.Errorf("upstreams after a watch without changes: %s", got)
	}
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Status: event.StoreTruncated})
	if _, reads := f.open[effect.ReadUpstreams]; !reads {
		t.Error("no read after the store lost the revision")
	}
}

// TestWatchedUpstreamsAfterOutage checks that registrations that expired in an outage of
// the store are kept until live upstreams have had the time to register again.
func TestWatchedUpstreamsAfterOutage(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 5, Upstreams: registrations("u1", "u2")})
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Status: event.StoreUnknown})
	f.advance(3 * DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 9, Upstreams: registrations("u1")})
	if got := f.upstreamNames(); got != "u1 u2 " {
		t.Errorf("upstreams right after the outage: %s", got)
	}
	for range 4 {
		f.advance(DefaultPollInterval)
		if _, watches := f.open[effect.WatchUpstreams]; watches {
			f.answer(effect.WatchUpstreams, event.RegistryResult{Revision: 9})
		}
	}
	if got := f.upstreamNames(); got != "u1 " {
		t.Errorf("upstreams four seconds after the outage: %s", got)
	}
}

// TestKeptUpstreamsAreDroppedInTime guards against an upstream whose registration was
// removed on purpose while the node could not read the store. It must not be kept longer
// than live upstreams need to register again, even if no call returns meanwhile.
func TestKeptUpstreamsAreDroppedInTime(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 5, Upstreams: registrations("u1", "u2")})
	f.advance(DefaultPollInterval / 2)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Status: event.StoreUnknown})
	f.advance(3 * DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 9, Upstreams: registrations("u1")})
	if got := f.upstreamNames(); got != "u1 u2 " {
		t.Errorf("upstreams right after the outage: %s", got)
	}
	f.advance(DefaultReregisterTime + time.Millisecond)
	if got := f.upstreamNames(); got != "u1 " {
		t.Errorf("upstreams %v after the outage: %s", DefaultReregisterTime, got)
	}
}
