package dispatch

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// accept sends a job, queues it, or refuses it.
func (s *State) accept(ctx *step.Context, l *lane, j *job) {
	j.lane = l
	refusal := s.refusalOf(ctx, l, j)
	if refusal == nil {
		refusal = s.makeRoom(ctx, l, j)
	}
	if refusal != nil {
		ctx.Count(metricRefused, string(refusal.Reason))
		l.fill(ctx, refusal)
		s.reply(ctx, j, *refusal)
		return
	}
	s.jobs[j.request.Attempt] = j
	l.push(j)
	s.pump(ctx, l)
}

// refusalOf returns why a new job cannot be taken on, whatever the queue holds,
// or nil.
func (s *State) refusalOf(ctx *step.Context, l *lane, j *job) *message.DispatchResult {
	if l.isDraining() || l.isUnreachable() {
		return refused(model.CodeUnavailable)
	}
	if j.deadline <= ctx.Now {
		return refused(model.CodeDeadline)
	}
	if j.request.Hedge && (l.freeSlots(ctx.Now) <= l.queue.Len() || l.idleConnection() == nil) {
		return refused(model.CodeOverloaded)
	}
	return nil
}

// makeRoom refuses queued jobs of lower priority until the new one fits, or
// returns why it does not. All sub-requests of one request have one priority, so
// that overloaded upstreams drop the same requests and serve the others whole.
// The idea of consistent priorities is that of DAGOR (Zhou et al., SoCC 2018).
func (s *State) makeRoom(ctx *step.Context, l *lane, j *job) *message.DispatchResult {
	for {
		refusal := s.overflow(ctx, l, j)
		if refusal == nil {
			return nil
		}
		lowest := l.queue.Lowest()
		if lowest == nil || lowest.Priority >= j.waiting.Priority || s.settings.NoEviction {
			return refusal
		}
		s.finish(ctx, lowest.Value, *refused(model.CodeOverloaded))
	}
}

// overflow returns why a new job does not fit into the queue, or nil.
func (s *State) overflow(ctx *step.Context, l *lane, j *job) *message.DispatchResult {
	switch {
	case l.freeSlots(ctx.Now) > l.queue.Len():
		return nil
	case l.queue.Len() >= l.policy.QueueLimit:
		return refused(model.CodeOverloaded)
	case s.settings.NoEarlyRefusal:
		return nil
	}
	service := l.service.least(ctx.Now)
	start := ctx.Now.Add(l.expectedWait(ctx.Now, l.queue.Ahead(j.waiting.Deadline)))
	last := ctx.Now.Add(l.expectedWait(ctx.Now, l.queue.Len()))
	switch {
	case start.Add(service) > j.deadline:
		return refused(model.CodeDeadline)
	case start > j.waiting.Expiry || last > max(l.latest, j.latestStart(service)):
		return refused(model.CodeOverloaded)
	}
	return nil
}

// push queues a job.
func (l *lane) push(j *job) {
	if l.queue.Len() == 0 {
		l.latest = 0
	}
	l.latest = max(l.latest, j.latestStart(0))
	l.queue.Push(&j.waiting)
}

// fill adds what a result tells of the lane.
func (l *lane) fill(ctx *step.Context, result *message.DispatchResult) {
	result.FreeSlots = l.freeSlots(ctx.Now)
	result.Queued = l.queue.Len()
	if result.Status == message.StatusRefused {
		result.RetryAfter = max(result.RetryAfter, int64(l.expectedWait(ctx.Now, l.queue.Len())))
	}
}

// finish ends a job with a result.
func (s *State) finish(ctx *step.Context, j *job, result message.DispatchResult) {
	l := j.lane
	l.queue.Remove(&j.waiting)
	l.removeInFlight(j)
	j.connection = nil
	delete(s.jobs, j.request.Attempt)
	if result.Status == message.StatusRefused {
		ctx.Count(metricRefused, string(result.Reason))
	}
	result.RanAlone = l.ranAlone(j)
	l.fill(ctx, &result)
	s.reply(ctx, j, result)
}

// ranAlone reports whether nothing else can have run on the upstream beside a
// sent job: no other job of this node, and no other node dispatches for it.
func (l *lane) ranAlone(j *job) bool {
	return j.alone && l.owner && l.part.isSole()
}

// pump uses the idle connections: for cancellations and status reads first, then
// for queued jobs while there are free slots.
func (s *State) pump(ctx *step.Context, l *lane) {
	s.sendControl(ctx, l)
	// A job whose wait ends now may still be sent now.
	s.dropExpired(ctx, l, ctx.Now-1)
	for l.canSendNext(ctx.Now) {
		j := l.queue.First().Value
		// A job that nothing else waits behind costs nobody a slot, and its service
		// time is the only way to learn that the upstream has become faster.
		if l.queue.Len() > 1 && s.latestStart(ctx, l, j) <= ctx.Now {
			s.finish(ctx, j, *refused(model.CodeDeadline))
			continue
		}
		l.queue.Remove(&j.waiting)
		s.send(ctx, l, l.idleConnection(), j)
	}
	s.dropExpired(ctx, l, ctx.Now)
	s.dropLate(ctx, l)
	s.setQueueTimer(ctx, l)
}

// canSendNext reports whether the first queued job may be sent now. A job that
// asks for isolation waits until nothing else is in flight, and holds back those
// behind it.
func (l *lane) canSendNext(now model.Instant) bool {
	first := l.queue.First()
	if first == nil || l.freeSlots(now) == 0 || l.idleConnection() == nil {
		return false
	}
	return !first.Value.request.Isolate || len(l.inFlight) == 0
}

// send writes a job on an idle connection.
func (s *State) send(ctx *step.Context, l *lane, c *connection, j *job) {
	c.take(ctx, working)
	c.job = j
	j.connection = c
	j.sent = ctx.Now
	j.alone = len(l.inFlight) == 0 && !l.limit.IsHeld(ctx.Now)
	for _, other := range l.inFlight {
		other.alone = false
	}
	l.inFlight = append(l.inFlight, j)
	if !j.request.Repeatable {
		s.sentOnce.add(j.request.Attempt)
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

// cancel takes a job back from the queue, or asks the upstream to stop it.
func (s *State) cancel(ctx *step.Context, j *job) {
	if j.isQueued() {
		s.finish(ctx, j, message.DispatchResult{Status: message.StatusCancelled, Reason: model.CodeCancelled})
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	j.lane.cancels = append(j.lane.cancels, j)
	s.pump(ctx, j.lane)
}

// dropExpired refuses the queued jobs whose wait ends at the given time or before.
func (s *State) dropExpired(ctx *step.Context, l *lane, end model.Instant) {
	for {
		first := l.queue.FirstExpiry()
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

// dropLate refuses the queued jobs that cannot be answered in time any more.
func (s *State) dropLate(ctx *step.Context, l *lane) {
	for {
		first := l.queue.First()
		if first == nil || s.latestStart(ctx, l, first.Value) > ctx.Now {
			return
		}
		s.finish(ctx, first.Value, *refused(model.CodeDeadline))
	}
}

// latestStart returns the time after which the deadline cannot be met.
func (s *State) latestStart(ctx *step.Context, l *lane, j *job) model.Instant {
	if s.settings.NoEarlyRefusal {
		return j.deadline
	}
	return j.deadline.Add(-l.service.least(ctx.Now))
}
