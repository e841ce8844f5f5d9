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

// readyHarness returns a harness whose dispatcher is connected and has left slow
// start.
func readyHarness(t *testing.T, slots int) *harness {
	t.Helper()
	h := newHarness(t, slots)
	h.configure()
	h.connect()
	for range slots {
		h.dispatch(nil)
		sent := h.sent()
		h.now = h.now.Add(time.Millisecond)
		h.reply(sent, nil)
	}
	return h
}

func TestSendsIntoFreeSlotsOnly(t *testing.T) {
	h := readyHarness(t, 2)
	h.dispatch(nil)
	first := h.sent()
	h.dispatch(nil)
	h.sent()
	third := h.dispatch(nil)
	if len(h.sentAttempts()) != 0 {
		t.Fatalf("a third sub-request was sent into two slots")
	}
	h.now = h.now.Add(time.Millisecond)
	h.reply(first, nil)
	if got := h.result(); got.Status != message.StatusAnswered || got.Attempt != first.Attempt {
		t.Errorf("result = %+v", got)
	}
	if got := h.sent().Attempt; got != third {
		t.Errorf("sent %v after the reply, want %v", got, third)
	}
}

func TestEarliestDeadlineFirst(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(nil)
	first := h.sent()
	h.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(900 * time.Millisecond) })
	urgent := h.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) })
	h.now = h.now.Add(time.Millisecond)
	h.reply(first, nil)
	if got := h.sent().Attempt; got != urgent {
		t.Errorf("sent %v, want the urgent %v", got, urgent)
	}
}

func TestCancelsQueuedWork(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(nil)
	queued := h.dispatch(nil)
	h.step(func(ctx *step.Context) {
		h.state.HandleCancel(ctx, coordinator, message.Cancel{Attempt: queued})
	})
	if got := h.result(); got.Status != message.StatusCancelled {
		t.Errorf("status = %v, want cancelled", got.Status)
	}
}

func TestCancelsSentWorkAndKeepsItsSlot(t *testing.T) {
	h := readyHarness(t, 1)
	attempt := h.dispatch(nil)
	sent := h.sent()
	h.step(func(ctx *step.Context) {
		h.state.HandleCancel(ctx, coordinator, message.Cancel{Attempt: attempt})
	})
	cancels := effectsOf[effect.CancelUpstream](h.effects)
	if len(cancels) != 1 || cancels[0].Attempt != attempt || cancels[0].Connection == sent.Connection {
		t.Fatalf("cancels = %+v", cancels)
	}
	h.dispatch(nil)
	if len(h.sentAttempts()) != 0 {
		t.Fatal("the slot was used before the cancelled work ended")
	}
	h.reply(sent, func(e *event.UpstreamReply) { e.Status = event.UpstreamCancelled })
	if got := h.result(); got.Status != message.StatusFailed || got.Reason != model.CodeCancelled {
		t.Errorf("result = %+v", got)
	}
	h.sent()
}

func TestUnwrittenWorkGoesBackToTheQueue(t *testing.T) {
	h := readyHarness(t, 1)
	attempt := h.dispatch(nil)
	sent := h.sent()
	h.closeConnection(event.ConnectionClosed{Connection: sent.Connection})
	if got := h.sent(); got.Attempt != attempt || got.Connection == sent.Connection {
		t.Errorf("sent %+v, want the same attempt on another connection", got)
	}
}

func TestUnwrittenWorkThatWasCancelledIsNotRequeued(t *testing.T) {
	h := readyHarness(t, 1)
	attempt := h.dispatch(nil)
	sent := h.sent()
	h.step(func(ctx *step.Context) {
		h.state.HandleCancel(ctx, coordinator, message.Cancel{Attempt: attempt})
	})
	h.closeConnection(event.ConnectionClosed{Connection: sent.Connection, Attempt: attempt})
	if got := h.result(); got.Status != message.StatusCancelled {
		t.Errorf("result = %+v, want cancelled", got)
	}
	if len(h.sentAttempts()) != 0 {
		t.Error("cancelled work was sent again")
	}
}

func TestUnwrittenHedgeIsNotQueued(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(func(m *message.Dispatch) { m.Hedge = true })
	h.closeConnection(event.ConnectionClosed{Connection: h.sent().Connection})
	if got := h.result(); got.Status != message.StatusRefused {
		t.Errorf("result = %+v, want refused", got)
	}
}

func TestRefusesWorkThatCannotMeetItsDeadline(t *testing.T) {
	h := newHarness(t, 1)
	h.configure()
	h.connect()
	h.dispatch(nil)
	first := h.sent()
	h.now = h.now.Add(50 * time.Millisecond)
	h.reply(first, nil)
	h.dispatch(nil)
	h.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(60 * time.Millisecond) })
	got := h.result()
	if got.Status != message.StatusRefused || got.Reason != model.CodeDeadline || got.RetryAfter <= 0 {
		t.Errorf("result = %+v, want an immediate refusal with a retry delay", got)
	}
}

