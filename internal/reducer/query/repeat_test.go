package query

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// typicalTime is the latency of an upstream in these tests.
const typicalTime = 4 * time.Millisecond

// warm runs searches that are answered after the typical time, so that latencies
// and budgets fill.
func (b *bench) warm(service string, searches int) {
	for range searches {
		before := len(b.dispatches())
		b.search(1000, service)
		b.advance(typicalTime)
		for _, d := range b.dispatches()[before:] {
			b.result(peerHost, answered(d))
		}
	}
	b.sent = nil
	b.replies = nil
}

func TestHedgeAfterQuantileCancelsLoser(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0")
	b.warm("v0", 40)
	b.search(1, "v0")
	b.advance(typicalTime - time.Millisecond)
	if got := len(b.dispatches()); got != 1 {
		t.Fatalf("%d dispatches before the quantile", got)
	}
	b.advance(2 * time.Millisecond)
	sent := b.dispatches()
	if len(sent) != 2 || !sent[1].Hedge || sent[1].Upstream == sent[0].Upstream {
		t.Fatalf("no hedge to another upstream: %+v", sent)
	}
	b.result(peerHost, answered(sent[1]))
	if len(b.replies) != 1 || !b.cancels()[sent[0].Attempt] {
		t.Fatal("the loser was not cancelled")
	}
	b.result(peerHost, answered(sent[0]))
	if len(b.replies) != 1 {
		t.Fatal("the loser's reply was answered too")
	}
	if answer := b.replies[0].Answer; answer.Planned != 1 || answer.Attempts != 2 {
		t.Fatalf("got %d attempts of %d", answer.Attempts, answer.Planned)
	}
}

func TestNoHedgeWithoutBudget(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0")
	b.warm("v0", 18)
	b.search(1, "v0")
	b.advance(100 * time.Millisecond)
	if got := len(b.dispatches()); got != 1 {
		t.Fatalf("%d dispatches for less than one token", got)
	}
	if b.counts[metricHedgesDenied] == 0 {
		t.Fatal("the denial was not counted")
	}
}

func TestNonRepeatableIsNeverHedged(t *testing.T) {
	policy := searchPolicy()
	policy.Repeatable = false
	b := benchWith(t, policy, "v0")
	b.warm("v0", 100)
	b.search(1, "v0")
	b.advance(time.Second)
	if got := len(b.dispatches()); got != 1 {
		t.Fatalf("%d dispatches", got)
	}
}

func TestLostDispatcher(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0")
	b.search(1, "v0")
	b.step(func(ctx *step.Context) { b.state.HandlePeerLost(ctx, peerHost) })
	if len(b.sent) != 2 || b.sent[1].To != "c" {
		t.Fatalf("the lost attempt was not sent to the other dispatcher: %+v", b.sent)
	}
	b.result("c", answered(b.dispatches()[1]))
	if len(b.replies) != 1 || b.replies[0].Answer.Outcome != model.Answered {
		t.Fatalf("got %+v", b.replies)
	}
}

func TestNotOwnerIsOfferedToAnotherDispatcher(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0")
	b.search(1, "v0")
	d := b.dispatches()[0]
	b.result(peerHost, ended(d, message.StatusNotOwner))
	if len(b.sent) != 2 || b.sent[1].To != "c" || b.dispatches()[1].Attempt == d.Attempt {
		t.Fatalf("got %+v", b.sent)
	}
	b.result("c", ended(b.dispatches()[1], message.StatusNotOwner))
	b.result(peerHost, ended(d, message.StatusNotOwner))
	if last := b.dispatches()[2]; !b.isOpen(last) {
		t.Fatal("a copy of the first result settled the second offer to the same dispatcher")
	}
}

// isOpen reports whether the coordinator awaits a dispatch's result.
func (b *bench) isOpen(d message.Dispatch) bool {
	_, open := b.state.attempts[d.Attempt.Number]
	return open
}

