package registry

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestSharedRegistryView checks a reader and a subscriber: the subscriber makes no calls of its
// own while it gets updates, sees changes at once, and reads for itself within the age
// limits once the reader is silent.
func TestSharedRegistryView(t *testing.T) {
	probe := newFixture(t, "n1")
	answerInitialReads(probe, 1, "u1")
	readerHost := string(probe.state.readerOf("a", "").Host)
	subscriberHost := "n1"
	if readerHost == subscriberHost {
		subscriberHost = "n2"
	}
	reader, subscriber := newFixture(t, readerHost), newFixture(t, subscriberHost)
	answerInitialReads(reader, 1, "u1")
	answerInitialReads(subscriber, 1, "u1")
	// deliver delivers the messages of both nodes.
	deliver := func() {
		for _, e := range subscriber.sent {
			if m, ok := e.Message.(message.RegistrySubscribe); ok && e.To == model.HostID(readerHost) {
				reader.step(func() { reader.state.HandleSubscribe(&reader.ctx, model.HostID(subscriberHost), m) })
			}
		}
		subscriber.sent = nil
		for _, e := range reader.sent {
			if m, ok := e.Message.(message.RegistryUpdate); ok && e.To == model.HostID(subscriberHost) {
				subscriber.step(func() { subscriber.changes = subscriber.state.HandleUpdate(&subscriber.ctx, m) })
			}
		}
		reader.sent = nil
	}
	upstreams := registrations("u1")
	// run advances both nodes and answers the reader's calls.
	run := func(d time.Duration, sharing bool) {
		for range int(d / (50 * time.Millisecond)) {
			reader.advance(50 * time.Millisecond)
			subscriber.advance(50 * time.Millisecond)
			for verb := range reader.open {
				result := event.RegistryResult{Revision: 6, Lease: 1}
				if verb == effect.ReadUpstreams || verb == effect.WatchUpstreams {
					result.Upstreams = upstreams
				}
				if verb == effect.ReadMembers {
					result.Members = []model.Member{member("n1"), member("n2"), member("n3")}
				}
				reader.answer(verb, result)
			}
			if sharing {
				deliver()
			}
		}
	}
	run(2*time.Second, true)
	for verb := range subscriber.open {
		subscriber.answer(verb, event.RegistryResult{Revision: 6, Lease: 1, Upstreams: upstreams, Members: []model.Member{member("n1"), member("n2"), member("n3")}})
	}
	before := subscriber.calls
	run(3*time.Second, true)
	renewals := 3
	if made := subscriber.calls - before; made > renewals {
		t.Errorf("the subscriber made %d calls in 3 s, want only the renewals of its lease", made)
	}
	upstreams = registrations("u1", "u9")
	run(DefaultPollInterval+100*time.Millisecond, true)
	if got := subscriber.upstreamNames(); got != "u1 u9 " {
		t.Errorf("upstreams of the subscriber: %s", got)
	}
	run(2*DefaultPollInterval+100*time.Millisecond, false)
	// The watch continues from the reader's list and is short, so that a call without a
	// response is noticed.
	if call, watches := subscriber.open[effect.WatchUpstreams]; !watches || call.After != 6 || call.Wait > catchUpWait {
		t.Errorf("the subscriber does not catch up while the reader is silent: %v", subscriber.open)
	}
}

// TestStaleUpdatesAreIgnored checks that an update that is older than the node's own
// view changes nothing, so that a reader resuming after a freeze cannot make its
// subscribers go back.
func TestStaleUpdatesAreIgnored(t *testing.T) {
	f := newFixture(t, "n1")
	answerInitialReads(f, 3, "u1", "u2")
	old := registrations("u1")
	var changes Changes
	f.step(func() {
		changes = f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{
			RoutesVersion: 2, Routes: &model.RouteTable{Version: 2}, RoutesAge: int64(time.Second),
			Upstreams: old, UpstreamsHash: hashRegistrations(old), UpstreamsAge: int64(time.Second),
			MembersAge: int64(time.Second), Members: []model.Member{},
		})
	})
	if changes.Routes || changes.Upstreams || changes.Members || f.upstreamNames() != "u1 u2 " {
		t.Errorf("stale update: changes %+v, upstreams %s", changes, f.upstreamNames())
	}
}

// TestHashesDistinguishLists checks that different lists have different hashes, and
// that the warm-up does not change the hash.
func TestHashesDistinguishLists(t *testing.T) {
	base := registrations("u1", "u2")
	warm := registrations("u1", "u2")
	warm[0].Warmup = time.Second
	if hashRegistrations(base) != hashRegistrations(warm) {
		t.Error("the warm-up changes the hash")
	}
	for i, change := range []func(r *model.Registration){
		func(r *model.Registration) { r.Upstream.Draining = true },
		func(r *model.Registration) { r.Upstream.Address = "x" },
		func(r *model.Registration) { r.Incarnation = 5 },
		func(r *model.Registration) { r.Upstream.Slots = 5 },
	} {
		other := registrations("u1", "u2")
		change(&other[1])
		if hashRegistrations(base) == hashRegistrations(other) {
			t.Errorf("change %d does not change the hash", i)
		}
	}
	if fmt.Sprint(hashMembers([]model.Member{member("n1")})) == fmt.Sprint(hashMembers([]model.Member{member("n2")})) {
		t.Error("different members have the same hash")
	}
}

