package relay

import (
	"strconv"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// handleRequestTimer handles hedges, the end of the time to offer the request, the time
// to answer, and the deadline. A request has one valid timer; earlier timers that it has
// replaced are ignored.
func (s *State) handleRequestTimer(ctx *step.Context, number uint64) {
	r := s.requests[number]
	if r == nil || r.wakeAt == 0 || ctx.Now < r.wakeAt {
		return
	}
	s.timerLag.Observe(ctx.Now.Sub(r.wakeAt))
	r.wakeAt = 0
	for i := range r.parts {
		if at := r.parts[i].hedgeAt; at != 0 && ctx.Now >= at {
			s.hedge(ctx, r, i)
		}
	}
	if ctx.Now >= r.offerBy && !r.anySent {
		s.failUnsent(r)
	}
	s.progress(ctx, r)
}

// failUnsent fails a request of which no attempt could be sent in time, because there is
// more work than slots. A caller that is refused early can retry while the answer is
// still useful. A request of which some parts were sent waits for the others instead.
func (s *State) failUnsent(r *request) {
	for i := range r.parts {
		p := &r.parts[i]
		if a := p.unsentAttempt(); a != nil {
			s.cancelOffer(a)
		}
		r.settle(p, partFailed)
	}
	r.failureCode = model.CodeOverloaded
}

// progress answers a request that is done, and otherwise sets its timer.
func (s *State) progress(ctx *step.Context, r *request) {
	if r.closed {
		return
	}
	if r.origin != nil {
		s.progressSubquery(ctx, r)
		return
	}
	if r.isDone(ctx.Now) {
		s.finish(ctx, r)
		return
	}
	s.scheduleWakeup(ctx, r)
}

// isDone reports whether a request is to be answered now: it is complete, can no longer
// be answered, or further waiting would cost its caller more than the missing parts.
func (r *request) isDone(now model.Instant) bool {
	switch {
	case r.unsettled == 0, now >= r.deadline:
		return true
	case !r.isSufficient(r.answered + r.unsettled):
		return true
	default:
		return now >= r.answerBy && r.isGathered() && r.isSufficient(r.answered)
	}
}

// scheduleWakeup sets the timer for the next time at which the request needs attention.
func (s *State) scheduleWakeup(ctx *step.Context, r *request) {
	next := r.deadline
	if r.isGathered() && r.answerBy > ctx.Now {
		next = min(next, r.answerBy)
	}
	if r.offerBy > ctx.Now {
		next = min(next, r.offerBy)
	}
	if r.reportAt != 0 {
		next = min(next, max(r.reportAt, ctx.Now))
	}
	for i := range r.parts {
		if at := r.parts[i].hedgeAt; at != 0 {
			next = min(next, max(at, ctx.Now))
		}
	}
	if r.wakeAt != 0 && r.wakeAt <= next && r.wakeAt > ctx.Now {
		return
	}
	r.wakeAt = max(next, ctx.Now)
	setTimer(ctx, r.wakeAt.Sub(ctx.Now), r.number, requestTimer)
}

// finish answers a request and deletes it.
func (s *State) finish(ctx *step.Context, r *request) {
	late := ctx.Now >= r.deadline
	s.close(ctx, r)
	answer := s.buildAnswer(ctx, r, late)
	s.logRequest(ctx, r, "answered", &answer)
	ctx.Emit(effect.ReplyForward{Call: r.call, Answer: answer, Route: r.config.Name, Elapsed: ctx.Now.Sub(r.arrivedAt)})
}

// buildAnswer returns the answer for the caller. late is true if the deadline has passed.
func (s *State) buildAnswer(ctx *step.Context, r *request, late bool) model.ForwardAnswer {
	if r.isSufficient(r.answered) {
		if !r.isGathered() {
			return model.ForwardAnswer{Outcome: model.Answered, Reply: r.parts[0].reply}
		}
		return model.ForwardAnswer{Outcome: model.Answered, Gathered: s.mergeParts(ctx, r)}
	}
	if !r.isGathered() && r.parts[0].reply != nil {
		ctx.Count(metricFailed, string(model.CodeUnavailable))
		return model.ForwardAnswer{Outcome: model.Unknown, Reply: r.parts[0].reply}
	}
	code := r.failureCode
	if late || code == "" {
		code = model.CodeDeadline
	}
	ended := r.ledger.End(outcome.Reason{
		Failure:    model.Failf(code, "%d of %d parts were answered", r.answered, len(r.parts)),
		RetryAfter: s.retryAfter(ctx, r),
	})
	if ended.Outcome == model.NotRun {
		ctx.Count(metricRefused, string(code))
	} else {
		ctx.Count(metricFailed, string(code))
	}
	return model.ForwardAnswer{Outcome: ended.Outcome, Failure: ended.Failure, RetryAfter: ended.RetryAfter}
}

// mergeParts merges the answered parts.
func (s *State) mergeParts(ctx *step.Context, r *request) *model.GatheredAnswer {
	gathered := &model.GatheredAnswer{Missing: len(r.parts) - r.answered}
	if gathered.Missing > 0 {
		ctx.Count(metricPartial, "")
	}
	bodies := append(make([][]byte, 0, r.answered+len(r.mergedRecords)), r.mergedRecords...)
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partAnswered {
			gathered.Signatures = append(gathered.Signatures, p.reply.Signature)
			bodies = append(bodies, p.reply.Body)
		}
	}
	gathered.Records = largestRecords(bodies, r.config.TopRecords)
	return gathered
}

