// Package outcome keeps the three outcomes of a request apart by type. "Not run"
// can only be obtained from a Ledger, and the ledger gives it only while nothing
// of the request can have been written to an upstream. Everything else without a
// reply is "unknown".
package outcome

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Ledger counts where the sub-requests of one request have gone. The zero value
// stands for a request of which nothing has left the node. Each hand-over is
// noted before its message is sent, and ended by one Settle or Lose.
type Ledger struct {
	// open counts the attempts whose fate is not known.
	open int
	// reached is true once an attempt may have been written to an upstream.
	reached bool
}

// RecordAttempt notes that an attempt goes to a dispatcher: from here on it may be
// written to an upstream.
func (l *Ledger) RecordAttempt() { l.open++ }

// RecordResult notes what a dispatcher said of an attempt. A word on an attempt that
// was never handed over proves nothing.
func (l *Ledger) RecordResult(status message.DispatchStatus) {
	if l.open == 0 || !status.NotRun() {
		l.reached = true
	}
	l.open = max(0, l.open-1)
}

// MarkLost notes that nothing more will be heard of an attempt.
func (l *Ledger) MarkLost() { l.RecordResult(message.StatusLost) }

// Untouched reports whether it is certain that no upstream has got any of the
// request.
func (l *Ledger) Untouched() bool { return !l.reached && l.open == 0 }

// Reason tells why a request ends without an answer.
type Reason struct {
	ID      model.RequestID
	Failure *model.Failure
	// RetryAfter is how long the caller should wait if nothing ran.
	RetryAfter time.Duration
}

// NotRun is the outcome of a request of which no upstream has got anything. The
// zero value is no outcome.
type NotRun struct{ answer model.Answer }

// Answer returns what the caller gets.
func (n NotRun) Answer() model.Answer { return n.answer }

// Unknown is the outcome of a request that may have run.
type Unknown struct{ answer model.Answer }

// Answer returns what the caller gets.
func (u Unknown) Answer() model.Answer { return u.answer }

// NotRun returns the outcome "not run", and false when that is not certain.
func (l *Ledger) NotRun(reason Reason) (NotRun, bool) {
	if !l.Untouched() {
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

// End ends a request without an answer: as not run if that is certain, else as
// unknown.
func (l *Ledger) End(reason Reason) model.Answer {
	if refused, ok := l.NotRun(reason); ok {
		return refused.Answer()
	}
	return MayHaveRun(reason).Answer()
}
