package dispatch

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// accept sends, queues or refuses a new job.
func (s *State) accept(ctx *step.Context, pool *upstreamPool, j *job) {
	j.pool = pool
	refusal := s.checkAdmission(ctx, pool, j)
	if refusal == nil {
		refusal = s.evictLowerPriority(ctx, pool, j)
	}
	if refusal != nil {
		ctx.Count(metricRefused, string(refusal.Reason))
		pool.fillLoad(ctx, refusal)
		s.reply(ctx, j, *refusal)
		return
	}
	s.jobs[j.request.Attempt] = j
	pool.push(j)
	s.dispatchQueued(ctx, pool)
}

// checkAdmission returns a refusal if a new job cannot be accepted regardless of
// the queued jobs, or nil.
func (s *State) checkAdmission(ctx *step.Context, pool *upstreamPool, j *job) *message.DispatchResult {
	if pool.isDraining() || pool.isUnreachable() {
		return refused(model.CodeUnavailable)
	}
	if j.deadline <= ctx.Now {
		return refused(model.CodeDeadline)
	}
	if j.request.Hedge && (pool.freeSlots(ctx.Now) <= pool.queue.Len() || pool.idleConnection() == nil) {
		return refused(model.CodeOverloaded)
	}
	return nil
}

// evictLowerPriority refuses queued jobs of lower priority until the new one fits.
// It returns a refusal of the new job if it still does not fit. All sub-requests of
// one request have the same priority, so that overloaded upstreams drop the same
// requests and serve the others completely. Consistent priorities follow DAGOR
// (Zhou et al., SoCC 2018).
func (s *State) evictLowerPriority(ctx *step.Context, pool *upstreamPool, j *job) *message.DispatchResult {
	for {
		refusal := s.checkQueue(ctx, pool, j)
		if refusal == nil {
			return nil
		}
		lowest := pool.queue.Lowest()
		if lowest == nil || lowest.Priority >= j.queueEntry.Priority || s.settings.NoEviction {
			return refusal
		}
		s.finish(ctx, lowest.Value, *refused(model.CodeOverloaded))
	}
}

// checkQueue returns a refusal if a new job does not fit into the queue, or nil. A
// job fits if a slot is free for it, or if the queue is not full and neither the job
// nor the last queued one is expected to start too late.
func (s *State) checkQueue(ctx *step.Context, pool *upstreamPool, j *job) *message.DispatchResult {
	switch {
	case pool.freeSlots(ctx.Now) > pool.queue.Len():
		return nil
	case pool.queue.Len() >= pool.policy.QueueLimit:
		return refused(model.CodeOverloaded)
	case s.settings.NoEarlyRefusal:
		return nil
	}
	service := pool.serviceTime.minimum(ctx.Now)
	start := ctx.Now.Add(pool.expectedWait(ctx.Now, pool.queue.Ahead(j.queueEntry.Deadline)))
	last := ctx.Now.Add(pool.expectedWait(ctx.Now, pool.queue.Len()))
	switch {
	case start.Add(service) > j.deadline:
		return refused(model.CodeDeadline)
	case start > j.queueEntry.Expiry || last > max(pool.queueLatestStart, j.latestStart(service)):
		return refused(model.CodeOverloaded)
	}
	return nil
}

// push adds a job to the queue.
func (p *upstreamPool) push(j *job) {
	if p.queue.Len() == 0 {
		p.queueLatestStart = 0
	}
	p.queueLatestStart = max(p.queueLatestStart, j.latestStart(0))
	p.queue.Push(&j.queueEntry)
}

// fillLoad sets the fields of a result that describe the load of the pool.
func (p *upstreamPool) fillLoad(ctx *step.Context, result *message.DispatchResult) {
	result.FreeSlots = p.freeSlots(ctx.Now)
	result.Queued = p.queue.Len()
	if result.Status == message.StatusRefused {
		result.RetryAfter = max(result.RetryAfter, int64(p.expectedWait(ctx.Now, p.queue.Len())))
	}
}

// finish ends a job with a result.
func (s *State) finish(ctx *step.Context, j *job, result message.DispatchResult) {
	pool := j.pool
	pool.queue.Remove(&j.queueEntry)
	pool.removeInFlight(j)
	j.connection = nil
	delete(s.jobs, j.request.Attempt)
	if result.Status == message.StatusRefused {
		ctx.Count(metricRefused, string(result.Reason))
	}
	result.RanAlone = pool.ranAlone(j)
	pool.fillLoad(ctx, &result)
	s.reply(ctx, j, result)
}

