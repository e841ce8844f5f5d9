package session

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// recorder is a runner that only notes what it was asked to start.
type recorder struct{ started []query.Order }

// RunOrder implements Runner.
func (r *recorder) RunOrder(_ *step.Context, order query.Order) { r.started = append(r.started, order) }

// fixedView is a membership view that does not change by itself.
type fixedView []model.Member

// Members implements step.View.
func (v fixedView) Members() []model.Member { return v }

// Member implements step.View.
func (v fixedView) Member(host model.HostID) (model.Member, bool) {
	for _, m := range v {
		if m.Host == host {
			return m, true
		}
	}
	return model.Member{}, false
}

// bench is one node's sessions with a recording runner.
type bench struct {
	*State
	runner *recorder
	host   model.HostID
	view   fixedView
	timers timer.Queue
	now    model.Instant
}

// start is the bench's first time, and opened the sessions that each host has
// opened then.
const (
	start  = model.Instant(time.Hour)
	opened = 100
)

// issuer has opened a fixed number of sessions at the start.
type issuer struct{}

// Opened implements Issuer.
func (issuer) Opened() uint64 { return model.SessionNumberAt(start) + opened }

// newBench returns the sessions of host "a" in incarnation 1; hosts "b" and "c"
// are alive.
func newBench() *bench { return newBenchOf("a") }

// newBenchOf returns the sessions of one of the hosts.
func newBenchOf(host model.HostID) *bench {
	runner := &recorder{}
	b := &bench{
		State:  New(runner),
		runner: runner,
		host:   host,
		view: fixedView{
			{Host: "a", Incarnation: 1, State: model.Serving},
			{Host: "b", Incarnation: 1, State: model.Serving},
			{Host: "c", Incarnation: 1, State: model.Serving},
		},
		now: start,
	}
	b.SetIssuer(issuer{})
	return b
}

// step returns a context for one step at the bench's time.
func (b *bench) step() *step.Context {
	services := []model.Service{
		{Name: "print-room", Policy: model.DefaultPolicy()},
		{Name: "counter-1", Policy: model.Policy{Repeatable: true, Deadline: time.Second}},
	}
	self, _ := b.view.Member(b.host)
	return &step.Context{
		Now:    b.now,
		Self:   self,
		Config: &model.Config{Services: services},
		View:   b.view,
		Timers: &b.timers,
	}
}

// order passes a caller's order and returns the effects.
func (b *bench) order(call model.CallID, id model.RequestID, body string) []effect.Effect {
	ctx := b.step()
	b.HandleOrder(ctx, event.Order{Call: call, RequestID: id, Service: "print-room", Body: []byte(body)})
	return ctx.Effects
}

// done passes the outcome of the latest started order and returns the effects.
func (b *bench) done(answer model.Answer) []effect.Effect {
	ctx := b.step()
	b.OrderDone(ctx, b.runner.started[len(b.runner.started)-1], answer)
	return ctx.Effects
}

// replies returns the answers to callers among effects, by call.
func replies(t *testing.T, effects []effect.Effect) map[model.CallID]model.Answer {
	t.Helper()
	found := make(map[model.CallID]model.Answer)
	for _, e := range effects {
		reply, ok := e.(effect.ReplyCaller)
		if !ok {
			continue
		}
		if _, twice := found[reply.Call]; twice {
			t.Fatalf("call %d was answered twice", reply.Call)
		}
		found[reply.Call] = reply.Answer
	}
	return found
}

// requestID returns a request of a session of host "a" in incarnation 1.
func requestID(session, sequence uint64) model.RequestID {
	number := model.SessionNumberAt(start) + session
	return model.RequestID{Session: model.SessionID{Host: "a", Incarnation: 1, Number: number}, Sequence: sequence}
}

// printed is the answer of an order that ran.
var printed = model.Answer{Outcome: model.Answered, OrderReply: json.RawMessage(`{"execution":1}`)}