func TestRefusesQueuedWorkWhenItsWaitEnds(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(nil)
	h.dispatch(func(m *message.Dispatch) { m.MaxQueueWait = int64(40 * time.Millisecond) })
	h.advance(39 * time.Millisecond)
	if len(h.results()) != 0 {
		t.Fatal("refused before the wait ended")
	}
	h.advance(2 * time.Millisecond)
	if got := h.result(); got.Status != message.StatusRefused || got.Reason != model.CodeOverloaded {
		t.Errorf("result = %+v", got)
	}
}

func TestNothingIsQueuedIfThePolicyForbidsIt(t *testing.T) {
	for name, change := range map[string]func(*model.Policy, *message.Dispatch){
		"no queue": func(p *model.Policy, _ *message.Dispatch) { p.QueueLimit = 0 },
		"no wait":  func(_ *model.Policy, m *message.Dispatch) { m.MaxQueueWait = 0 },
	} {
		t.Run(name, func(t *testing.T) {
			h := readyHarness(t, 1)
			dispatch := func() {
				h.dispatch(func(m *message.Dispatch) { change(&h.config.Services[0].Policy, m) })
			}
			change(&h.config.Services[0].Policy, &message.Dispatch{})
			h.configure()
			dispatch()
			h.sent()
			dispatch()
			if got := h.result(); got.Status != message.StatusRefused || got.Reason != model.CodeOverloaded {
				t.Errorf("result = %+v, want an immediate refusal", got)
			}
		})
	}
}

func TestHedgeIsNotQueued(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(nil)
	h.dispatch(func(m *message.Dispatch) { m.Hedge = true })
	if got := h.result(); got.Status != message.StatusRefused {
		t.Errorf("result = %+v", got)
	}
}

func TestDrainingByReplyStopsNewWorkAndIsReported(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(nil)
	sent := h.sent()
	queued := h.dispatch(nil)
	h.reply(sent, func(e *event.UpstreamReply) { e.Draining = true })
	results := h.results()
	if len(results) != 2 || results[1].Attempt != queued || results[1].Status != message.StatusRefused {
		t.Errorf("results = %+v, want the queued work refused", results)
	}
	if len(h.sentAttempts()) != 0 || !h.reportedTo(coordinator) || !h.reportedTo(self) {
		t.Errorf("effects = %+v, want a report and no new work", h.effects)
	}
}

func TestDuplicateOrderIsNotSentAgain(t *testing.T) {
	h := readyHarness(t, 1)
	order := func(m *message.Dispatch) { m.Kind, m.Repeatable = message.KindOrder, false }
	h.dispatch(order)
	h.reply(h.sent(), nil)
	h.attempts--
	h.dispatch(order)
	if len(h.effects) != 0 {
		t.Errorf("effects = %+v, want none for a duplicate message", h.effects)
	}
}

func TestSlowStartAfterConnecting(t *testing.T) {
	h := newHarness(t, 3)
	h.configure()
	h.connect()
	h.dispatch(nil)
	first := h.sent()
	h.dispatch(nil)
	h.dispatch(nil)
	if len(h.sentAttempts()) != 0 {
		t.Fatal("a second sub-request was sent to a cold upstream")
	}
	h.now = h.now.Add(time.Millisecond)
	h.reply(first, nil)
	if got := len(h.sentAttempts()); got != 2 {
		t.Errorf("%d sub-requests sent after the first answer, want 2", got)
	}
}

func TestSlowServiceTimeDoesNotRefuseForever(t *testing.T) {
	h := newHarness(t, 1)
	h.configure()
	h.connect()
	h.dispatch(nil)
	h.now = h.now.Add(800 * time.Millisecond)
	h.reply(h.sent(), nil)
	short := func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) }
	h.dispatch(short)
	first := h.sent()
	h.dispatch(short)
	if got := h.result(); got.Reason != model.CodeDeadline {
		t.Fatalf("result = %+v, want refused behind a slow sub-request", got)
	}
	for range 30 {
		h.now = h.now.Add(2 * time.Millisecond)
		h.reply(first, nil)
		h.dispatch(short)
		first = h.sent()
	}
	h.dispatch(short)
	if len(h.results()) != 0 {
		t.Errorf("results = %+v, but the upstream is fast again", h.results())
	}
}

