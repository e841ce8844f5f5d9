package dispatch

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

func TestHigherPriorityEvictsLowerFromFullQueue(t *testing.T) {
	h := readyHarness(t, 1)
	h.config.Services[0].Policy.QueueLimit = 1
	h.configure()
	h.dispatch(nil)
	low := h.dispatch(func(m *message.Dispatch) { m.Priority = 1 })
	h.dispatch(func(m *message.Dispatch) { m.Priority = 2 })
	got := h.result()
	if got.Attempt != low || got.Status != message.StatusRefused || got.Reason != model.CodeOverloaded {
		t.Errorf("result = %+v, want the sub-request of lower priority refused", got)
	}
	lower := h.dispatch(func(m *message.Dispatch) { m.Priority = 1 })
	if got := h.result(); got.Attempt != lower || got.Status != message.StatusRefused {
		t.Errorf("result = %+v, want the new sub-request refused", got)
	}
}

// TestDispatcherInvariants drives one upstream with random arrivals, replies and
// pauses. No more sub-requests are in flight than there are slots, each gets exactly
// one result, and none that is reported as not run was sent.
func TestDispatcherInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		slots := rapid.IntRange(1, 4).Draw(r, "slots")
		h := readyHarness(t, slots)
		h.effects = nil
		p := &invariantChecker{sent: make(map[model.AttemptID]bool), results: make(map[model.AttemptID]int)}
		dispatched := 0
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			switch rapid.IntRange(0, 3).Draw(r, "step") {
			case 0, 1:
				dispatched++
				h.dispatch(func(m *message.Dispatch) {
					m.Priority = rapid.Uint32Range(0, 9).Draw(r, "priority")
					m.TimeLeft = int64(rapid.IntRange(1, 200).Draw(r, "ms")) * int64(time.Millisecond)
					m.Repeatable = rapid.Bool().Draw(r, "repeatable")
					m.Isolate = rapid.IntRange(0, 9).Draw(r, "isolate") == 0
				})
			case 2:
				p.replyFirst(h)
			case 3:
				h.advance(time.Duration(rapid.IntRange(1, 30).Draw(r, "pause")) * time.Millisecond)
			}
			p.record(r, h)
			if got := len(h.state.byUpstream[upstreamA].inFlight); got > slots {
				r.Fatalf("%d in flight on %d slots", got, slots)
			}
		}
		for p.replyFirst(h) {
			p.record(r, h)
		}
		h.advance(time.Second)
		p.record(r, h)
		for p.replyFirst(h) {
			p.record(r, h)
		}
		if len(p.results) != dispatched || h.state.InFlight() != 0 {
			r.Fatalf("%d results for %d sub-requests, %d open", len(p.results), dispatched, h.state.InFlight())
		}
	})
}

// invariantChecker records the sub-requests that were sent and their results.
type invariantChecker struct {
	sent    map[model.AttemptID]bool
	results map[model.AttemptID]int
}

// record records the effects of the last step and checks them.
func (p *invariantChecker) record(r *rapid.T, h *harness) {
	for _, attempt := range h.sentAttempts() {
		p.sent[attempt] = true
	}
	for _, result := range h.results() {
		p.results[result.Attempt]++
		if p.results[result.Attempt] > 1 {
			r.Fatalf("two results for %v", result.Attempt)
		}
		if result.Status.NotRun() && p.sent[result.Attempt] {
			r.Fatalf("%v was sent and then refused", result.Attempt)
		}
	}
	h.effects = nil
}

// replyFirst answers the oldest job in flight; it returns false if there is none.
func (p *invariantChecker) replyFirst(h *harness) bool {
	for _, j := range h.state.byUpstream[upstreamA].inFlight {
		h.reply(sendOf(j), nil)
		return true
	}
	return false
}
