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

// fixture runs one registry state under virtual time.
type fixture struct {
	t      *testing.T
	state  *State
	ctx    step.Context
	timers timer.Queue
	// open holds the calls without a result, by verb.
	open map[effect.RegistryVerb]effect.CallRegistry
	sent []effect.SendPeer
	// calls counts all calls.
	calls   int
	changes Changes
}

func newFixture(t *testing.T, host string) *fixture {
	f := &fixture{t: t, state: New(DefaultSettings()), open: make(map[effect.RegistryVerb]effect.CallRegistry)}
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

// step runs a part and keeps its effects.
func (f *fixture) step(run func()) {
	f.ctx.Effects = nil
	run()
	for _, e := range f.ctx.Effects {
		switch e := e.(type) {
		case effect.CallRegistry:
			if _, there := f.open[e.Verb]; there {
				f.t.Fatalf("a second call of verb %d", e.Verb)
			}
			f.open[e.Verb] = e
			f.calls++
		case effect.SendPeer:
			f.sent = append(f.sent, e)
		}
	}
}

// pass lets time pass without results.
func (f *fixture) pass(d time.Duration) {
	end := f.ctx.Now.Add(d)
	for {
		at, ok := f.timers.Next()
		if !ok || at > end {
			break
		}
		f.ctx.Now = max(at, f.ctx.Now)
		due, _ := f.timers.PopDue(f.ctx.Now)
		f.step(func() { f.state.HandleTimer(&f.ctx, due.ID) })
	}
	f.ctx.Now = end
}

// answer gives the open call of a verb its result.
func (f *fixture) answer(verb effect.RegistryVerb, result event.RegistryResult) Changes {
	f.t.Helper()
	call, there := f.open[verb]
	if !there {
		f.t.Fatalf("no open call of verb %d", verb)
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

// registered returns registrations of one service by name.
func registered(names ...string) []model.Registration {
	var list []model.Registration
	for _, name := range names {
		list = append(list, model.Registration{Instance: name, Upstream: model.Upstream{ID: model.UpstreamID("s/" + name), Address: name}})
	}
	return list
}

// names returns what is believed of the upstreams.
func (f *fixture) names() string {
	text := ""
	for _, r := range f.state.Upstreams() {
		text += r.Instance + " "
	}
	return text
}

// TestRoutesNeverGoBack checks that no order of readings, watches, failures and
// shared beliefs replaces routes by older ones.
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
					f.state.HandleBeliefs(&f.ctx, message.RegistryUpdate{RoutesVersion: version, Routes: table, UpstreamsAge: -1, MembersAge: -1})
				})
			case 1:
				f.pass(time.Second)
			default:
				for _, verb := range []effect.RegistryVerb{effect.ReadRoutes, effect.WatchRoutes} {
					if _, there := f.open[verb]; there {
						status := rapid.SampledFrom([]event.StoreStatus{event.StoreOK, event.StoreUnknown, event.StoreTruncated}).Draw(r, "status")
						f.answer(verb, event.RegistryResult{Status: status, Revision: 7, Routes: table})
					}
				}
			}
			if known := f.state.Routes(); known != nil {
				if known.Version < newest {
					r.Fatalf("version %d after %d", known.Version, newest)
				}
				newest = known.Version
			}
		}
	})
}

// TestMissingUpstreams checks when an upstream that is not registered any more
// counts as gone: at once while the store answers, and after an outage only once
// live upstreams have had the time to register again.
func TestMissingUpstreams(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1", "u2", "u3")})
	f.pass(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1", "u2")})
	if got := f.names(); got != "u1 u2 " {
		t.Errorf("after a good reading: %s", got)
	}
	for range 5 {
		f.pass(time.Second)
		f.answer(effect.ReadUpstreams, event.RegistryResult{Status: event.StoreRejected})
	}
	f.pass(time.Second)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1")})
	if got := f.names(); got != "u1 u2 " {
		t.Errorf("right after an outage: %s", got)
	}
	f.pass(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1")})
	f.pass(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1")})
	f.pass(DefaultPollInterval)
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1")})
	if got := f.names(); got != "u1 " {
		t.Errorf("three seconds after an outage: %s", got)
	}
}

// TestTakenAddress checks that an upstream that vanished in an outage is not kept
// when another one has its address.
func TestTakenAddress(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1", "u2")})
	f.pass(5 * time.Second)
	other := registered("u3")
	other[0].Upstream.Address = "u2"
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: other})
	if got := f.names(); got != "u1 u3 " {
		t.Errorf("believed: %s", got)
	}
}

// TestWatchBeginsAgain checks that a watch that failed or lost its place begins with
// a reading, at once when the history is gone and after a pause otherwise.
func TestWatchBeginsAgain(t *testing.T) {
	f := newFixture(t, "n1")
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: 1}})
	f.pass(routePause)
	if call := f.open[effect.WatchRoutes]; call.After != 5 {
		t.Fatalf("watch after %d", call.After)
	}
	f.answer(effect.WatchRoutes, event.RegistryResult{Status: event.StoreTruncated})
	if _, there := f.open[effect.ReadRoutes]; !there {
		t.Error("no reading after the history was gone")
	}
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 9})
	f.pass(routePause)
	f.answer(effect.WatchRoutes, event.RegistryResult{Status: event.StoreUnknown})
	if _, there := f.open[effect.ReadRoutes]; there {
		t.Error("a reading without a pause after a failure")
	}
	f.pass(2 * retryInterval)
	if _, there := f.open[effect.ReadRoutes]; !there {
		t.Error("no reading after a failure")
	}
}

