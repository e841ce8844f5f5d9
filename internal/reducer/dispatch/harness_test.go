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

// fakeView is a membership view with a settable list of members.
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

// harness drives one dispatcher and records the effects of the last step.
type harness struct {
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
	// reportedInFlight is the number of requests in flight that the upstream reports.
	reportedInFlight int
}

// newHarness returns a harness for a dispatcher of one upstream with the given number
// of slots.
func newHarness(t *testing.T, slots int) *harness {
	t.Helper()
	policy := model.DefaultPolicy()
	policy.Repeatable = true
	h := &harness{
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
	h.state = New(h.placement)
	return h
}

// step runs one call of the dispatcher.
func (h *harness) step(call func(ctx *step.Context)) {
	ctx := &step.Context{
		Now:    h.now,
		Random: h.random,
		Self:   model.Member{Host: self, State: h.self},
		Config: h.config,
		View:   h.view,
		Timers: &h.timers,
	}
	call(ctx)
	h.effects = ctx.Effects
}

// advance advances the time, fires the timers that are due meanwhile, and returns all
// effects.
func (h *harness) advance(d time.Duration) []effect.Effect {
	end := h.now.Add(d)
	var all []effect.Effect
	for {
		at, ok := h.timers.Next()
		if !ok || at > end {
			break
		}
		h.now = max(h.now, at)
		due, _ := h.timers.PopDue(h.now)
		h.step(func(ctx *step.Context) { h.state.HandleTimer(ctx, due.ID) })
		all = append(all, h.effects...)
	}
	h.now = end
	h.effects = all
	return all
}

// configure applies the configuration.
func (h *harness) configure() { h.step(h.state.HandleConfig) }

// connect opens all connections that the dispatcher requests and answers its status
// reads.
func (h *harness) connect() {
	pending := h.effects
	for len(pending) > 0 {
		e := pending[0]
		pending = pending[1:]
		switch e := e.(type) {
		case effect.OpenConnection:
			h.step(func(ctx *step.Context) {
				h.state.HandleOpened(ctx, event.ConnectionOpened{Connection: e.Connection})
			})
			pending = append(pending, h.effects...)
		case effect.ReadUpstreamStatus:
			h.step(func(ctx *step.Context) {
				h.state.HandleStatus(ctx, event.UpstreamStatusRead{Connection: e.Connection, InFlight: h.reportedInFlight})
			})
			pending = append(pending, h.effects...)
		}
	}
}

// dispatch sends a sub-request from the coordinator to the dispatcher.
func (h *harness) dispatch(change func(*message.Dispatch)) model.AttemptID {
	h.attempts++
	m := message.Dispatch{
		Attempt:    model.AttemptID{Host: coordinator, Number: h.attempts},
		Upstream:   upstreamA,
		Kind:       message.KindSearch,
		TimeLeft:   int64(time.Second),
		Repeatable: true,
	}
	m.MaxQueueWait = int64(time.Hour)
	if change != nil {
		change(&m)
	}
	h.step(func(ctx *step.Context) { h.state.HandleDispatch(ctx, coordinator, m) })
	return m.Attempt
}

// reply delivers the upstream's reply to a sent sub-request.
func (h *harness) reply(sent effect.SendUpstream, change func(*event.UpstreamReply)) {
	e := event.UpstreamReply{Connection: sent.Connection, Attempt: sent.Attempt, Status: event.UpstreamAnswered}
	if change != nil {
		change(&e)
	}
	h.step(func(ctx *step.Context) { h.state.HandleReply(ctx, e) })
}

// closeConnection reports the close of a connection to the dispatcher.
func (h *harness) closeConnection(e event.ConnectionClosed) {
	h.step(func(ctx *step.Context) { h.state.HandleClosed(ctx, e) })
}

// effectsOf returns the effects of one type.
func effectsOf[E effect.Effect](effects []effect.Effect) []E {
	var out []E
	for _, e := range effects {
		if e, ok := e.(E); ok {
			out = append(out, e)
		}
	}
	return out
}

// results returns the results sent to the coordinator in the last step.
func (h *harness) results() []message.DispatchResult {
	var out []message.DispatchResult
	for _, e := range effectsOf[effect.SendPeer](h.effects) {
		if m, ok := e.Message.(message.DispatchResult); ok && e.To == coordinator {
			out = append(out, m)
		}
	}
	return out
}

// result returns the only result of the last step.
func (h *harness) result() message.DispatchResult {
	h.t.Helper()
	results := h.results()
	if len(results) != 1 {
		h.t.Fatalf("want one result, got %+v", results)
	}
	return results[0]
}

// sent returns the only sub-request written in the last step.
func (h *harness) sent() effect.SendUpstream {
	h.t.Helper()
	sent := effectsOf[effect.SendUpstream](h.effects)
	if len(sent) != 1 {
		h.t.Fatalf("want one sub-request sent, got %+v", h.effects)
	}
	return sent[0]
}

// sentAttempts returns the attempts written in the last step.
func (h *harness) sentAttempts() []model.AttemptID {
	var out []model.AttemptID
	for _, e := range effectsOf[effect.SendUpstream](h.effects) {
		out = append(out, e.Attempt)
	}
	return out
}

// reportedTo reports whether an index report was sent to a host in the last step.
func (h *harness) reportedTo(host model.HostID) bool {
	return slices.ContainsFunc(effectsOf[effect.SendPeer](h.effects), func(e effect.SendPeer) bool {
		_, isReport := e.Message.(message.IndexReport)
		return isReport && e.To == host
	})
}

// sendOf returns the effect by which a job in flight was sent.
func sendOf(j *job) effect.SendUpstream {
	return effect.SendUpstream{Connection: j.connection.id, Attempt: j.request.Attempt}
}
