package dispatch

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// ready returns a connected dispatcher that has left slow start.
func ready(t *testing.T, slots int) *bench {
	t.Helper()
	b := newBench(t, slots)
	b.configure()
	b.connect()
	for range slots {
		b.dispatch(nil)
		sent := b.sent()
		b.now = b.now.Add(time.Millisecond)
		b.reply(sent, nil)
	}
	return b
}

func TestSendsIntoFreeSlotsOnly(t *testing.T) {
	b := ready(t, 2)
	b.dispatch(nil)
	first := b.sent()
	b.dispatch(nil)
	b.sent()
	third := b.dispatch(nil)
	if len(b.sentAttempts()) != 0 {
		t.Fatalf("a third sub-request was sent into two slots")
	}
	b.now = b.now.Add(time.Millisecond)
	b.reply(first, nil)
	if got := b.result(); got.Status != message.StatusAnswered || got.Attempt != first.Attempt {
		t.Errorf("result = %+v", got)
	}
	if got := b.sent().Attempt; got != third {
		t.Errorf("sent %v after the reply, want %v", got, third)
	}
}

func TestEarliestDeadlineFirst(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	first := b.sent()
	b.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(900 * time.Millisecond) })
	urgent := b.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) })
	b.now = b.now.Add(time.Millisecond)
	b.reply(first, nil)
	if got := b.sent().Attempt; got != urgent {
		t.Errorf("sent %v, want the urgent %v", got, urgent)
	}
}

func TestTakesBackQueuedWork(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	queued := b.dispatch(nil)
	b.step(func(ctx *step.Context) {
		b.state.HandleCancel(ctx, coordinator, message.Cancel{Attempt: queued})
	})
	if got := b.result(); got.Status != message.StatusCancelled {
		t.Errorf("status = %v, want taken back", got.Status)
	}
}

func TestCancelsSentWorkAndKeepsItsSlot(t *testing.T) {
	b := ready(t, 1)
	attempt := b.dispatch(nil)
	sent := b.sent()
	b.step(func(ctx *step.Context) {
		b.state.HandleCancel(ctx, coordinator, message.Cancel{Attempt: attempt})
	})
	cancels := of[effect.CancelUpstream](b.effects)
	if len(cancels) != 1 || cancels[0].Attempt != attempt || cancels[0].Connection == sent.Connection {
		t.Fatalf("cancels = %+v", cancels)
	}
	b.dispatch(nil)
	if len(b.sentAttempts()) != 0 {
		t.Fatal("the slot was used before the cancelled work ended")
	}
	b.reply(sent, func(e *event.UpstreamReply) { e.Status = event.UpstreamCancelled })
	if got := b.result(); got.Status != message.StatusFailed || got.Reason != model.CodeCancelled {
		t.Errorf("result = %+v", got)
	}
	b.sent()
}

func TestUnwrittenWorkGoesBackToTheQueue(t *testing.T) {
	b := ready(t, 1)
	attempt := b.dispatch(nil)
	sent := b.sent()
	b.closed(event.ConnectionClosed{Connection: sent.Connection})
	if got := b.sent(); got.Attempt != attempt || got.Connection == sent.Connection {
		t.Errorf("sent %+v, want the same attempt on another connection", got)
	}
}

func TestUnwrittenWorkThatWasCancelledIsTakenBack(t *testing.T) {
	b := ready(t, 1)
	attempt := b.dispatch(nil)
	sent := b.sent()
	b.step(func(ctx *step.Context) {
		b.state.HandleCancel(ctx, coordinator, message.Cancel{Attempt: attempt})
	})
	b.closed(event.ConnectionClosed{Connection: sent.Connection, Attempt: attempt})
	if got := b.result(); got.Status != message.StatusCancelled {
		t.Errorf("result = %+v, want taken back", got)
	}
	if len(b.sentAttempts()) != 0 {
		t.Error("cancelled work was sent again")
	}
}

func TestUnwrittenHedgeIsNotQueued(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(func(m *message.Dispatch) { m.Hedge = true })
	b.closed(event.ConnectionClosed{Connection: b.sent().Connection})
	if got := b.result(); got.Status != message.StatusRefused {
		t.Errorf("result = %+v, want refused", got)
	}
}

