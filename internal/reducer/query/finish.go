package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// progress takes the next steps of a request after an event. It answers a request
// that is complete or out of time, and otherwise sets its timer.
func (s *State) progress(ctx *step.Context, r *request) {
	if r.closed {
		return
	}
	if r.suspect && r.tasks[r.canary].state != taskRunning {
		s.handleCanaryEnd(ctx, r)
	}
	if r.inCanaryPhase {
		s.advanceCanaryPhase(ctx, r)
	}
	if r.versionGone && !r.withdrawn {
		s.restart(ctx, r)
	}
	if r.unsettled > 0 && !r.withdrawn && r.coverageUnreachable() {
		s.withdraw(ctx, r)
	}
	if r.unsettled == 0 || !ctx.Now.Before(r.deadline) || r.canAnswerEarly(ctx.Now) {
		s.finish(ctx, r)
		return
	}
	s.scheduleTimer(ctx, r)
}

// withdrawTimeout is how long a withdrawn search waits for the results of its
// cancelled attempts.
const withdrawTimeout = 20 * time.Millisecond

// withdraw cancels the open attempts of a search that can no longer reach its
// minimum coverage. The attempts stay open until their results arrive or
// withdrawTimeout passes, because the results show whether anything ran.
func (s *State) withdraw(ctx *step.Context, r *request) {
	r.withdrawn = true
	r.deadline = min(r.deadline, ctx.Now.Add(withdrawTimeout))
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

// handleCanaryEnd scatters the rest of a suspect request after its canary ended, or
// fails the request if the canary crashed an upstream.
func (s *State) handleCanaryEnd(ctx *step.Context, r *request) {
	if r.crashes == 0 {
		s.scatter(ctx, r)
		return
	}
	for i := range r.tasks {
		r.settle(&r.tasks[i], taskFailed)
	}
	r.failureCode = model.CodeQuarantined
}

// canAnswerEarly reports whether the answer-by time has passed and the minimum
// coverage is reached.
func (r *request) canAnswerEarly(now model.Instant) bool {
	if r.isOrder() || r.answerBy == 0 || now.Before(r.answerBy) {
		return false
	}
	return r.hasMinCoverage()
}

// coverageUnreachable reports whether so many shards have failed that the minimum
// coverage cannot be reached. Searching the rest would only load the upstreams.
func (r *request) coverageUnreachable() bool {
	if r.isOrder() {
		return false
	}
	possible := model.Coverage{Searched: r.merge.Searched() + r.unsettled, Total: len(r.tasks)}
	return possible.Percent() < r.minCoverage
}

// hasMinCoverage reports whether at least one shard was searched and the minimum
// coverage is reached.
func (r *request) hasMinCoverage() bool {
	return r.merge.Searched() > 0 && r.merge.Percent() >= r.minCoverage
}

// finish answers a request and closes it.
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
		Elapsed: ctx.Now.Sub(r.startedAt),
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

// searchAnswer returns the merged rows, or a failure when the minimum coverage is
// not reached.
func (s *State) searchAnswer(ctx *step.Context, r *request, running bool) model.Answer {
	coverage := r.merge.Coverage()
	answer := model.Answer{RequestID: r.requestID, Snapshot: r.pin.Version(), Coverage: &coverage}
	if r.hasMinCoverage() {
		answer.Outcome = model.Answered
		answer.Results = r.merge.Rows()
		if !coverage.Complete() {
			ctx.Count(metricPartialAnswers, "")
		}
		return answer
	}
	ctx.Count(metricLowCoverage, "")
	r.failAnswer(&answer, running)
	if answer.Outcome == model.Unknown && r.failureCode != model.CodeQuarantined {
		answer.Failure = model.Failf(model.CodeLowCoverage, "%d of %d shards were searched in time, and at least %g%% are required",
			coverage.Searched, coverage.Total, float64(r.minCoverage))
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

// failAnswer turns an answer into a failure. Its outcome is "not run" only if every
// attempt was settled as not run.
func (r *request) failAnswer(answer *model.Answer, running bool) {
	code := r.failureCode
	if code == "" {
		code = model.CodeDeadline
	}
	reason := outcome.Reason{
		ID:         r.requestID,
		Failure:    model.Failf(code, "no upstream ran the request"),
		RetryAfter: max(r.retryAfter, minRetryAfter),
	}
	if !r.ledger.IsCertainlyNotRun() {
		if running {
			code = model.CodeDeadline
		}
		reason.Failure = model.Failf(code, "the request may have run, and its reply did not arrive")
	}
	coverage, snapshot := answer.Coverage, answer.Snapshot
	*answer = r.ledger.End(reason)
	answer.Coverage, answer.Snapshot = coverage, snapshot
}