func TestVersionGoneRestartsWhole(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0", "v1")
	for _, service := range b.config.Services {
		for _, upstream := range service.Upstreams {
			b.report(model.IndexReport{
				Upstream: upstream.ID, Reachable: true, FreeSlots: 2, Limit: 2,
				Holdings: []model.Holding{wholeMap(1)},
			})
		}
	}
	b.search(1, "v*")
	for _, service := range b.config.Services {
		for _, upstream := range service.Upstreams {
			b.report(model.IndexReport{
				Upstream: upstream.ID, Reachable: true, FreeSlots: 2, Limit: 2,
				Holdings: []model.Holding{wholeMap(2)},
			})
		}
	}
	sent := b.dispatches()
	b.result(peerHost, answered(sent[0]))
	for i := 1; i < len(b.dispatches()) && b.dispatches()[i].Version == 1; i++ {
		b.result(peerHost, ended(b.dispatches()[i], message.StatusVersionGone))
	}
	for _, d := range b.dispatches() {
		if d.Version == 2 {
			b.result(peerHost, answered(d))
		}
	}
	if len(b.replies) != 1 {
		t.Fatalf("%d replies", len(b.replies))
	}
	answer := b.replies[0].Answer
	if answer.Snapshot != 2 || !answer.Coverage.Complete() || b.counts[metricRestarts] != 1 {
		t.Fatalf("got %+v", answer)
	}
}

func TestAnswerByAndLeastCoverage(t *testing.T) {
	tests := []struct {
		name    string
		least   model.Percent
		wait    time.Duration
		outcome model.Outcome
	}{
		{"desk answers early with what there is", 50, 60 * time.Millisecond, model.Answered},
		{"nurse waits for coverage until the deadline", 100, 250 * time.Millisecond, model.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := searchPolicy()
			policy.AnswerBy = 50 * time.Millisecond
			policy.MinCoverage = test.least
			b := benchWith(t, policy, "v0", "v1")
			b.search(1, "v*")
			b.result(peerHost, answered(b.dispatches()[0]))
			b.advance(test.wait)
			if len(b.replies) != 1 {
				t.Fatalf("%d replies", len(b.replies))
			}
			answer := b.replies[0].Answer
			if answer.Outcome != test.outcome || answer.Coverage.Searched != 1 || len(answer.Coverage.Missing) != 1 {
				t.Fatalf("got %+v", answer)
			}
			if (answer.Outcome == model.Unknown) != (answer.Failure != nil && answer.Failure.Code == model.CodeLowCoverage) {
				t.Fatalf("got %+v", answer.Failure)
			}
		})
	}
}

func TestSecondCrashEndsRepeats(t *testing.T) {
	b := benchWith(t, searchPolicy(), "v0", "v1", "v2")
	b.markProven(1)
	b.search(1, "v*")
	for crash := range maxCrashes {
		m := ended(b.dispatches()[crash], message.StatusLost)
		m.Crash = true
		b.result(peerHost, m)
	}
	if len(b.replies) != 1 || b.replies[0].Answer.Outcome != model.Unknown {
		t.Fatalf("got %+v", b.replies)
	}
	repeat := b.dispatches()[3]
	if len(b.dispatches()) != 4 || !repeat.Isolate {
		t.Fatalf("the repeat after a crash is not isolated: %+v", repeat)
	}
	if len(b.cancels()) != 2 {
		t.Fatalf("%d attempts were cancelled, want the rest of the scatter and the repeat", len(b.cancels()))
	}
}

func TestOnlyReplicaIsTriedAgainAfterAPause(t *testing.T) {
	tests := []struct {
		name   string
		reason model.Code
		sent   int
	}{
		{"unavailable passes", model.CodeUnavailable, 2},
		{"congestion is not waited for", model.CodeOverloaded, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := benchWith(t, searchPolicy(), "v0")
			for _, upstream := range []model.UpstreamID{"v0/u1", "v0/u2"} {
				b.report(model.IndexReport{Upstream: upstream, Reachable: false})
			}
			b.search(1, "v0")
			refused := ended(b.dispatches()[0], message.StatusRefused)
			refused.Reason = test.reason
			b.result(peerHost, refused)
			b.advance(retryPause)
			sent := b.dispatches()
			if len(sent) != test.sent {
				t.Fatalf("sent %d times, want %d", len(sent), test.sent)
			}
			if test.sent == 1 {
				if len(b.replies) != 1 || b.replies[0].Answer.Outcome != model.NotRun {
					t.Fatalf("got %+v", b.replies)
				}
				return
			}
			b.result(peerHost, answered(sent[1]))
			if len(b.replies) != 1 || b.replies[0].Answer.Outcome != model.Answered {
				t.Fatalf("got %+v", b.replies)
			}
		})
	}
}
