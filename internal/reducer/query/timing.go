package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// minRetryAfter is the shortest retry delay reported to a caller.
const minRetryAfter = 10 * time.Millisecond

// HandleTimer handles the retries, hedges, canaries, answer-by time and deadline of
// the request with the given number. A request has one pending timer; replaced
// timers are ignored when they fire.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	r, ok := s.requests[id]
	if !ok || r.wakeAt == 0 || ctx.Now.Before(r.wakeAt) {
		return
	}
	s.applyConfig(ctx)
	r.wakeAt = 0
	s.sendRetries(ctx, r)
	s.sendHedges(ctx, r)
	s.progress(ctx, r)
}

// scheduleTimer sets the timer for the earliest time at which the request has work to
// do, unless a timer is pending. Code that schedules earlier work, such as a hedge, a
// delayed retry or a withdrawal, clears wakeAt first.
func (s *State) scheduleTimer(ctx *step.Context, r *request) {
	if r.wakeAt != 0 {
		return
	}
	next := r.deadline
	if r.answerBy > 0 && ctx.Now.Before(r.answerBy) {
		next = min(next, r.answerBy)
	}
	if r.inCanaryPhase && r.nextCanaryAt > ctx.Now {
		next = min(next, r.nextCanaryAt)
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.hedgeAt > 0 {
			next = min(next, t.hedgeAt)
		}
		if t.retryAt > 0 {
			next = min(next, t.retryAt)
		}
	}
	r.wakeAt = next
	ctx.After(next.Sub(ctx.Now), timer.Query, r.number)
}

// sendHedges sends the hedges that are due.
func (s *State) sendHedges(ctx *step.Context, r *request) {
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.hedgeAt > 0 && !ctx.Now.Before(t.hedgeAt) {
			s.hedge(ctx, r, i)
		}
	}
}

// hedge sends a task to another upstream with a free slot if the service's hedge
// budget permits it. Without a free slot or a token it tries again after another
// hedge delay.
func (s *State) hedge(ctx *step.Context, r *request, index int) {
	t := &r.tasks[index]
	t.hedgeAt = 0
	if t.hedged || t.openAttempts != 1 || t.sentAttempts >= maxAttempts || r.crashes > 0 || r.suspect || r.inCanaryPhase {
		return
	}
	slow := s.recordSlow(ctx, r, index)
	criteria := replica.Criteria{AvoidDomain: slow, RequireFreeSlot: true, Tried: r.triedUpstreams(index)}
	chosen := s.choose(ctx, t.replicas, criteria)
	if chosen == nil {
		ctx.Count(metricHedgesDenied, "no_slot")
		t.hedgeAt = ctx.Now.Add(t.hedgeDelay)
		return
	}
	stats := r.serviceOf(t).stats
	if s.settings.FixedHedgeDelay == 0 && !stats.hedges.Take() {
		ctx.Count(metricHedgesDenied, "no_budget")
		t.hedgeAt = ctx.Now.Add(t.hedgeDelay)
		return
	}
	if !s.send(ctx, r, index, chosen, hedgeAttempt) {
		stats.hedges.Refund()
		return
	}
	t.hedged = true
	ctx.Count(metricHedges, "")
}

// recordSlow records the latency so far of a task's open attempt and returns the
// failure domain of its upstream, or "" if there is none.
func (s *State) recordSlow(ctx *step.Context, r *request, index int) model.FailureDomain {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.task == index && !a.settled {
			s.replicas.ObserveAtLeast(a.replica.ID, ctx.Now, ctx.Now.Sub(a.sentAt))
			return a.replica.Domain
		}
	}
	return ""
}
