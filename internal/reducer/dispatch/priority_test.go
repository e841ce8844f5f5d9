package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

func TestHigherPriorityTakesTheQueuePlaceOfALower(t *testing.T) {
	b := ready(t, 1)
	b.config.Services[0].Policy.QueueLimit = 1
	b.configure()
	b.dispatch(nil)
	low := b.dispatch(func(m *message.Dispatch) { m.Priority = 1 })
	b.dispatch(func(m *message.Dispatch) { m.Priority = 2 })
	got := b.result()
	if got.Attempt != low || got.Status != message.StatusRefused || got.Reason != model.CodeOverloaded {
		t.Errorf("result = %+v, want the lower priority refused", got)
	}
	lower := b.dispatch(func(m *message.Dispatch) { m.Priority = 1 })
	if got := b.result(); got.Attempt != lower || got.Status != message.StatusRefused {
		t.Errorf("result = %+v, want the newcomer refused", got)
	}
}

// TestDispatcherKeepsItsPromises drives one upstream with arbitrary arrivals,
// replies and pauses: no more is in flight than the slots, each sub-request gets
// exactly one result, and what was refused was never sent.
func TestDispatcherKeepsItsPromises(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(r, "slots")
		b := ready(t, slots)
		b.effects = nil
		p := &promises{sent: make(map[model.AttemptID]bool), results: make(map[model.AttemptID]int)}
		dispatched := 0
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0, 1:
				dispatched++
				b.dispatch(func(m *message.Dispatch) {
					m.Priority = rapid.Uint32Range(0, 9).Draw(r, "priority")
					m.TimeLeft = int64(rapid.IntRange(1, 200).Draw(r, "ms")) * int64(time.Millisecond)
					m.Repeatable = rapid.Bool().Draw(r, "repeatable")
					m.Isolate = rapid.IntRange(0, 9).Draw(r, "isolate") == 0
				})
			case 2:
				p.replyFirst(b)
			case 3:
				b.advance(time.Duration(rapid.IntRange(1, 30).Draw(r, "pause")) * time.Millisecond)
			}
			p.note(r, b)
			if got := len(b.state.byUpstream[upstreamA].inFlight); got > slots {
				r.Fatalf("%d in flight on %d slots", got, slots)
			}
		}
		for p.replyFirst(b) {
			p.note(r, b)
		}
		b.advance(time.Second)
		p.note(r, b)
		for p.replyFirst(b) {
			p.note(r, b)
		}
		if len(p.results) != dispatched || b.state.InFlight() != 0 {
			r.Fatalf("%d results for %d sub-requests, %d open", len(p.results), dispatched, b.state.InFlight())
		}
	})
}

// promises collects what a dispatcher did.
type promises struct {
	sent    map[model.AttemptID]bool
	results map[model.AttemptID]int
}

// note takes in the effects of the last step.
func (p *promises) note(r *rapid.T, b *bench) {
	for _, attempt := range b.sentAttempts() {
		p.sent[attempt] = true
	}
	for _, result := range b.results() {
		p.results[result.Attempt]++
		if p.results[result.Attempt] > 1 {
			r.Fatalf("two results for %v", result.Attempt)
		}
		if result.Status.NotRun() && p.sent[result.Attempt] {
			r.Fatalf("%v was sent and then refused", result.Attempt)
		}
	}
	b.effects = nil
}

// replyFirst answers the oldest job in flight; it returns false if there is none.
func (p *promises) replyFirst(b *bench) bool {
	for _, j := range b.state.byUpstream[upstreamA].inFlight {
		b.reply(sendOf(j), nil)
		return true
	}
	return false
}
