package registry

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// fixture runs one registry state in virtual time.
type fixture struct {
	t      *testing.T
	state  *State
	ctx    step.Context
	timers timer.Queue
	// open holds the calls in flight, by verb.
	open map[effect.RegistryVerb]effect.CallRegistry
	sent []effect.SendPeer
	// calls counts all calls so far.
	calls   int
	changes Changes
}

// newFixture returns a node that starts without the bootstrap, as if it were already over.
func newFixture(t *testing.T, host string) *fixture {
	settings := DefaultSettings()
	settings.BootstrapTime = 0
	return newFixtureWith(t, host, settings)
}

func newFixtureWith(t *testing.T, host string, settings Settings) *fixture {
	f := &fixture{t: t, state: New(settings), open: make(map[effect.RegistryVerb]effect.CallRegistry)}
	f.ctx = step.Context{
		Now:    model.Instant(1000 * time.Second),
		Random: rand.New(rand.NewPCG(1, 1)),
		Timers: &f.timers,
		Config: &model.Config{},
		Self: model.Member{
			Host: model.HostID(host), FailureDomain: "a", PeerAddress: host, State: model.Serving, Incarnation: 1,
		},
	}
	f.state.SetObserver(noObserver{})
	f.step(func() { f.state.Start(&f.ctx) })
	return f
}

type noObserver struct{}

func (noObserver) TakeObservations() []model.Observation { return nil }

// step runs one event handler and records its effects.
func (f *fixture) step(run func()) {
	f.ctx.Effects = nil
	run()
	for _, e := range f.ctx.Effects {
		switch e := e.(type) {
		case effect.CallRegistry:
			if _, found := f.open[e.Verb]; found {
				f.t.Fatalf("second call of verb %d while one is in flight", e.Verb)
			}
			f.open[e.Verb] = e
			f.calls++
		case effect.SendPeer:
			f.sent = append(f.sent, e)
		}
	}
}

// advance moves the clock and fires the timers that fall due; calls get no results.
func (f *fixture) advance(d time.Duration) {
	end := f.ctx.Now.Add(d)
	for {
		at, ok := f.timers.Next()
		if !ok || at > end {
			break
		}
		f.ctx.Now = max(at, f.ctx.Now)
		due, _ := f.timers.PopDue(f.ctx.Now)
		f.step(func() { f.changes = f.state.HandleTimer(&f.ctx, due.ID) })
	}
	f.ctx.Now = end
}

// answer applies a result to the call in flight with the verb. The status is StoreOK by
// default.
func (f *fixture) answer(verb effect.RegistryVerb, result event.RegistryResult) Changes {
	f.t.Helper()
	call, found := f.open[verb]
	if !found {
		f.t.Fatalf("no call of verb %d in flight", verb)
	}
	delete(f.open, verb)
	result.Operation = call.Operation
	if result.Status == 0 {
		result.Status = event.StoreOK
	}
	var changes Changes
	f.step(func() { changes = f.state.HandleResult(&f.ctx, result) })
	return changes
}

// registrations returns one registration for each instance name, all of one service.
func registrations(names ...string) []model.Registration {
	var list []model.Registration
	for _, name := range names {
		list = append(list, model.Registration{Instance: name, Upstream: model.Upstream{ID: model.UpstreamID("s/" + name), Address: name}})
	}
	return list
}

// upstreamNames returns the instance names in the upstream view, each followed by a
// space.
func (f *fixture) upstreamNames() string {
	text := ""
	for _, r := range f.state.Upstreams() {
		text += r.Instance + " "
	}
	return text
}

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

// member returns a serving node of failure domain "a".
func member(host string) model.Member {
	return model.Member{Host: model.HostID(host), FailureDomain: "a", PeerAddress: host, State: model.Serving, Incarnation: 1}
}

// answerInitialReads answers the initial reads of routes, upstreams and members.
func answerInitialReads(f *fixture, version model.Revision, upstreams ...string) {
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: version}})
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registrations(upstreams...)})
	f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: []model.Member{member("n1"), member("n2"), member("n3")}})
}

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
