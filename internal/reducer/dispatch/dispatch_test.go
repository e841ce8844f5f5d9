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

// ready returns a connected dispatcher.
func ready(t *testing.T, slots int) *bench {
	t.Helper()
	b := newBench(t, slots)
	b.configure()
	b.connect()
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
	if got := b.result(); got.Status != message.StatusTakenBack {
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

func TestRefusesWhatCannotMakeItsDeadline(t *testing.T) {
	b := ready(t, 1)
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

func TestReportsToNewMembers(t *testing.T) {
	b := ready(t, 1)
	b.view.members = append(b.view.members, model.Member{Host: "n3", State: model.Starting})
	b.configure()
	if !b.hasTo("n3") || b.hasTo(coordinator) {
		t.Errorf("effects = %+v, want a report to the new member only", b.effects)
	}
}

func TestLosingOwnershipFinishesWhatIsInFlight(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	sent := b.sent()
	b.dispatch(nil)
	b.placement.hosts = []model.HostID{coordinator}
	b.configure()
	if got := b.result(); got.Status != message.StatusNotOwner {
		t.Errorf("queued work: %+v, want not owner", got)
	}
	for _, c := range of[effect.CloseConnection](b.effects) {
		if c.Connection == sent.Connection {
			t.Error("closed a connection with work in flight")
		}
	}
	b.reply(sent, nil)
	if got := b.result(); got.Status != message.StatusAnswered {
		t.Errorf("sent work: %+v", got)
	}
	if closed := of[effect.CloseConnection](b.effects); len(closed) == 0 {
		t.Error("idle connections were kept")
	}
}