// requestUpdate returns the update that the node sends to a new subscriber.
func (f *fixture) requestUpdate(t *testing.T) message.RegistryUpdate {
	t.Helper()
	f.sent = nil
	f.step(func() { f.state.HandleSubscribe(&f.ctx, "follower", message.RegistrySubscribe{Address: "follower"}) })
	if len(f.sent) != 1 {
		t.Fatalf("%d messages sent, want 1", len(f.sent))
	}
	return f.sent[0].Message.(message.RegistryUpdate)
}

// TestRetainedEntriesAreNotShared guards against a reader that shares registrations which
// it retains only because of an outage of its path to the store. A subscriber whose own
// read no longer listed the upstream must not add it again.
func TestRetainedEntriesAreNotShared(t *testing.T) {
	reader, subscriber := newFixture(t, "n1"), newFixture(t, "n2")
	answerInitialReads(reader, 1, "u1", "u2")
	answerInitialReads(subscriber, 1, "u1", "u2")
	reader.advance(5 * time.Second)
	for range 5 {
		subscriber.advance(DefaultPollInterval)
		subscriber.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1", "u2")})
	}
	subscriber.advance(DefaultPollInterval)
	subscriber.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1")})
	reader.advance(DefaultPollInterval + 100*time.Millisecond)
	subscriber.advance(100 * time.Millisecond)
	reader.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1")})
	if got := reader.upstreamNames(); got != "u1 u2 " {
		t.Errorf("upstreams of the reader: %s", got)
	}
	update := reader.requestUpdate(t)
	subscriber.step(func() { subscriber.state.HandleUpdate(&subscriber.ctx, update) })
	if got := subscriber.upstreamNames(); got != "u1 " {
		t.Errorf("upstreams of the subscriber: %s", got)
	}
}

// TestRestartedReader guards against a reader that has restarted in a store outage and
// shares a list without the registrations that expired in it. Its subscribers must keep
// those until live upstreams have had the time to register again.
func TestRestartedReader(t *testing.T) {
	subscriber := newFixture(t, "n2")
	answerInitialReads(subscriber, 1, "u1", "u2", "u3")
	subscriber.advance(6 * time.Second)
	reader := newFixture(t, "n1")
	reader.ctx.Now = subscriber.ctx.Now
	answerInitialReads(reader, 1, "u1")
	subscriber.step(func() { subscriber.state.HandleUpdate(&subscriber.ctx, reader.requestUpdate(t)) })
	if got := subscriber.upstreamNames(); got != "u1 u2 u3 " {
		t.Errorf("upstreams of the subscriber right after the outage: %s", got)
	}
	for range 4 {
		reader.advance(DefaultPollInterval)
		subscriber.advance(DefaultPollInterval)
		reader.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations("u1", "u2")})
		subscriber.step(func() { subscriber.state.HandleUpdate(&subscriber.ctx, reader.requestUpdate(t)) })
	}
	if got := subscriber.upstreamNames(); got != "u1 u2 " {
		t.Errorf("upstreams of the subscriber four seconds after the outage: %s", got)
	}
}

// TestObservationsAreAggregatedOnce checks that a reader aggregates its subscribers'
// observations once per interval, not for each of their messages.
func TestObservationsAreAggregatedOnce(t *testing.T) {
	f := newFixture(t, "reader")
	ask := func(host string, answered int) []model.Observation {
		f.step(func() {
			f.state.HandleSubscribe(&f.ctx, model.HostID(host), message.RegistrySubscribe{
				Address: host, Observations: []model.Observation{{Upstream: "s/u", Answered: answered}},
			})
		})
		return f.state.Observations(&f.ctx)
	}
	if got := ask("n1", 3); len(got) != 1 || got[0].Answered != 3 {
		t.Fatalf("observations %+v, want 3 answers", got)
	}
	if got := ask("n2", 4); got[0].Answered != 3 {
		t.Errorf("aggregated again within the interval: %+v", got)
	}
	f.ctx.Now = f.ctx.Now.Add(aggregationInterval)
	if got := ask("n3", 5); got[0].Answered != 12 {
		t.Errorf("observations after the interval: %+v, want 12 answers", got)
	}
}