// Limits of the time after which a refused caller should retry.
const (
	minRetryAfter = 20 * time.Millisecond
	// retryAfterShare is the range of the random delay as a share of the target latency.
	// It makes callers that are refused together return one after the other, even if
	// nothing is known about the wait.
	retryAfterShare = 1.0
)

// retryAfter returns how long a caller should wait until an upstream is likely to accept
// its request, with a random delay so that callers do not return together.
func (s *State) retryAfter(ctx *step.Context, r *request) time.Duration {
	wait := time.Duration(0)
	for i := range r.parts {
		if p := &r.parts[i]; p.state != partAnswered {
			wait = max(wait, s.minExpectedWait(ctx, r, p.service))
		}
	}
	spread := time.Duration(retryAfterShare * float64(r.config.TargetLatency))
	return max(minRetryAfter, wait) + time.Duration(ctx.Random.Int64N(max(1, int64(spread))))
}

// minExpectedWait returns the shortest expected wait at any upstream of a service.
func (s *State) minExpectedWait(ctx *step.Context, r *request, svc *service) time.Duration {
	shortest := time.Duration(-1)
	for _, pool := range svc.pools {
		wait := s.expectedWait(ctx, r, pool)
		if pool.hasNoPart() {
			// The caller need not wait to use another node.
			wait = 0
		}
		if !pool.usable() {
			wait = max(wait, pool.connectBackoff.Until.Sub(ctx.Now))
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	return max(0, shortest)
}

// logRequest logs a request with its route, the route table version, its attempts and the
// outcome.
func (s *State) logRequest(ctx *step.Context, r *request, text string, answer *model.ForwardAnswer) {
	severity := effect.Info
	fields := []effect.Field{
		{Name: "request", Value: r.incoming.ID},
		{Name: "route", Value: r.config.Name},
		countField("version", int(r.version)),
		countField("parts", len(r.parts)),
		countField("answered", r.answered),
		{Name: "elapsed", Value: ctx.Now.Sub(r.arrivedAt).String()},
		{Name: "timeout", Value: r.deadline.Sub(r.arrivedAt).String()},
	}
	if answer != nil {
		fields = append(fields, effect.Field{Name: "outcome", Value: string(answer.Outcome)})
		if answer.Outcome != model.Answered {
			severity = effect.Warning
		}
		if answer.Outcome != model.Answered && answer.Reply != nil {
			fields = append(fields, countField("status", answer.Reply.Status))
		}
		if answer.Failure != nil {
			fields = append(fields,
				effect.Field{Name: "code", Value: string(answer.Failure.Code)},
				effect.Field{Name: "retry_after", Value: answer.RetryAfter.String()})
		}
	}
	if r.retryDenial != "" {
		fields = append(fields, effect.Field{Name: "not_retried", Value: string(r.retryDenial)})
	}
	if severity != effect.Info || r.answered < len(r.parts) {
		fields = append(fields, effect.Field{Name: "attempts", Value: r.describeAttempts(ctx.Now)})
	}
	ctx.Log(severity, component, text, fields...)
}

// maxTracedAttempts bounds the attempts in a log line.
const maxTracedAttempts = 24

// describeAttempts lists the attempts of the parts that were not answered by a first
// attempt, as "upstream:created/state". created is the time since the request's arrival.
func (r *request) describeAttempts(now model.Instant) string {
	var b strings.Builder
	count := 0
	for i := range r.parts {
		p := &r.parts[i]
		if p.state == partAnswered && len(p.attempts) < 2 {
			continue
		}
		switch {
		case p.delegation != nil:
			b.WriteString(string(p.service.name) + ":at " + string(p.delegation.helper) + " ")
		case len(p.attempts) == 0:
			b.WriteString(string(p.service.name) + ":none ")
		}
		for _, a := range p.attempts {
			if count++; count > maxTracedAttempts {
				return b.String() + "..."
			}
			b.WriteString(a.describe(r.arrivedAt, now))
		}
	}
	return strings.TrimSpace(b.String())
}

// describe returns the upstream, the creation time since the request's arrival, and the
// state of an attempt.
func (a *attempt) describe(arrived, now model.Instant) string {
	text := string(a.pool.registration.Upstream.ID) + ":" + a.createdAt.Sub(arrived).Round(time.Millisecond).String()
	switch {
	case a.sentAt == 0:
		text += "/unsent"
	case a.abandoned:
		text += "/open " + now.Sub(a.sentAt).Round(time.Millisecond).String()
	case !a.settled:
		text += "/sent"
	case a.result != 0:
		text += "/" + a.result.String() + ":" + strconv.Itoa(a.resultCode)
	default:
		text += "/ended"
	}
	return text + " "
}
