package query

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// typicalTime is the latency of the upstreams in these tests.
const typicalTime = 4 * time.Millisecond

// warm runs searches that are answered after typicalTime, which adds latency samples
// and budget tokens.
func (f *fixture) warm(service string, searches int) {
	for range searches {
		before := len(f.dispatches())
		f.search(1000, service)
		f.advance(typicalTime)
		for _, d := range f.dispatches()[before:] {
			f.result(peerHost, answeredResult(d))
		}
	}
	f.sent = nil
	f.replies = nil
}

func TestHedgeAfterQuantileCancelsSlowerAttempt(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0")
	f.warm("v0", 40)
	f.search(1, "v0")
	f.advance(typicalTime - time.Millisecond)
	if got := len(f.dispatches()); got != 1 {
		t.Fatalf("%d dispatches before the hedge delay", got)
	}
	f.advance(2 * time.Millisecond)
	sent := f.dispatches()
	if len(sent) != 2 || !sent[1].Hedge || sent[1].Upstream == sent[0].Upstream {
		t.Fatalf("no hedge to another upstream: %+v", sent)
	}
	f.result(peerHost, answeredResult(sent[1]))
	if len(f.replies) != 1 || !f.cancels()[sent[0].Attempt] {
		t.Fatal("the slower attempt was not cancelled")
	}
	f.result(peerHost, answeredResult(sent[0]))
	if len(f.replies) != 1 {
		t.Fatal("the slower attempt's reply was answered too")
	}
	if answer := f.replies[0].Answer; answer.Planned != 1 || answer.Attempts != 2 {
		t.Fatalf("got %d attempts of %d", answer.Attempts, answer.Planned)
	}
}

func TestNoHedgeWithoutBudget(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0")
	f.warm("v0", 18)
	f.search(1, "v0")
	f.advance(100 * time.Millisecond)
	if got := len(f.dispatches()); got != 1 {
		t.Fatalf("%d dispatches with less than one token", got)
	}
	if f.counts[metricHedgesDenied] == 0 {
		t.Fatal("the denial was not counted")
	}
}

func TestNonRepeatableIsNeverHedged(t *testing.T) {
	policy := searchPolicy()
	policy.Repeatable = false
	f := newServiceFixture(t, policy, "v0")
	f.warm("v0", 100)
	f.search(1, "v0")
	f.advance(time.Second)
	if got := len(f.dispatches()); got != 1 {
		t.Fatalf("%d dispatches", got)
	}
}

func TestLostDispatcher(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0")
	f.search(1, "v0")
	f.step(func(ctx *step.Context) { f.state.HandlePeerLost(ctx, peerHost) })
	if len(f.sent) != 2 || f.sent[1].To != "c" {
		t.Fatalf("the lost attempt was not sent to the other dispatcher: %+v", f.sent)
	}
	f.result("c", answeredResult(f.dispatches()[1]))
	if len(f.replies) != 1 || f.replies[0].Answer.Outcome != model.Answered {
		t.Fatalf("got %+v", f.replies)
	}
}

func TestNotOwnerIsOfferedToAnotherDispatcher(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0")
	f.search(1, "v0")
	d := f.dispatches()[0]
	f.result(peerHost, resultWithStatus(d, message.StatusNotOwner))
	if len(f.sent) != 2 || f.sent[1].To != "c" || f.dispatches()[1].Attempt == d.Attempt {
		t.Fatalf("got %+v", f.sent)
	}
	f.result("c", resultWithStatus(f.dispatches()[1], message.StatusNotOwner))
	f.result(peerHost, resultWithStatus(d, message.StatusNotOwner))
	if last := f.dispatches()[2]; !f.isOpen(last) {
		t.Fatal("a duplicate of the first result settled a later attempt at the same dispatcher")
	}
}

// isOpen reports whether the coordinator awaits a dispatch's result.
func (f *fixture) isOpen(d message.Dispatch) bool {
	_, open := f.state.attempts[d.Attempt.Number]
	return open
}

