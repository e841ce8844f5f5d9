package session

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
)

// overloadRetryAfter is how long a caller should wait after a refusal for
// overload.
const overloadRetryAfter = time.Second

// refusedAnswer returns the answer to an order that never starts. It uses a new
// ledger, because nothing of the order has left this node.
func refusedAnswer(id model.RequestID, failure *model.Failure) model.Answer {
	var fresh outcome.Ledger
	reason := outcome.Reason{ID: id, Failure: failure}
	if failure.Code == model.CodeOverloaded {
		reason.RetryAfter = overloadRetryAfter
	}
	return fresh.End(reason)
}

// unknownAnswer returns the answer to an order that may have run.
func unknownAnswer(id model.RequestID, code model.Code, format string, arguments ...any) model.Answer {
	return outcome.MayHaveRun(outcome.Reason{ID: id, Failure: model.Failf(code, format, arguments...)}).Answer()
}

// homeLostAnswer returns the answer to an order whose home is lost.
func homeLostAnswer(id model.RequestID) model.Answer {
	return unknownAnswer(id, model.CodeOutcomeLost, "the home of session %s is lost, and the outcome with it", id.Session)
}

// outcomeDiscardedAnswer returns the answer to an order whose outcome was
// acknowledged or has expired.
func outcomeDiscardedAnswer(id model.RequestID) model.Answer {
	return unknownAnswer(id, model.CodeOutcomeLost, "the outcome of request %s is no longer kept", id)
}
