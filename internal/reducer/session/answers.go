package session

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
)

// overloadRetryAfter is how long a caller should wait after a refusal for lack
// of room.
const overloadRetryAfter = time.Second

// refused returns the answer to an order that never starts. It starts from a
// fresh ledger: nothing of the order has left this node.
func refused(id model.RequestID, failure *model.Failure) model.Answer {
	var fresh outcome.Ledger
	reason := outcome.Reason{ID: id, Failure: failure}
	if failure.Code == model.CodeOverloaded {
		reason.RetryAfter = overloadRetryAfter
	}
	return fresh.End(reason)
}

// unknown returns the answer to an order that may have run.
func unknown(id model.RequestID, code model.Code, format string, arguments ...any) model.Answer {
	return outcome.MayHaveRun(outcome.Reason{ID: id, Failure: model.Failf(code, format, arguments...)}).Answer()
}

// homeLost returns the answer to an order whose home is gone.
func homeLost(id model.RequestID) model.Answer {
	return unknown(id, model.CodeOutcomeLost, "the home of session %s is gone, and with it the outcome", id.Session)
}

// notKept returns the answer to an order whose outcome was acknowledged or has
// expired.
func notKept(id model.RequestID) model.Answer {
	return unknown(id, model.CodeOutcomeLost, "the outcome of request %s is no longer kept", id)
}