func TestRefusesWhatCannotMakeItsDeadline(t *testing.T) {
	b := newBench(t, 1)
	b.configure()
	b.connect()
	b.dispatch(nil)
	first := b.sent()
	b.now = b.now.Add(50 * time.Millisecond)
	b.reply(first, nil)
	b.dispatch(nil)
	b.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(60 * time.Millisecond) })
	got := b.result()
	if got.Status != message.StatusRefused || got.Reason != model.CodeDeadline || got.RetryAfter <= 0 {
		t.Errorf("result = %+v, want an immediate refusal with a time to wait", got)
	}
}

func TestRefusesQueuedWorkWhenItsWaitEnds(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	b.dispatch(func(m *message.Dispatch) { m.MaxQueueWait = int64(40 * time.Millisecond) })
	b.advance(39 * time.Millisecond)
	if len(b.results()) != 0 {
		t.Fatal("refused before the wait ended")
	}
	b.advance(2 * time.Millisecond)
	if got := b.result(); got.Status != message.StatusRefused || got.Reason != model.CodeOverloaded {
		t.Errorf("result = %+v", got)
	}
}

func TestNothingWaitsIfThePolicySaysSo(t *testing.T) {
	for name, change := range map[string]func(*model.Policy, *message.Dispatch){
		"no queue": func(p *model.Policy, _ *message.Dispatch) { p.QueueLimit = 0 },
		"no wait":  func(_ *model.Policy, m *message.Dispatch) { m.MaxQueueWait = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			b := ready(t, 1)
			dispatch := func() {
				b.dispatch(func(m *message.Dispatch) { change(&b.config.Services[0].Policy, m) })
			}
			change(&b.config.Services[0].Policy, &message.Dispatch{})
			b.configure()
			dispatch()
			b.sent()
			dispatch()
			if got := b.result(); got.Status != message.StatusRefused || got.Reason != model.CodeOverloaded {
				t.Errorf("result = %+v, want refused at once", got)
			}
		})
	}
}

func TestHedgeIsNotQueued(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	b.dispatch(func(m *message.Dispatch) { m.Hedge = true })
	if got := b.result(); got.Status != message.StatusRefused {
		t.Errorf("result = %+v", got)
	}
}

func TestDrainingByReplyStopsNewWorkAndIsSpread(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	sent := b.sent()
	queued := b.dispatch(nil)
	b.reply(sent, func(e *event.UpstreamReply) { e.Draining = true })
	results := b.results()
	if len(results) != 2 || results[1].Attempt != queued || results[1].Status != message.StatusRefused {
		t.Errorf("results = %+v, want the queued work given back", results)
	}
	if len(b.sentAttempts()) != 0 || !b.hasTo(coordinator) || !b.hasTo(self) {
		t.Errorf("effects = %+v, want a report and no new work", b.effects)
	}
}

func TestDuplicateOrderIsNotSentAgain(t *testing.T) {
	b := ready(t, 1)
	order := func(m *message.Dispatch) { m.Kind, m.Repeatable = message.KindOrder, false }
	b.dispatch(order)
	b.reply(b.sent(), nil)
	b.attempts--
	b.dispatch(order)
	if len(b.effects) != 0 {
		t.Errorf("effects = %+v, want none for a repeated message", b.effects)
	}
}

func TestSlowStartAfterConnecting(t *testing.T) {
	b := newBench(t, 3)
	b.configure()
	b.connect()
	b.dispatch(nil)
	first := b.sent()
	b.dispatch(nil)
	b.dispatch(nil)
	if len(b.sentAttempts()) != 0 {
		t.Fatal("a second sub-request was sent to a cold upstream")
	}
	b.now = b.now.Add(time.Millisecond)
	b.reply(first, nil)
	if got := len(b.sentAttempts()); got != 2 {
		t.Errorf("%d sub-requests sent after the first answer, want 2", got)
	}
}

func TestSlowServiceTimeDoesNotRefuseForever(t *testing.T) {
	b := newBench(t, 1)
	b.configure()
	b.connect()
	b.dispatch(nil)
	b.now = b.now.Add(800 * time.Millisecond)
	b.reply(b.sent(), nil)
	short := func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) }
	b.dispatch(short)
	first := b.sent()
	b.dispatch(short)
	if got := b.result(); got.Reason != model.CodeDeadline {
		t.Fatalf("result = %+v, want refused behind a slow sub-request", got)
	}
	for range 30 {
		b.now = b.now.Add(2 * time.Millisecond)
		b.reply(first, nil)
		b.dispatch(short)
		first = b.sent()
	}
	b.dispatch(short)
	if len(b.results()) != 0 {
		t.Errorf("results = %+v, but the upstream is fast again", b.results())
	}
}