// TestLargeRoutesAreRead checks that a reader with many subscribers does not send a
// large configuration to each of them, and that they read it from the store as soon as
// they learn of the version.
func TestLargeRoutesAreRead(t *testing.T) {
	reader, subscriber := newFixture(t, "reader"), newFixture(t, "n1")
	answerInitialReads(reader, 2, "u1")
	answerInitialReads(subscriber, 1, "u1")
	if m := reader.requestUpdate(t); m.Routes == nil {
		t.Error("a small configuration was not sent")
	}
	for i := range 100 {
		reader.step(func() {
			reader.state.HandleSubscribe(&reader.ctx, model.HostID(fmt.Sprintf("f%d", i)), message.RegistrySubscribe{Address: "f"})
		})
	}
	reader.state.routes.Routes = make([]model.Route, maxSharedRoutes/100)
	m := reader.requestUpdate(t)
	if m.Routes != nil || m.RoutesVersion != 2 {
		t.Fatalf("update with version %d and routes %v, want version 2 without routes", m.RoutesVersion, m.Routes)
	}
	delete(subscriber.open, effect.WatchRoutes)
	subscriber.state.tasks[taskRoutes].operation = 0
	subscriber.step(func() { subscriber.state.HandleUpdate(&subscriber.ctx, m) })
	if _, reads := subscriber.open[effect.ReadRoutes]; !reads {
		t.Errorf("the subscriber does not read the routes: %v", subscriber.open)
	}
}

// TestReadersOfLargeDomains checks that no reader of a large failure domain has many
// more subscribers than subscribersPerReader, and that a small domain has one reader.
func TestReadersOfLargeDomains(t *testing.T) {
	for _, c := range []struct{ nodes, readers int }{{8, 1}, {16, 1}, {75, 5}} {
		f := newFixture(t, "n0")
		var members []model.Member
		for i := range c.nodes {
			members = append(members, member(fmt.Sprintf("n%d", i)))
		}
		f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: members})
		subscribers := make(map[model.HostID]int)
		for _, m := range members {
			subscribers[f.state.readerOf("a", m.Host).Host]++
		}
		if len(subscribers) != c.readers {
			t.Errorf("%d nodes have %d readers, want %d", c.nodes, len(subscribers), c.readers)
		}
		for host, count := range subscribers {
			if f.state.readerOf("a", host).Host != host {
				t.Errorf("reader %s subscribes to another node", host)
			}
			if count > 2*subscribersPerReader {
				t.Errorf("%d nodes: reader %s has %d subscribers", c.nodes, host, count)
			}
		}
	}
}

// TestSilentReaderIsNoticedInTime guards against a subscriber that sees too late that an
// upstream leaves, because its reader and then its own first call get no response. A read
// must be under way while a second call still fits into the upstreams' drain time, which
// is three poll intervals.
func TestSilentReaderIsNoticedInTime(t *testing.T) {
	f := newFixture(t, "n2")
	answerInitialReads(f, 1, "u1")
	f.advance(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Revision: 5, Upstreams: registrations("u1")})
	f.advance(10 * time.Millisecond)
	silentSince := f.ctx.Now
	f.step(func() {
		f.state.HandleUpdate(&f.ctx, message.RegistryUpdate{
			UpstreamsHash: hashRegistrations(registrations("u1")), Upstreams: registrations("u1"), RoutesAge: -1, MembersAge: -1,
		})
	})
	for f.open[effect.WatchUpstreams].Operation == 0 {
		f.advance(10 * time.Millisecond)
	}
	f.advance(f.open[effect.WatchUpstreams].Timeout)
	f.answer(effect.WatchUpstreams, event.RegistryResult{Status: event.StoreUnknown})
	for f.open[effect.ReadUpstreams].Operation == 0 {
		f.advance(10 * time.Millisecond)
	}
	if took := f.ctx.Now.Sub(silentSince); took > 3*DefaultPollInterval {
		t.Errorf("the second call starts %v after the reader fell silent, want it within the drain time of %v", took, 3*DefaultPollInterval)
	}
}

// TestStaleReadOfReaderTakenForCurrent guards against nodes that do not ask the store for seconds
// because a reader that has just started confirms their view with a stale read.
func TestStaleReadOfReaderTakenForCurrent(t *testing.T) {
	reader := startStale(t, "u1", "u2")
	update := reader.requestUpdate(t)
	if update.RoutesAge >= 0 || update.UpstreamsAge >= 0 || update.MembersAge >= 0 || update.Upstreams != nil {
		t.Errorf("update from a stale read: %+v", update)
	}
	f := newFixture(t, "n2")
	answerInitialReads(f, 1, "u1", "u2")
	f.advance(2 * time.Second)
	age := f.state.UpstreamsAge(f.ctx.Now)
	f.step(func() { f.state.HandleUpdate(&f.ctx, update) })
	if got := f.state.UpstreamsAge(f.ctx.Now); got != age {
		t.Errorf("age of the upstreams %v after the update, %v before", got, age)
	}
}
