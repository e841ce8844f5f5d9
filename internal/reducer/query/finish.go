package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// progress answers a request that has come to its end, and else sets its next
// timer.
func (s *State) progress(ctx *step.Context, r *request) {
	if r.closed {
		return
	}
	if r.suspect && r.tasks[r.canary].state != taskRunning {
		s.afterCanary(ctx, r)
	}
	if r.probing {
		s.stepProbe(ctx, r)
	}
	if r.versionGone && !r.withdrawn {
		s.restart(ctx, r)
	}
	if r.unsettled > 0 && !r.withdrawn && r.cannotCover() {
		s.withdraw(ctx, r)
	}
	if r.unsettled == 0 || !ctx.Now.Before(r.deadline) || r.mayAnswerNow(ctx.Now) {
		s.finish(ctx, r)
		return
	}
	s.arm(ctx, r)
}

// withdrawTime is how long the results of withdrawn attempts are awaited.
const withdrawTime = 20 * time.Millisecond

// withdraw takes back what is open of a search that cannot reach its least
// coverage any more. The results tell whether anything ran.
func (s *State) withdraw(ctx *step.Context, r *request) {
	r.withdrawn = true
	r.deadline = min(r.deadline, ctx.Now.Add(withdrawTime))
	r.wakeAt = 0
	ctx.Count(metricWithdrawn, "")
	for i := range r.tasks {
		t := &r.tasks[i]
		t.hedgeAt = 0
		if t.state == taskWaiting || t.retryAt > 0 {
			r.settle(t, taskFailed)
		}
	}
	for i := range r.attempts {
		a := &r.attempts[i]
		if !a.settled {
			ctx.Send(a.dispatcher, message.Cancel{Attempt: s.attemptID(ctx, a.number)})
		}
	}
}

// afterCanary scatters the rest of a suspect request, unless its canary crashed
// an upstream.
func (s *State) afterCanary(ctx *step.Context, r *request) {
	if r.crashes == 0 {
		s.scatter(ctx, r)
		return
	}
	for i := range r.tasks {
		r.settle(&r.tasks[i], taskFailed)
	}
	r.reason = model.CodeQuarantined
}

// mayAnswerNow reports whether the answer-by time has come and the coverage
// suffices.
func (r *request) mayAnswerNow(now model.Instant) bool {
	if r.isOrder() || r.answerBy == 0 || now.Before(r.answerBy) {
		return false
	}
	return r.covered()
}

// cannotCover reports whether so many shards have failed that the least coverage
// is out of reach: the rest would only load the upstreams.
func (r *request) cannotCover() bool {
	if r.isOrder() {
		return false
	}
	possible := model.Coverage{Searched: r.merge.Searched() + r.unsettled, Total: len(r.tasks)}
	return possible.Percent() < r.leastCoverage
}

// covered reports whether a search has its least coverage, and not nothing.
func (r *request) covered() bool {
	return r.merge.Searched() > 0 && r.merge.Percent() >= r.leastCoverage
}

// finish answers a request and forgets it.
func (s *State) finish(ctx *step.Context, r *request) {
	running := len(r.attempts) > 0 && r.hasOpenAttempt()
	var answer model.Answer
	if r.isOrder() {
		answer = r.orderAnswer(running)
	} else {
		answer = s.searchAnswer(ctx, r, running)
	}
	answer.Planned = r.planned
	answer.Attempts = r.planned + r.extra
	s.close(ctx, r)
	if r.isOrder() {
		s.sink.OrderDone(ctx, r.order, answer)
		return
	}
	ctx.Emit(effect.ReplyCaller{
		Call:    r.call,
		Answer:  answer,
		Service: r.services[0].config.Name,
		Elapsed: ctx.Now.Sub(r.started),
	})
}

// hasOpenAttempt reports whether an attempt may still run.
func (r *request) hasOpenAttempt() bool {
	for i := range r.attempts {
		if !r.attempts[i].settled {
			return true
		}
	}
	return false
}

// searchAnswer returns the merged rows, or a failure when the coverage does not
// suffice.
func (s *State) searchAnswer(ctx *step.Context, r *request, running bool) model.Answer {
	coverage := r.merge.Coverage()
	answer := model.Answer{RequestID: r.requestID, Snapshot: r.pin.Version(), Coverage: &coverage}
	if r.covered() {
		answer.Outcome = model.Answered
		answer.Results = r.merge.Rows()
		if !coverage.Complete() {
			ctx.Count(metricPartialAnswers, "")
		}
		return answer
	}
	ctx.Count(metricLowCoverage, "")
	r.failAnswer(&answer, running)
	if answer.Outcome == model.Unknown && r.reason != model.CodeQuarantined {
		answer.Failure = model.Failf(model.CodeLowCoverage, "%d of %d shards were searched in time, and at least %g%% are asked for",
			coverage.Searched, coverage.Total, float64(r.leastCoverage))
	}
	return answer
}

// orderAnswer returns an order's reply or failure.
func (r *request) orderAnswer(running bool) model.Answer {
	answer := model.Answer{RequestID: r.requestID}
	if r.tasks[0].state == taskAnswered {
		answer.Outcome = model.Answered
		answer.OrderReply = r.orderReply
		return answer
	}
	r.failAnswer(&answer, running)
	return answer
}

// failAnswer makes an answer a failure. It is "not run" only if every attempt
// was settled as such.
func (r *request) failAnswer(answer *model.Answer, running bool) {
	reason := r.reason
	if reason == "" {
		reason = model.CodeDeadline
	}
	ended := outcome.Reason{
		ID:         r.requestID,
		Failure:    model.Failf(reason, "no upstream ran the request"),
		RetryAfter: max(r.retryAfter, leastRetryAfter),
	}
	if !r.ledger.Untouched() {
		if running {
			reason = model.CodeDeadline
		}
		ended.Failure = model.Failf(reason, "the request may have run, and its reply did not arrive")
	}
	coverage, snapshot := answer.Coverage, answer.Snapshot
	*answer = r.ledger.End(ended)
	answer.Coverage, answer.Snapshot = coverage, snapshot
}
