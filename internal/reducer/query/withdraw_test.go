package query

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// startWithdrawnSearch starts a search that needs both of its services and refuses every
// attempt except the first one of the second service, so that the search fails. It returns
// that attempt, which is still open.
func startWithdrawnSearch(t *testing.T) (*fixture, message.Dispatch) {
	t.Helper()
	policy := searchPolicy()
	policy.MinCoverage = 100
	policy.RetryBudget = 0
	f := newServiceFixture(t, policy, "v0", "v1")
	f.search(1, "v0", "v1")
	sent := f.dispatches()
	if len(sent) != 2 || sent[0].Priority != sent[1].Priority {
		t.Fatalf("dispatches = %+v, want two of one priority", sent)
	}
	f.result(peerHost, resultWithStatus(sent[0], message.StatusRefused))
	f.refuseRetries(sent)
	return f, sent[1]
}

// refuseRetries refuses all dispatches sent after the given ones.
func (f *fixture) refuseRetries(sent []message.Dispatch) {
	for {
		all := f.dispatches()
		if len(all) == len(sent) {
			return
		}
		f.result(peerHost, resultWithStatus(all[len(sent)], message.StatusRefused))
		sent = all[:len(sent)+1]
	}
}

func TestWithdrawnSearchIsNotRun(t *testing.T) {
	f, open := startWithdrawnSearch(t)
	if !f.cancels()[open.Attempt] {
		t.Fatal("the open attempt was not cancelled")
	}
	if len(f.replies) != 0 {
		t.Fatal("answered before the result of the open attempt arrived")
	}
	cancelled := resultWithStatus(open, message.StatusCancelled)
	cancelled.Reason = model.CodeCancelled
	f.result(peerHost, cancelled)
	if len(f.replies) != 1 || f.replies[0].Answer.Outcome != model.NotRun {
		t.Fatalf("replies = %+v, want not run", f.replies)
	}
	if code := f.replies[0].Answer.Failure.Code; code != model.CodeOverloaded {
		t.Errorf("code %s, want that of the refusal", code)
	}
}

func TestWithdrawnSearchTimesOut(t *testing.T) {
	f, _ := startWithdrawnSearch(t)
	f.advance(withdrawTimeout + time.Millisecond)
	if len(f.replies) != 1 || f.replies[0].Answer.Outcome != model.Unknown {
		t.Fatalf("replies = %+v, want unknown", f.replies)
	}
}