func TestOneOutlierDoesNotRefuseWork(t *testing.T) {
	b := ready(t, 2)
	b.dispatch(nil)
	slow := b.sent()
	b.now = b.now.Add(2 * time.Second)
	b.reply(slow, nil)
	for range 4 {
		b.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) })
		if len(b.results()) != 0 {
			t.Fatalf("results = %+v after one outlier", b.results())
		}
	}
}

func TestIsolatedWorkRunsAlone(t *testing.T) {
	b := ready(t, 2)
	b.dispatch(nil)
	first := b.sent()
	suspect := b.dispatch(func(m *message.Dispatch) {
		m.Isolate = true
		m.TimeLeft = int64(500 * time.Millisecond)
	})
	behind := b.dispatch(nil)
	if len(b.sentAttempts()) != 0 {
		t.Fatal("work was sent beside work that waits for isolation")
	}
	b.now = b.now.Add(time.Millisecond)
	b.reply(first, nil)
	isolated := b.sent()
	if isolated.Attempt != suspect {
		t.Fatalf("sent %v, want the isolated %v", isolated.Attempt, suspect)
	}
	b.reply(isolated, nil)
	if got := b.result(); !got.RanAlone {
		t.Errorf("result = %+v, want alone", got)
	}
	if got := b.sent().Attempt; got != behind {
		t.Errorf("sent %v, want %v", got, behind)
	}
}

func TestWorkIsNeverAloneBesideAnotherDispatcher(t *testing.T) {
	b := newBench(t, 2)
	b.placement.hosts = []model.HostID{self, coordinator}
	b.configure()
	b.connect()
	b.dispatch(func(m *message.Dispatch) { m.Isolate = true })
	b.reply(b.sent(), nil)
	if got := b.result(); got.RanAlone {
		t.Errorf("result = %+v, but another node may have sent work", got)
	}
}

func TestMismatchedReplyLosesItsAttempt(t *testing.T) {
	b := ready(t, 1)
	attempt := b.dispatch(nil)
	sent := b.sent()
	b.closed(event.ConnectionClosed{Connection: sent.Connection, Attempt: attempt, Written: true, Mismatch: true})
	if got := b.result(); got.Status != message.StatusLost || got.Crash {
		t.Errorf("result = %+v, want lost without a crash", got)
	}
	counted := false
	for _, c := range of[effect.Count](b.effects) {
		counted = counted || c.Metric == metricMismatched
	}
	if !counted {
		t.Error("the mismatch was not counted")
	}
}

func TestShedWorkHalvesTheLimitAndIsNotRun(t *testing.T) {
	b := ready(t, 4)
	b.dispatch(nil)
	b.reply(b.sent(), func(e *event.UpstreamReply) { e.Status = event.UpstreamShed })
	got := b.result()
	if !got.Status.NotRun() || got.FreeSlots != 2 {
		t.Errorf("result = %+v, want not run and 2 free slots of 4", got)
	}
}

func TestOverdueWorkIsCancelledAndThenCutOff(t *testing.T) {
	b := ready(t, 1)
	attempt := b.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) })
	sent := b.sent()
	b.advance(100*time.Millisecond + statusInterval)
	b.connect()
	lane := b.state.byUpstream[upstreamA]
	if !lane.inFlight[0].cancelled {
		t.Error("overdue work was not cancelled")
	}
	effects := b.advance(overdueGrace + statusInterval)
	closed := false
	for _, e := range of[effect.CloseConnection](effects) {
		closed = closed || e.Connection == sent.Connection
	}
	if !closed {
		t.Fatal("the connection of overdue work was kept")
	}
	b.closed(event.ConnectionClosed{Connection: sent.Connection, Attempt: attempt, Written: true})
	if got := b.result(); got.Status != message.StatusLost || got.Crash {
		t.Errorf("result = %+v, want lost without a crash", got)
	}
}

func TestLostCoordinator(t *testing.T) {
	b := ready(t, 2)
	b.dispatch(nil)
	b.sent()
	b.dispatch(func(m *message.Dispatch) { m.Repeatable = false })
	order := b.sent()
	b.dispatch(nil)
	b.step(func(ctx *step.Context) { b.state.HandlePeerLost(ctx, coordinator) })
	cancels := of[effect.CancelUpstream](b.effects)
	if len(cancels) != 1 || cancels[0].Attempt == order.Attempt {
		t.Errorf("cancels = %+v, want only the repeatable work", cancels)
	}
	if got := b.result(); got.Status != message.StatusCancelled {
		t.Errorf("queued work: %+v", got)
	}
}
