package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// leastRetryAfter is the shortest pause that a caller is asked for.
const leastRetryAfter = 10 * time.Millisecond

// HandleTimer handles retry and hedge times, answer-by times and deadlines. A request has
// one pending timer; earlier ones that were replaced are ignored.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	r, ok := s.requests[id]
	if !ok || r.wakeAt == 0 || ctx.Now.Before(r.wakeAt) {
		return
	}
	s.sync(ctx)
	r.wakeAt = 0
	s.sendRetries(ctx, r)
	s.sendHedges(ctx, r)
	s.progress(ctx, r)
}

// arm sets the timer for the next moment at which the request needs attention,
// unless one is pending. Whatever brings a moment forward clears wakeAt: a started
// task, one that is put off, a withdrawal.
func (s *State) arm(ctx *step.Context, r *request) {
	if r.wakeAt != 0 {
		return
	}
	next := r.deadline
	if r.answerBy > 0 && ctx.Now.Before(r.answerBy) {
		next = min(next, r.answerBy)
	}
	if r.probing && r.probeAt > ctx.Now {
		next = min(next, r.probeAt)
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

// hedge sends a task to another upstream with a free slot, on the service's
// budget. When that is not possible now it is tried again later.
func (s *State) hedge(ctx *step.Context, r *request, index int) {
	t := &r.tasks[index]
	t.hedgeAt = 0
	if t.hedged || t.running != 1 || t.sent >= maxAttempts || r.crashes > 0 || r.suspect || r.probing {
		return
	}
	slow := s.noteSlow(ctx, r, index)
	wish := replica.Criteria{Avoid: slow, RequireFreeSlot: true, Tried: r.tried(index)}
	chosen := s.choose(ctx, t.replicas, wish)
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

// noteSlow records that the open attempt of a task is slow and returns the
// failure domain of its upstream.
func (s *State) noteSlow(ctx *step.Context, r *request, index int) model.FailureDomain {
	for i := range r.attempts {
		a := &r.attempts[i]
		if a.task == index && !a.settled {
			s.replicas.ObserveAtLeast(a.replica.ID, ctx.Now, ctx.Now.Sub(a.sent))
			return a.replica.Domain
		}
	}
	return ""
}
