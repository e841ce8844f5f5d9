package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// A part that an upstream refused or lost is tried elsewhere at once, within the budget of
// extra attempts. A part that the answer can lack fails if that is not possible, and is taken
// up again once the answer needs it.

// maxOffers bounds the upstreams that one part is offered to, including those that
// refused it.
const maxOffers = 4

// minRetryTime is the remaining time below which a retry is not worth its load.
const minRetryTime = 5 * time.Millisecond

// retryDenial is the reason why a part was not retried, for the log line of its request.
type retryDenial string

const (
	deniedNotRepeatable retryDenial = "not repeatable"
	deniedAttempts      retryDenial = "attempt limit"
	deniedTime          retryDenial = "no time left"
	deniedUpstreams     retryDenial = "no other upstream"
	deniedBudget        retryDenial = "budget"
	deniedSuspect       retryDenial = "suspected of crashes"
)

// retry offers a part to another upstream after a failure, within the service's budget.
// It reports whether it did so.
func (s *State) retry(ctx *step.Context, r *request, index int, status message.DispatchStatus) bool {
	p := &r.parts[index]
	required := r.origin == nil && !r.isSufficient(r.answered+r.unsettled-1)
	pool, denial := s.selectRetryPool(ctx, r, p, status, required)
	p.reopenable = !required && (denial == deniedBudget || denial == deniedUpstreams)
	if denial != "" {
		r.retryDenial = denial
		return false
	}
	ctx.Count(metricRetries, "")
	p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r))
	s.offer(ctx, r, index, pool, false)
	return true
}

// reopenPart retries a failed part after another one has failed without which the request
// cannot be answered. When the first one failed, the answer could lack it, and its retry was
// left to the requests that need one. The parts of a subquery are retried by the node that sent
// it, which knows what its answer can lack and counts the runs of each part.
func (s *State) reopenPart(ctx *step.Context, r *request) {
	if r.closed || r.origin != nil || !r.isGathered() || r.isSufficient(r.answered+r.unsettled) {
		return
	}
	for i := range r.parts {
		p := &r.parts[i]
		if p.state != partFailed || !p.reopenable {
			continue
		}
		p.state = partOpen
		r.unsettled++
		if s.retry(ctx, r, i, message.StatusFailed) {
			return
		}
		r.settle(p, partFailed)
	}
}

// selectRetryPool returns the pool for a retry and takes the retry from the budget, or
// returns the reason against it.
func (s *State) selectRetryPool(ctx *step.Context, r *request, p *part, status message.DispatchStatus, required bool) (*upstreamPool, retryDenial) {
	switch {
	case !status.NotRun() && !r.config.Repeatable:
		return nil, deniedNotRepeatable
	case !status.NotRun() && s.blame.IsHeld(ctx.Now, r.content()):
		return nil, deniedSuspect
	case p.possibleRuns >= r.config.MaxAttempts || len(p.attempts) >= maxOffers:
		return nil, deniedAttempts
	case r.deadline.Sub(ctx.Now) < minRetryTime:
		return nil, deniedTime
	}
	pool := s.selectPool(ctx, r, p, replica.Criteria{})
	if pool == nil && required {
		pool = s.poolAfterRefusal(ctx, r, p)
	}
	if pool == nil {
		return nil, deniedUpstreams
	}
	if !s.takeExtra(ctx, p.service, required) {
		ctx.Count(metricExtraDenied, "retry")
		return nil, deniedBudget
	}
	return pool, ""
}

// poolAfterRefusal returns the pool of an upstream that refused the part although it had free
// slots, or nil. Such an upstream refuses requests at random, and may accept the part now: it
// can be the only one left of its shard. The attempt needs another connection (see resend.go).
func (s *State) poolAfterRefusal(ctx *step.Context, r *request, p *part) *upstreamPool {
	for _, a := range p.attempts {
		if a.refusedIdle && a.pool.usable() && a.pool.connectBackoff.Failures == 0 && s.canReplyInTime(ctx, r, a.pool) {
			return a.pool
		}
	}
	return nil
}