func TestOneOutlierDoesNotRefuseWork(t *testing.T) {
	h := readyHarness(t, 2)
	h.dispatch(nil)
	slow := h.sent()
	h.now = h.now.Add(2 * time.Second)
	h.reply(slow, nil)
	for range 4 {
		h.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) })
		if len(h.results()) != 0 {
			t.Fatalf("results = %+v after one outlier", h.results())
		}
	}
}

func TestIsolatedWorkRunsAlone(t *testing.T) {
	h := readyHarness(t, 2)
	h.dispatch(nil)
	first := h.sent()
	suspect := h.dispatch(func(m *message.Dispatch) {
		m.Isolate = true
		m.TimeLeft = int64(500 * time.Millisecond)
	})
	behind := h.dispatch(nil)
	if len(h.sentAttempts()) != 0 {
		t.Fatal("work was sent while other work waited for isolation")
	}
	h.now = h.now.Add(time.Millisecond)
	h.reply(first, nil)
	isolated := h.sent()
	if isolated.Attempt != suspect {
		t.Fatalf("sent %v, want the isolated %v", isolated.Attempt, suspect)
	}
	h.reply(isolated, nil)
	if got := h.result(); !got.RanAlone {
		t.Errorf("result = %+v, want it marked as run alone", got)
	}
	if got := h.sent().Attempt; got != behind {
		t.Errorf("sent %v, want %v", got, behind)
	}
}

func TestWorkBesideAnotherDispatcherIsNotMarkedAsRunAlone(t *testing.T) {
	h := newHarness(t, 2)
	h.placement.hosts = []model.HostID{self, coordinator}
	h.configure()
	h.connect()
	h.dispatch(func(m *message.Dispatch) { m.Isolate = true })
	h.reply(h.sent(), nil)
	if got := h.result(); got.RanAlone {
		t.Errorf("result = %+v, but another node may have sent work", got)
	}
}

func TestMismatchedReplyMarksItsAttemptLost(t *testing.T) {
	h := readyHarness(t, 1)
	attempt := h.dispatch(nil)
	sent := h.sent()
	h.closeConnection(event.ConnectionClosed{Connection: sent.Connection, Attempt: attempt, Written: true, Mismatch: true})
	if got := h.result(); got.Status != message.StatusLost || got.Crash {
		t.Errorf("result = %+v, want lost without a crash", got)
	}
	counted := false
	for _, c := range effectsOf[effect.Count](h.effects) {
		counted = counted || c.Metric == metricMismatched
	}
	if !counted {
		t.Error("the mismatch was not counted")
	}
}

func TestShedWorkHalvesTheLimitAndIsNotRun(t *testing.T) {
	h := readyHarness(t, 4)
	h.dispatch(nil)
	h.reply(h.sent(), func(e *event.UpstreamReply) { e.Status = event.UpstreamShed })
	got := h.result()
	if !got.Status.NotRun() || got.FreeSlots != 2 {
		t.Errorf("result = %+v, want not run and 2 free slots of 4", got)
	}
}

func TestOverdueWorkIsCancelledAndThenDisconnected(t *testing.T) {
	h := readyHarness(t, 1)
	attempt := h.dispatch(func(m *message.Dispatch) { m.TimeLeft = int64(100 * time.Millisecond) })
	sent := h.sent()
	h.advance(100*time.Millisecond + statusInterval)
	h.connect()
	pool := h.state.byUpstream[upstreamA]
	if !pool.inFlight[0].cancelled {
		t.Error("overdue work was not cancelled")
	}
	effects := h.advance(overdueGrace + statusInterval)
	closed := false
	for _, e := range effectsOf[effect.CloseConnection](effects) {
		closed = closed || e.Connection == sent.Connection
	}
	if !closed {
		t.Fatal("the connection of overdue work was kept")
	}
	h.closeConnection(event.ConnectionClosed{Connection: sent.Connection, Attempt: attempt, Written: true})
	if got := h.result(); got.Status != message.StatusLost || got.Crash {
		t.Errorf("result = %+v, want lost without a crash", got)
	}
}

func TestLostCoordinatorCancelsRepeatableWork(t *testing.T) {
	h := readyHarness(t, 2)
	h.dispatch(nil)
	h.sent()
	h.dispatch(func(m *message.Dispatch) { m.Repeatable = false })
	order := h.sent()
	h.dispatch(nil)
	h.step(func(ctx *step.Context) { h.state.HandlePeerLost(ctx, coordinator) })
	cancels := effectsOf[effect.CancelUpstream](h.effects)
	if len(cancels) != 1 || cancels[0].Attempt == order.Attempt {
		t.Errorf("cancels = %+v, want only the repeatable work", cancels)
	}
	if got := h.result(); got.Status != message.StatusCancelled {
		t.Errorf("queued work: %+v", got)
	}
}
