// Package outcome determines the outcome of a request that ends without a reply: "not
// run" or "unknown". "Not run" can only be obtained from a Ledger, which returns it only
// if every attempt that was sent has a result that proves that it did not run.
package outcome

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Ledger tracks the attempts of one request. The zero value stands for a request
// of which nothing has left the node. RecordAttempt is called for each attempt
// before its message is sent, followed by one call of RecordResult or MarkLost.
type Ledger struct {
	// open is the number of attempts without a result.
	open int
	// mayHaveRun is true once an attempt has ended without proof that it did not run.
	mayHaveRun bool
}

// RecordAttempt records that an attempt is sent to a dispatcher: from now on an upstream
// may run it.
func (l *Ledger) RecordAttempt() { l.open++ }

// RecordResult records the result of an attempt as reported by a dispatcher. A
// result without an open attempt proves nothing, so the request may have run.
func (l *Ledger) RecordResult(status message.DispatchStatus) {
	if l.open == 0 || !status.NotRun() {
		l.mayHaveRun = true
	}
	l.open = max(0, l.open-1)
}

// MarkLost records that no result of an attempt will be received.
func (l *Ledger) MarkLost() { l.RecordResult(message.StatusLost) }

// IsCertainlyNotRun reports whether it is certain that no upstream ran any part of the
// request.
func (l *Ledger) IsCertainlyNotRun() bool { return !l.mayHaveRun && l.open == 0 }

// Reason describes why a request ends without a reply.
type Reason struct {
	ID      model.RequestID
	Failure *model.Failure
	// RetryAfter is how long the caller should wait before a retry if nothing ran.
	RetryAfter time.Duration
}

// NotRun is the outcome of a request of which no upstream ran any part. The zero value
// is not an outcome.
type NotRun struct{ answer model.Answer }

// Answer returns the answer to the caller.
func (n NotRun) Answer() model.Answer { return n.answer }

// Unknown is the outcome of a request that may have run.
type Unknown struct{ answer model.Answer }

// Answer returns the answer to the caller.
func (u Unknown) Answer() model.Answer { return u.answer }

// NotRun returns the outcome "not run", or false if that is not certain.
func (l *Ledger) NotRun(reason Reason) (NotRun, bool) {
	if !l.IsCertainlyNotRun() {
		return NotRun{}, false
	}
	return NotRun{answer: model.Answer{
		RequestID:  reason.ID,
		Outcome:    model.NotRun,
		Failure:    reason.Failure,
		RetryAfter: reason.RetryAfter,
	}}, true
}

// MayHaveRun returns the outcome "unknown".
func MayHaveRun(reason Reason) Unknown {
	return Unknown{answer: model.Answer{
		RequestID: reason.ID,
		Outcome:   model.Unknown,
		Failure:   reason.Failure,
	}}
}

// End returns the answer to a request that ends without a reply: "not run" if that
// is certain, and "unknown" otherwise.
func (l *Ledger) End(reason Reason) model.Answer {
	if notRun, ok := l.NotRun(reason); ok {
		return notRun.Answer()
	}
	return MayHaveRun(reason).Answer()
}