// TestAnnouncement checks that the announcement is kept, written again when the
// lease is gone, and taken back.
func TestAnnouncement(t *testing.T) {
	f := newFixture(t, "n1")
	f.step(func() { f.state.Announce(&f.ctx, f.ctx.Self) })
	f.answer(effect.Announce, event.RegistryResult{Lease: 77})
	f.pass(DefaultLeaseTime / renewalsPerLease)
	if call := f.open[effect.RenewLease]; call.Lease != 77 {
		t.Fatalf("renewal of %d", call.Lease)
	}
	f.answer(effect.RenewLease, event.RegistryResult{Status: event.StoreConflict})
	if call, there := f.open[effect.Announce]; !there || call.Lease != 0 {
		t.Fatalf("after the lease had ended: %+v", f.open)
	}
	f.answer(effect.Announce, event.RegistryResult{Status: event.StoreUnknown})
	f.pass(2 * retryInterval)
	f.answer(effect.Announce, event.RegistryResult{Lease: 78})
	f.step(func() { f.state.Withdraw(&f.ctx) })
	if call := f.open[effect.Withdraw]; call.Lease != 78 {
		t.Errorf("withdrawn %+v", f.open)
	}
}

// member returns a serving node of domain a.
func member(host string) model.Member {
	return model.Member{Host: model.HostID(host), FailureDomain: "a", PeerAddress: host, State: model.Serving, Incarnation: 1}
}

// settleReadings answers the first readings.
func settleReadings(f *fixture, version model.Revision, upstreams ...string) {
	f.answer(effect.ReadRoutes, event.RegistryResult{Revision: 5, Routes: &model.RouteTable{Version: version}})
	f.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered(upstreams...)})
	f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: []model.Member{member("n1"), member("n2"), member("n3")}})
}

