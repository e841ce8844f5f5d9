package query

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// withdrawn starts a search of two services that needs both, and refuses the
// first at both of its replicas. It returns the open attempt of the second.
func withdrawn(t *testing.T) (*bench, message.Dispatch) {
	t.Helper()
	policy := searchPolicy()
	policy.MinCoverage = 100
	policy.RetryBudget = 0
	b := benchWith(t, policy, "v0", "v1")
	b.search(1, "v0", "v1")
	sent := b.dispatches()
	if len(sent) != 2 || sent[0].Priority != sent[1].Priority {
		t.Fatalf("dispatches = %+v, want two of one priority", sent)
	}
	b.result(peerHost, ended(sent[0], message.StatusRefused))
	b.answerRetries(sent)
	return b, sent[1]
}

// answerRetries refuses what was sent after the given dispatches.
func (b *bench) answerRetries(sent []message.Dispatch) {
	for {
		all := b.dispatches()
		if len(all) == len(sent) {
			return
		}
		b.result(peerHost, ended(all[len(sent)], message.StatusRefused))
		sent = all[:len(sent)+1]
	}
}

func TestHopelessSearchIsWithdrawnAsNotRun(t *testing.T) {
	b, open := withdrawn(t)
	if !b.cancels()[open.Attempt] {
		t.Fatal("the open attempt was not cancelled")
	}
	if len(b.replies) != 0 {
		t.Fatal("answered before it was known whether the open attempt ran")
	}
	takenBack := ended(open, message.StatusCancelled)
	takenBack.Reason = model.CodeCancelled
	b.result(peerHost, takenBack)
	if len(b.replies) != 1 || b.replies[0].Answer.Outcome != model.NotRun {
		t.Fatalf("replies = %+v, want not run", b.replies)
	}
	if code := b.replies[0].Answer.Failure.Code; code != model.CodeOverloaded {
		t.Errorf("code %s, want that of the refusal", code)
	}
}

func TestHopelessSearchDoesNotWaitForever(t *testing.T) {
	b, _ := withdrawn(t)
	b.advance(withdrawTime + time.Millisecond)
	if len(b.replies) != 1 || b.replies[0].Answer.Outcome != model.Unknown {
		t.Fatalf("replies = %+v, want unknown", b.replies)
	}
}