func TestResendGetsTheKeptOutcome(t *testing.T) {
	b := newBench()
	id := requestID(1, 1)
	b.order(1, id, `"card"`)
	if got := replies(t, b.order(2, id, `"card"`)); len(got) != 0 {
		t.Fatalf("a resend was answered before the order was done: %v", got)
	}
	got := replies(t, b.done(printed))
	if got[1].Outcome != model.Answered || got[2].Outcome != model.Answered {
		t.Fatalf("both calls must be answered, got %v", got)
	}
	got = replies(t, b.order(3, id, `"card"`))
	if string(got[3].OrderReply) != string(printed.OrderReply) || got[3].RequestID != id {
		t.Fatalf("a late resend must get the kept outcome, got %v", got)
	}
	if len(b.runner.started) != 1 {
		t.Fatalf("started %d times", len(b.runner.started))
	}
}

func TestSameIDWithOtherContentIsRefused(t *testing.T) {
	b := newBench()
	b.order(1, requestID(1, 1), `"card"`)
	got := replies(t, b.order(2, requestID(1, 1), `"other card"`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeConflict {
		t.Fatalf("got %v", got[2])
	}
	if len(b.runner.started) != 1 {
		t.Fatalf("started %d times", len(b.runner.started))
	}
}

func TestOrderWithoutIDNeedsARepeatableService(t *testing.T) {
	b := newBench()
	got := replies(t, b.order(1, model.RequestID{}, `"card"`))
	if got[1].Outcome != model.NotRun || got[1].Failure.Code != model.CodeIDRequired {
		t.Fatalf("got %v", got[1])
	}
	ctx := b.step()
	b.HandleOrder(ctx, event.Order{Call: 2, Service: "counter-1", Body: []byte(`1`)})
	if len(b.runner.started) != 1 {
		t.Fatal("an order of a repeatable service must start without an identifier")
	}
	if got := replies(t, b.done(printed)); got[2].Outcome != model.Answered {
		t.Fatalf("got %v", got)
	}
}

func TestOrderOfAnotherHomeIsForwarded(t *testing.T) {
	b := newBench()
	id := model.RequestID{Session: model.SessionID{Host: "b", Incarnation: 1, Number: 1}, Sequence: 1}
	forwarded := sent[message.OrderForward](b.order(1, id, `"card"`))
	if len(forwarded) != 1 || forwarded[0].RequestID != id {
		t.Fatalf("got %v", forwarded)
	}
	ctx := b.step()
	b.HandleOutcome(ctx, "b", message.OrderOutcome{Call: forwarded[0].Call, Answer: model.Answer{RequestID: requestID(1, 1)}})
	if len(ctx.Effects) != 0 {
		t.Fatal("an outcome of another request must be dropped")
	}
	kept := printed
	kept.RequestID = id
	ctx = b.step()
	b.HandleOutcome(ctx, "b", message.OrderOutcome{Call: forwarded[0].Call, Answer: kept})
	if got := replies(t, ctx.Effects); got[1].Outcome != model.Answered {
		t.Fatalf("got %v", got)
	}
	if len(b.runner.started) != 0 {
		t.Fatal("only the home may start an order")
	}
}

func TestLostIncarnationIsUnknown(t *testing.T) {
	b := newBench()
	b.view[0].Incarnation = 2
	if got := replies(t, b.order(1, requestID(1, 1), `"card"`)); len(got) != 0 {
		t.Fatalf("the news of a successor may still come, got %v", got)
	}
	got := replies(t, b.wait(time.Second))
	if got[1].Outcome != model.Unknown || got[1].Failure.Code != model.CodeOutcomeLost {
		t.Fatalf("got %v", got[1])
	}
}

// wait moves the time on, fires the timers that are due, and returns the
// effects.
func (b *bench) wait(d time.Duration) []effect.Effect {
	var effects []effect.Effect
	end := b.now.Add(d)
	for {
		at, ok := b.timers.Next()
		if !ok || at > end {
			b.now = end
			return effects
		}
		b.now = max(b.now, at)
		due, _ := b.timers.PopDue(b.now)
		ctx := b.step()
		b.HandleTimer(ctx, due.ID)
		effects = append(effects, ctx.Effects...)
	}
}

// sent returns the messages of one type among effects.
func sent[M message.Message](effects []effect.Effect) []M {
	var found []M
	for _, e := range effects {
		send, ok := e.(effect.SendPeer)
		if !ok {
			continue
		}
		if m, ok := send.Message.(M); ok {
			found = append(found, m)
		}
	}
	return found
}