func TestVersionGoneRestartsSearch(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0", "v1")
	for _, service := range f.config.Services {
		for _, upstream := range service.Upstreams {
			f.report(model.IndexReport{
				Upstream: upstream.ID, Reachable: true, FreeSlots: 2, Limit: 2,
				Holdings: []model.Holding{singleShardHolding(1)},
			})
		}
	}
	f.search(1, "v*")
	for _, service := range f.config.Services {
		for _, upstream := range service.Upstreams {
			f.report(model.IndexReport{
				Upstream: upstream.ID, Reachable: true, FreeSlots: 2, Limit: 2,
				Holdings: []model.Holding{singleShardHolding(2)},
			})
		}
	}
	sent := f.dispatches()
	f.result(peerHost, answeredResult(sent[0]))
	for i := 1; i < len(f.dispatches()) && f.dispatches()[i].Version == 1; i++ {
		f.result(peerHost, resultWithStatus(f.dispatches()[i], message.StatusVersionGone))
	}
	for _, d := range f.dispatches() {
		if d.Version == 2 {
			f.result(peerHost, answeredResult(d))
		}
	}
	if len(f.replies) != 1 {
		t.Fatalf("%d replies", len(f.replies))
	}
	answer := f.replies[0].Answer
	if answer.Snapshot != 2 || !answer.Coverage.Complete() || f.counts[metricRestarts] != 1 {
		t.Fatalf("got %+v", answer)
	}
}

func TestAnswerByAndMinCoverage(t *testing.T) {
	tests := []struct {
		name        string
		minCoverage model.Percent
		wait        time.Duration
		outcome     model.Outcome
	}{
		{"partial answer at the answer-by time", 50, 60 * time.Millisecond, model.Answered},
		{"wait for full coverage until the deadline", 100, 250 * time.Millisecond, model.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			policy := searchPolicy()
			policy.AnswerBy = 50 * time.Millisecond
			policy.MinCoverage = test.minCoverage
			f := newServiceFixture(t, policy, "v0", "v1")
			f.search(1, "v*")
			f.result(peerHost, answeredResult(f.dispatches()[0]))
			f.advance(test.wait)
			if len(f.replies) != 1 {
				t.Fatalf("%d replies", len(f.replies))
			}
			answer := f.replies[0].Answer
			if answer.Outcome != test.outcome || answer.Coverage.Searched != 1 || len(answer.Coverage.Missing) != 1 {
				t.Fatalf("got %+v", answer)
			}
			if (answer.Outcome == model.Unknown) != (answer.Failure != nil && answer.Failure.Code == model.CodeLowCoverage) {
				t.Fatalf("got %+v", answer.Failure)
			}
		})
	}
}

func TestSecondCrashEndsRetries(t *testing.T) {
	f := newServiceFixture(t, searchPolicy(), "v0", "v1", "v2")
	f.markSafe(1)
	f.search(1, "v*")
	for crash := range maxCrashes {
		m := resultWithStatus(f.dispatches()[crash], message.StatusLost)
		m.Crash = true
		f.result(peerHost, m)
	}
	if len(f.replies) != 1 || f.replies[0].Answer.Outcome != model.Unknown {
		t.Fatalf("got %+v", f.replies)
	}
	retry := f.dispatches()[3]
	if len(f.dispatches()) != 4 || !retry.Isolate {
		t.Fatalf("the retry after a crash is not isolated: %+v", retry)
	}
	if len(f.cancels()) != 2 {
		t.Fatalf("%d attempts were cancelled, want 2: the remaining first attempt and the retry", len(f.cancels()))
	}
}

func TestOnlyReplicaIsRetriedAfterBackoff(t *testing.T) {
	tests := []struct {
		name   string
		reason model.Code
		sent   int
	}{
		{"unavailable is transient", model.CodeUnavailable, 2},
		{"congestion is not retried", model.CodeOverloaded, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newServiceFixture(t, searchPolicy(), "v0")
			for _, upstream := range []model.UpstreamID{"v0/u1", "v0/u2"} {
				f.report(model.IndexReport{Upstream: upstream, Reachable: false})
			}
			f.search(1, "v0")
			refused := resultWithStatus(f.dispatches()[0], message.StatusRefused)
			refused.Reason = test.reason
			f.result(peerHost, refused)
			f.advance(retryBackoff)
			sent := f.dispatches()
			if len(sent) != test.sent {
				t.Fatalf("sent %d times, want %d", len(sent), test.sent)
			}
			if test.sent == 1 {
				if len(f.replies) != 1 || f.replies[0].Answer.Outcome != model.NotRun {
					t.Fatalf("got %+v", f.replies)
				}
				return
			}
			f.result(peerHost, answeredResult(sent[1]))
			if len(f.replies) != 1 || f.replies[0].Answer.Outcome != model.Answered {
				t.Fatalf("got %+v", f.replies)
			}
		})
	}
}
