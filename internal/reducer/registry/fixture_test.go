package registry

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
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
	return newFixtureAt(t, host, settings, model.Instant(1000*time.Second))
}

// newFixtureAt returns a node that starts at a time.
func newFixtureAt(t *testing.T, host string, settings Settings, now model.Instant) *fixture {
	f := &fixture{t: t, state: New(settings), open: make(map[effect.RegistryVerb]effect.CallRegistry)}
	f.ctx = step.Context{
		Now:    now,
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