// TestSharing checks with a reader and a follower that the follower makes no calls
// while it is told, hears of changes at once, and reads by itself within the age
// limits once the reader is silent.
func TestSharing(t *testing.T) {
	probe := newFixture(t, "n1")
	settleReadings(probe, 1, "u1")
	readerHost := string(probe.state.readerOf("a", "").Host)
	followerHost := "n1"
	if readerHost == followerHost {
		followerHost = "n2"
	}
	reader, follower := newFixture(t, readerHost), newFixture(t, followerHost)
	settleReadings(reader, 1, "u1")
	settleReadings(follower, 1, "u1")
	// deliver carries messages both ways.
	deliver := func() {
		for _, e := range follower.sent {
			if m, ok := e.Message.(message.RegistrySubscribe); ok && e.To == model.HostID(readerHost) {
				reader.step(func() { reader.state.HandleFollow(&reader.ctx, model.HostID(followerHost), m) })
			}
		}
		follower.sent = nil
		for _, e := range reader.sent {
			if m, ok := e.Message.(message.RegistryUpdate); ok && e.To == model.HostID(followerHost) {
				follower.step(func() { follower.changes = follower.state.HandleBeliefs(&follower.ctx, m) })
			}
		}
		reader.sent = nil
	}
	upstreams := registered("u1")
	// run lets both live for a time; the reader's calls are answered.
	run := func(d time.Duration, sharing bool) {
		for range int(d / (50 * time.Millisecond)) {
			reader.pass(50 * time.Millisecond)
			follower.pass(50 * time.Millisecond)
			for verb := range reader.open {
				result := event.RegistryResult{Revision: 6, Lease: 1}
				if verb == effect.ReadUpstreams {
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
	for verb := range follower.open {
		follower.answer(verb, event.RegistryResult{Revision: 6, Lease: 1, Upstreams: upstreams, Members: []model.Member{member("n1"), member("n2"), member("n3")}})
	}
	before := follower.calls
	run(3*time.Second, true)
	renewals := 3
	if made := follower.calls - before; made > renewals {
		t.Errorf("the follower made %d calls in 3 s, want its lease's only", made)
	}
	upstreams = registered("u1", "u9")
	run(DefaultPollInterval+100*time.Millisecond, true)
	if got := follower.names(); got != "u1 u9 " {
		t.Errorf("the follower believes %s", got)
	}
	run(2*DefaultPollInterval+100*time.Millisecond, false)
	if _, reads := follower.open[effect.ReadUpstreams]; !reads {
		t.Errorf("the follower does not read while the reader is silent: %v", follower.open)
	}
}

// TestOldBeliefsAreIgnored checks that shared beliefs that are older than the node's
// own change nothing, so that a reader that was frozen takes nobody back.
func TestOldBeliefsAreIgnored(t *testing.T) {
	f := newFixture(t, "n1")
	settleReadings(f, 3, "u1", "u2")
	old := registered("u1")
	var changes Changes
	f.step(func() {
		changes = f.state.HandleBeliefs(&f.ctx, message.RegistryUpdate{
			RoutesVersion: 2, Routes: &model.RouteTable{Version: 2}, RoutesAge: int64(time.Second),
			Upstreams: old, UpstreamsHash: sumRegistrations(old), UpstreamsAge: int64(time.Second),
			MembersAge: int64(time.Second), Members: []model.Member{},
		})
	})
	if changes.Routes || changes.Upstreams || changes.Members || f.names() != "u1 u2 " {
		t.Errorf("changes %+v, believed %s", changes, f.names())
	}
}

// TestSumsTellListsApart checks that the sums of lists that differ differ, and that
// the warm-up does not count.
func TestSumsTellListsApart(t *testing.T) {
	base := registered("u1", "u2")
	warm := registered("u1", "u2")
	warm[0].Warmup = time.Second
	if sumRegistrations(base) != sumRegistrations(warm) {
		t.Error("the warm-up changes the sum")
	}
	for i, change := range []func(r *model.Registration){
		func(r *model.Registration) { r.Upstream.Draining = true },
		func(r *model.Registration) { r.Upstream.Address = "x" },
		func(r *model.Registration) { r.Incarnation = 5 },
		func(r *model.Registration) { r.Upstream.Slots = 5 },
	} {
		other := registered("u1", "u2")
		change(&other[1])
		if sumRegistrations(base) == sumRegistrations(other) {
			t.Errorf("change %d does not change the sum", i)
		}
	}
	if fmt.Sprint(sumMembers([]model.Member{member("n1")})) == fmt.Sprint(sumMembers([]model.Member{member("n2")})) {
		t.Error("members have one sum")
	}
}

// tell returns what a node tells a follower that has nothing.
func (f *fixture) tell(t *testing.T) message.RegistryUpdate {
	t.Helper()
	f.sent = nil
	f.step(func() { f.state.HandleFollow(&f.ctx, "follower", message.RegistrySubscribe{Address: "follower"}) })
	if len(f.sent) != 1 {
		t.Fatalf("%d messages", len(f.sent))
	}
	return f.sent[0].Message.(message.RegistryUpdate)
}

// TestKeptEntriesAreNotShared replays day fresh-44e3 of aranguiz-verso: a reader whose
// path to the store was cut keeps what lapsed meanwhile, and its follower, which had
// read that an upstream is gone, must not believe in it again.
func TestKeptEntriesAreNotShared(t *testing.T) {
	reader, follower := newFixture(t, "n1"), newFixture(t, "n2")
	settleReadings(reader, 1, "u1", "u2")
	settleReadings(follower, 1, "u1", "u2")
	reader.pass(5 * time.Second)
	for range 5 {
		follower.pass(DefaultPollInterval)
		follower.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1", "u2")})
	}
	follower.pass(DefaultPollInterval)
	follower.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1")})
	reader.pass(DefaultPollInterval + 100*time.Millisecond)
	follower.pass(100 * time.Millisecond)
	reader.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1")})
	if got := reader.names(); got != "u1 u2 " {
		t.Errorf("the reader believes %s", got)
	}
	news := reader.tell(t)
	follower.step(func() { follower.state.HandleBeliefs(&follower.ctx, news) })
	if got := follower.names(); got != "u1 " {
		t.Errorf("the follower believes %s", got)
	}
}

// TestRestartedReader replays day trouble-3 of hcm-kyushu-grown: the reader has
// started again during an outage in which entries lapsed, and its followers keep what
// they knew until live upstreams have registered again.
func TestRestartedReader(t *testing.T) {
	follower := newFixture(t, "n2")
	settleReadings(follower, 1, "u1", "u2", "u3")
	follower.pass(6 * time.Second)
	reader := newFixture(t, "n1")
	reader.ctx.Now = follower.ctx.Now
	settleReadings(reader, 1, "u1")
	follower.step(func() { follower.state.HandleBeliefs(&follower.ctx, reader.tell(t)) })
	if got := follower.names(); got != "u1 u2 u3 " {
		t.Errorf("right after the outage the follower believes %s", got)
	}
	for range 4 {
		reader.pass(DefaultPollInterval)
		follower.pass(DefaultPollInterval)
		reader.answer(effect.ReadUpstreams, event.RegistryResult{Upstreams: registered("u1", "u2")})
		follower.step(func() { follower.state.HandleBeliefs(&follower.ctx, reader.tell(t)) })
	}
	if got := follower.names(); got != "u1 u2 " {
		t.Errorf("four seconds after the outage the follower believes %s", got)
	}
}

// TestObservationsAreSummedOnce checks that a reader with many followers sums up what they
// saw once in an interval, and not for each of their questions.
func TestObservationsAreSummedOnce(t *testing.T) {
	f := newFixture(t, "reader")
	ask := func(host string, answered int) []model.Observation {
		f.step(func() {
			f.state.HandleFollow(&f.ctx, model.HostID(host), message.RegistrySubscribe{
				Address: host, Observations: []model.Observation{{Upstream: "s/u", Answered: answered}},
			})
		})
		return f.state.Observations(&f.ctx)
	}
	if got := ask("n1", 3); len(got) != 1 || got[0].Answered != 3 {
		t.Fatalf("got %+v", got)
	}
	if got := ask("n2", 4); got[0].Answered != 3 {
		t.Errorf("summed anew within the interval: %+v", got)
	}
	f.ctx.Now = f.ctx.Now.Add(sumInterval)
	if got := ask("n3", 5); got[0].Answered != 12 {
		t.Errorf("got %+v after the interval, want 12 answers", got)
	}
}

// TestLargeRoutesAreRead checks that a reader with many followers does not send a large
// configuration to each of them, and that they read it as soon as they hear of it.
func TestLargeRoutesAreRead(t *testing.T) {
	reader, follower := newFixture(t, "reader"), newFixture(t, "n1")
	settleReadings(reader, 2, "u1")
	settleReadings(follower, 1, "u1")
	if m := reader.tell(t); m.Routes == nil {
		t.Error("a small configuration was not sent")
	}
	for i := range 100 {
		reader.step(func() {
			reader.state.HandleFollow(&reader.ctx, model.HostID(fmt.Sprintf("f%d", i)), message.RegistrySubscribe{Address: "f"})
		})
	}
	reader.state.routes.Routes = make([]model.Route, maxSharedRoutes/100)
	m := reader.tell(t)
	if m.Routes != nil || m.RoutesVersion != 2 {
		t.Fatalf("told of version %d with %v", m.RoutesVersion, m.Routes)
	}
	delete(follower.open, effect.WatchRoutes)
	follower.state.loops[taskRoutes].operation = 0
	follower.step(func() { follower.state.HandleBeliefs(&follower.ctx, m) })
	if _, reads := follower.open[effect.ReadRoutes]; !reads {
		t.Errorf("the follower does not read: %v", follower.open)
	}
}

// TestReadersOfLargeDomains checks that no reader of a large failure domain has many more
// followers than it can tell, and that a small domain has one reader.
func TestReadersOfLargeDomains(t *testing.T) {
	for _, c := range []struct{ nodes, readers int }{{8, 1}, {16, 1}, {75, 5}} {
		f := newFixture(t, "n0")
		var members []model.Member
		for i := range c.nodes {
			members = append(members, member(fmt.Sprintf("n%d", i)))
		}
		f.answer(effect.ReadMembers, event.RegistryResult{Revision: 5, Members: members})
		followers := make(map[model.HostID]int)
		for _, m := range members {
			followers[f.state.readerOf("a", m.Host).Host]++
		}
		if len(followers) != c.readers {
			t.Errorf("%d nodes have %d readers, want %d", c.nodes, len(followers), c.readers)
		}
		for host, count := range followers {
			if f.state.readerOf("a", host).Host != host {
				t.Errorf("reader %s follows another", host)
			}
			if count > 2*followersPerReader {
				t.Errorf("%d nodes: %s tells %d", c.nodes, host, count)
			}
		}
	}
}