// ranAlone reports whether nothing else can have run on the upstream at the same
// time as a sent job: no other job of this node, and no job of another dispatcher.
func (p *upstreamPool) ranAlone(j *job) bool {
	return j.alone && p.owned && p.share.isSole()
}

// dispatchQueued assigns idle connections to cancellations and status reads first,
// then to queued jobs while there are free slots. It refuses queued jobs that have
// expired or can no longer meet their deadline.
func (s *State) dispatchQueued(ctx *step.Context, pool *upstreamPool) {
	s.sendControl(ctx, pool)
	// A job whose wait ends at this instant may still be sent.
	s.dropExpired(ctx, pool, ctx.Now-1)
	for pool.canSendNext(ctx.Now) {
		j := pool.queue.First().Value
		// The last queued job is sent even if it is late: no other job waits for its
		// slot, and only a new service time can show that the upstream has become
		// faster.
		if pool.queue.Len() > 1 && s.latestTimelyStart(ctx, pool, j) <= ctx.Now {
			s.finish(ctx, j, *refused(model.CodeDeadline))
			continue
		}
		pool.queue.Remove(&j.queueEntry)
		s.send(ctx, pool, pool.idleConnection(), j)
	}
	s.dropExpired(ctx, pool, ctx.Now)
	s.dropLate(ctx, pool)
	s.setQueueTimer(ctx, pool)
}

// canSendNext reports whether the first queued job may be sent now. A job that
// requires isolation waits until nothing else is in flight, and blocks the jobs
// behind it.
func (p *upstreamPool) canSendNext(now model.Instant) bool {
	first := p.queue.First()
	if first == nil || p.freeSlots(now) == 0 || p.idleConnection() == nil {
		return false
	}
	return !first.Value.request.Isolate || len(p.inFlight) == 0
}

// send sends a job on an idle connection.
func (s *State) send(ctx *step.Context, pool *upstreamPool, c *connection, j *job) {
	c.setState(ctx, working)
	c.job = j
	j.connection = c
	j.sentAt = ctx.Now
	j.alone = len(pool.inFlight) == 0 && !pool.limit.IsHeld(ctx.Now)
	for _, other := range pool.inFlight {
		other.alone = false
	}
	pool.inFlight = append(pool.inFlight, j)
	if !j.request.Repeatable {
		s.sentAtMostOnce.add(j.request.Attempt)
	}
	ctx.Emit(effect.SendUpstream{
		Connection: c.id,
		Attempt:    j.request.Attempt,
		Upstream:   j.request.Upstream,
		Kind:       j.request.Kind,
		RequestID:  j.request.RequestID,
		Version:    j.request.Version,
		Shards:     j.request.Shards,
		Body:       j.request.Body,
		TimeLeft:   j.deadline.Sub(ctx.Now),
		Hedge:      j.request.Hedge,
	})
}

// cancel removes a job from the queue, or asks the upstream to stop it.
func (s *State) cancel(ctx *step.Context, j *job) {
	if j.isQueued() {
		s.finish(ctx, j, message.DispatchResult{Status: message.StatusCancelled, Reason: model.CodeCancelled})
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	j.pool.cancels = append(j.pool.cancels, j)
	s.dispatchQueued(ctx, j.pool)
}

// dropExpired refuses the queued jobs whose wait ends at the given time or before.
func (s *State) dropExpired(ctx *step.Context, pool *upstreamPool, end model.Instant) {
	for {
		first := pool.queue.FirstExpiry()
		if first == nil || first.Expiry > end {
			return
		}
		reason := model.CodeOverloaded
		if first.Expiry == first.Value.deadline {
			reason = model.CodeDeadline
		}
		s.finish(ctx, first.Value, *refused(reason))
	}
}

// dropLate refuses the queued jobs that can no longer meet their deadline.
func (s *State) dropLate(ctx *step.Context, pool *upstreamPool) {
	for {
		first := pool.queue.First()
		if first == nil || s.latestTimelyStart(ctx, pool, first.Value) > ctx.Now {
			return
		}
		s.finish(ctx, first.Value, *refused(model.CodeDeadline))
	}
}

// latestTimelyStart returns the latest time at which a job can start and still meet
// its deadline. Unlike job.latestStart, it ignores the job's maximum wait.
func (s *State) latestTimelyStart(ctx *step.Context, pool *upstreamPool, j *job) model.Instant {
	if s.settings.NoEarlyRefusal {
		return j.deadline
	}
	return j.deadline.Add(-pool.serviceTime.minimum(ctx.Now))
}
