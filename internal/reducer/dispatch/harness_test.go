package dispatch

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// fakeView is a fixed list of members.
type fakeView struct{ members []model.Member }

func (v *fakeView) Members() []model.Member { return v.members }

func (v *fakeView) Member(host model.HostID) (model.Member, bool) {
	for _, m := range v.members {
		if m.Host == host {
			return m, true
		}
	}
	return model.Member{}, false
}

// fixedPlacement returns the same dispatchers for every upstream.
type fixedPlacement struct{ hosts []model.HostID }

func (p *fixedPlacement) Dispatchers(model.UpstreamID, []model.Member) []model.HostID {
	return p.hosts
}

func (p *fixedPlacement) MaxDispatchers() int { return len(p.hosts) }

const (
	self        = model.HostID("n1")
	coordinator = model.HostID("n2")
	upstreamA   = model.UpstreamID("counter-1/a")
)

// bench drives one dispatcher and keeps the effects of the last step.
type bench struct {
	t         *testing.T
	state     *State
	self      model.MemberState
	placement *fixedPlacement
	view      *fakeView
	config    *model.Config
	timers    timer.Queue
	now       model.Instant
	random    *rand.Rand
	effects   []effect.Effect
	attempts  uint64
	// reported is the load that the upstream reports.
	reported int
}

// newBench returns a dispatcher of one upstream with the given slots.
func newBench(t *testing.T, slots int) *bench {
	t.Helper()
	policy := model.DefaultPolicy()
	policy.Repeatable = true
	b := &bench{
		t:         t,
		self:      model.Serving,
		placement: &fixedPlacement{hosts: []model.HostID{self}},
		view: &fakeView{members: []model.Member{
			{Host: self, State: model.Serving},
			{Host: coordinator, State: model.Serving},
		}},
		config: &model.Config{Services: []model.Service{{
			Name:   "counter-1",
			Policy: policy,
			Upstreams: []model.Upstream{
				{ID: upstreamA, Address: "10.0.0.1:80", Slots: slots, MaxConnections: 25},
			},
		}}},
		now:    model.Instant(time.Hour),
		random: rand.New(rand.NewPCG(1, 1)),
	}
	b.state = New(b.placement)
	return b
}

// step runs one call of the reducer's part.
func (b *bench) step(call func(ctx *step.Context)) {
	ctx := &step.Context{
		Now:    b.now,
		Random: b.random,
		Self:   model.Member{Host: self, State: b.self},
		Config: b.config,
		View:   b.view,
		Timers: &b.timers,
	}
	call(ctx)
	b.effects = ctx.Effects
}

// advance lets time pass and fires the timers on the way; it returns all effects.
func (b *bench) advance(d time.Duration) []effect.Effect {
	end := b.now.Add(d)
	var all []effect.Effect
	for {
		at, ok := b.timers.Next()
		if !ok || at > end {
			break
		}
		b.now = max(b.now, at)
		due, _ := b.timers.PopDue(b.now)
		b.step(func(ctx *step.Context) { b.state.HandleTimer(ctx, due.ID) })
		all = append(all, b.effects...)
	}
	b.now = end
	b.effects = all
	return all
}

// configure applies the configuration.
func (b *bench) configure() { b.step(b.state.HandleConfig) }

// connect opens all connections that the dispatcher asks for and answers the
// status reads.
func (b *bench) connect() {
	pending := b.effects
	for len(pending) > 0 {
		e := pending[0]
		pending = pending[1:]
		switch e := e.(type) {
		case effect.OpenConnection:
			b.step(func(ctx *step.Context) {
				b.state.HandleOpened(ctx, event.ConnectionOpened{Connection: e.Connection})
			})
			pending = append(pending, b.effects...)
		case effect.ReadUpstreamStatus:
			b.step(func(ctx *step.Context) {
				b.state.HandleStatus(ctx, event.UpstreamStatusRead{Connection: e.Connection, InFlight: b.reported})
			})
			pending = append(pending, b.effects...)
		}
	}
}

// dispatch sends a sub-request of the coordinator.
func (b *bench) dispatch(change func(*message.Dispatch)) model.AttemptID {
	b.attempts++
	m := message.Dispatch{
		Attempt:    model.AttemptID{Host: coordinator, Number: b.attempts},
		Upstream:   upstreamA,
		Kind:       message.KindSearch,
		TimeLeft:   int64(time.Second),
		Repeatable: true,
	}
	m.MaxQueueWait = int64(time.Hour)
	if change != nil {
		change(&m)
	}
	b.step(func(ctx *step.Context) { b.state.HandleDispatch(ctx, coordinator, m) })
	return m.Attempt
}

// reply answers a sent sub-request.
func (b *bench) reply(sent effect.SendUpstream, change func(*event.UpstreamReply)) {
	e := event.UpstreamReply{Connection: sent.Connection, Attempt: sent.Attempt, Status: event.UpstreamAnswered}
	if change != nil {
		change(&e)
	}
	b.step(func(ctx *step.Context) { b.state.HandleReply(ctx, e) })
}

// closed ends a connection.
func (b *bench) closed(e event.ConnectionClosed) {
	b.step(func(ctx *step.Context) { b.state.HandleClosed(ctx, e) })
}

// of returns the effects of one type.
func of[E effect.Effect](effects []effect.Effect) []E {
	var out []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

// results returns the results that were sent to the coordinator.
func (b *bench) results() []message.DispatchResult {
	var out []message.DispatchResult
	for _, e := range of[effect.SendPeer](b.effects) {
		if m, ok := e.Message.(message.DispatchResult); ok && e.To == coordinator {
			out = append(out, m)
		}
	}
	return out
}

// result returns the only result of the last step.
func (b *bench) result() message.DispatchResult {
	b.t.Helper()
	results := b.results()
	if len(results) != 1 {
		b.t.Fatalf("want one result, got %+v", results)
	}
	return results[0]
}

// sent returns the only sub-request written in the last step.
func (b *bench) sent() effect.SendUpstream {
	b.t.Helper()
	sent := of[effect.SendUpstream](b.effects)
	if len(sent) != 1 {
		b.t.Fatalf("want one sub-request sent, got %+v", b.effects)
	}
	return sent[0]
}

// sentAttempts returns the attempts written in the last step.
func (b *bench) sentAttempts() []model.AttemptID {
	var out []model.AttemptID
	for _, e := range of[effect.SendUpstream](b.effects) {
		out = append(out, e.Attempt)
	}
	return out
}

// hasTo reports whether an index report went to a host in the last step.
func (b *bench) hasTo(host model.HostID) bool {
	return slices.ContainsFunc(of[effect.SendPeer](b.effects), func(e effect.SendPeer) bool {
		_, isReport := e.Message.(message.IndexReport)
		return isReport && e.To == host
	})
}

// sendOf returns the effect by which a job in flight was sent.
func sendOf(j *job) effect.SendUpstream {
	return effect.SendUpstream{Connection: j.connection.id, Attempt: j.request.Attempt}
}
