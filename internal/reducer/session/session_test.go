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

// recorder is a runner that only records the orders that it was asked to start.
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

// testNode is the session state of one node with a recording runner.
type testNode struct {
	*State
	runner *recorder
	host   model.HostID
	view   fixedView
	timers timer.Queue
	now    model.Instant
}

// startTime is the initial time of a testNode; openedSessions is the number of
// sessions that each host has opened by then.
const (
	startTime      = model.Instant(time.Hour)
	openedSessions = 100
)

// issuer is an Issuer that opened a fixed number of sessions by startTime.
type issuer struct{}

// LastSessionNumber implements Issuer.
func (issuer) LastSessionNumber() uint64 { return model.SessionNumberAt(startTime) + openedSessions }

// newTestNode returns the session state of host "a" in incarnation 1; hosts "b"
// and "c" are alive.
func newTestNode() *testNode { return newTestNodeFor("a") }

// newTestNodeFor returns the session state of the given host.
func newTestNodeFor(host model.HostID) *testNode {
	runner := &recorder{}
	node := &testNode{
		State:  New(runner),
		runner: runner,
		host:   host,
		view: fixedView{
			{Host: "a", Incarnation: 1, State: model.Serving},
			{Host: "b", Incarnation: 1, State: model.Serving},
			{Host: "c", Incarnation: 1, State: model.Serving},
		},
		now: startTime,
	}
	node.SetIssuer(issuer{})
	return node
}

// step returns a context for one step at the current time.
func (node *testNode) step() *step.Context {
	services := []model.Service{
		{Name: "print-room", Policy: model.DefaultPolicy()},
		{Name: "counter-1", Policy: model.Policy{Repeatable: true, Deadline: time.Second}},
	}
	self, _ := node.view.Member(node.host)
	return &step.Context{
		Now:    node.now,
		Self:   self,
		Config: &model.Config{Services: services},
		View:   node.view,
		Timers: &node.timers,
	}
}

// submit handles a caller's order and returns the effects.
func (node *testNode) submit(call model.CallID, id model.RequestID, body string) []effect.Effect {
	ctx := node.step()
	node.HandleOrder(ctx, event.Order{Call: call, RequestID: id, Service: "print-room", Body: []byte(body)})
	return ctx.Effects
}

// completeLast completes the latest started order and returns the effects.
func (node *testNode) completeLast(answer model.Answer) []effect.Effect {
	ctx := node.step()
	node.OrderDone(ctx, node.runner.started[len(node.runner.started)-1], answer)
	return ctx.Effects
}

// replies returns the answers to callers among effects, by call. It fails the test
// if a call was answered twice.
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

// requestID identifies a request of a session of host "a" in incarnation 1.
func requestID(session, sequence uint64) model.RequestID {
	number := model.SessionNumberAt(startTime) + session
	return model.RequestID{Session: model.SessionID{Host: "a", Incarnation: 1, Number: number}, Sequence: sequence}
}

// successAnswer is the answer of an order that ran.
var successAnswer = model.Answer{Outcome: model.Answered, OrderReply: json.RawMessage(`{"execution":1}`)}

func TestResendGetsRecordedOutcome(t *testing.T) {
	node := newTestNode()
	id := requestID(1, 1)
	node.submit(1, id, `"card"`)
	if got := replies(t, node.submit(2, id, `"card"`)); len(got) != 0 {
		t.Fatalf("a resend was answered before the order finished: %v", got)
	}
	got := replies(t, node.completeLast(successAnswer))
	if got[1].Outcome != model.Answered || got[2].Outcome != model.Answered {
		t.Fatalf("both calls must be answered, got %v", got)
	}
	got = replies(t, node.submit(3, id, `"card"`))
	if string(got[3].OrderReply) != string(successAnswer.OrderReply) || got[3].RequestID != id {
		t.Fatalf("a late resend must get the recorded outcome, got %v", got)
	}
	if len(node.runner.started) != 1 {
		t.Fatalf("started %d times, want once", len(node.runner.started))
	}
}

func TestSameIDWithOtherContentIsRefused(t *testing.T) {
	node := newTestNode()
	node.submit(1, requestID(1, 1), `"card"`)
	got := replies(t, node.submit(2, requestID(1, 1), `"other card"`))
	if got[2].Outcome != model.NotRun || got[2].Failure.Code != model.CodeConflict {
		t.Fatalf("got %v, want a conflict", got[2])
	}
	if len(node.runner.started) != 1 {
		t.Fatalf("started %d times, want once", len(node.runner.started))
	}
}

func TestOrderWithoutIDNeedsARepeatableService(t *testing.T) {
	node := newTestNode()
	got := replies(t, node.submit(1, model.RequestID{}, `"card"`))
	if got[1].Outcome != model.NotRun || got[1].Failure.Code != model.CodeIDRequired {
		t.Fatalf("got %v, want a refusal that requires an identifier", got[1])
	}
	ctx := node.step()
	node.HandleOrder(ctx, event.Order{Call: 2, Service: "counter-1", Body: []byte(`1`)})
	if len(node.runner.started) != 1 {
		t.Fatal("an order of a repeatable service must start without an identifier")
	}
	if got := replies(t, node.completeLast(successAnswer)); got[2].Outcome != model.Answered {
		t.Fatalf("got %v, want call 2 answered", got)
	}
}

func TestOrderOfAnotherHomeIsForwarded(t *testing.T) {
	node := newTestNode()
	id := model.RequestID{Session: model.SessionID{Host: "b", Incarnation: 1, Number: 1}, Sequence: 1}
	forwarded := sent[message.OrderForward](node.submit(1, id, `"card"`))
	if len(forwarded) != 1 || forwarded[0].RequestID != id {
		t.Fatalf("got %v, want the order forwarded once", forwarded)
	}
	ctx := node.step()
	node.HandleOutcome(ctx, "b", message.OrderOutcome{Call: forwarded[0].Call, Answer: model.Answer{RequestID: requestID(1, 1)}})
	if len(ctx.Effects) != 0 {
		t.Fatal("an outcome for another request must be dropped")
	}
	outcome := successAnswer
	outcome.RequestID = id
	ctx = node.step()
	node.HandleOutcome(ctx, "b", message.OrderOutcome{Call: forwarded[0].Call, Answer: outcome})
	if got := replies(t, ctx.Effects); got[1].Outcome != model.Answered {
		t.Fatalf("got %v, want call 1 answered", got)
	}
	if len(node.runner.started) != 0 {
		t.Fatal("only the home may start an order")
	}
}

func TestOrderOfLostIncarnationIsUnknown(t *testing.T) {
	node := newTestNode()
	node.view[0].Incarnation = 2
	if got := replies(t, node.submit(1, requestID(1, 1), `"card"`)); len(got) != 0 {
		t.Fatalf("the order must wait for a possible successor, got %v", got)
	}
	got := replies(t, node.advance(time.Second))
	if got[1].Outcome != model.Unknown || got[1].Failure.Code != model.CodeOutcomeLost {
		t.Fatalf("got %v, want unknown because the outcome is lost", got[1])
	}
}

// advance moves the clock forward, fires the timers that are due, and returns the
// effects.
func (node *testNode) advance(d time.Duration) []effect.Effect {
	var effects []effect.Effect
	end := node.now.Add(d)
	for {
		at, ok := node.timers.Next()
		if !ok || at > end {
			node.now = end
			return effects
		}
		node.now = max(node.now, at)
		due, _ := node.timers.PopDue(node.now)
		ctx := node.step()
		node.HandleTimer(ctx, due.ID)
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
