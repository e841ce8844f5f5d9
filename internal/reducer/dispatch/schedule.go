package dispatch

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// accept sends a job, queues it, or refuses it.
func (s *State) accept(ctx *step.Context, l *lane, j *job) {
	j.lane = l
	if refusal := l.refusalOf(ctx, j); refusal != nil {
		l.fill(refusal)
		j.reply(ctx, *refusal)
		return
	}
	s.jobs[j.request.Attempt] = j
	l.queue.Push(&j.waiting)
	s.pump(ctx, l)
}

// refusalOf returns why a new job cannot be taken on, or nil.
func (l *lane) refusalOf(ctx *step.Context, j *job) *message.DispatchResult {
	switch {
	case l.isDraining() || l.isUnreachable():
		return refused(model.CodeUnavailable)
	case j.request.Hedge && (l.freeSlots() == 0 || l.queue.Len() > 0 || l.idleConnection() == nil):
		return refused(model.CodeOverloaded)
	case l.freeSlots() > l.queue.Len():
		return nil
	case l.policy.QueueLimit > 0 && l.queue.Len() >= l.policy.QueueLimit:
		return refused(model.CodeOverloaded)
	}
	wait := l.expectedWait(l.queue.Ahead(j.deadline, l.queue.Len()))
	start := ctx.Now.Add(wait)
	if start.Add(l.service.mean) > j.deadline {
		return refused(model.CodeDeadline)
	}
	if start > j.startBy {
		return refused(model.CodeOverloaded)
	}
	return nil
}

// refused returns the result of a job that was never written.
func refused(reason model.Code) *message.DispatchResult {
	return &message.DispatchResult{Status: message.StatusRefused, Reason: reason}
}

// fill adds what a result tells of the lane.
func (l *lane) fill(result *message.DispatchResult) {
	result.FreeSlots = l.freeSlots()
	result.Queued = l.queue.Len()
	if result.Status == message.StatusRefused && result.RetryAfter == 0 {
		result.RetryAfter = int64(l.retryAfter())
	}
}

// finish ends a job with a result.
func (s *State) finish(ctx *step.Context, j *job, result message.DispatchResult) {
	l := j.lane
	l.queue.Remove(&j.waiting)
	l.removeInFlight(j)
	delete(s.jobs, j.request.Attempt)
	result.Alone = j.alone
	l.fill(&result)
	j.reply(ctx, result)
}

// pump uses the idle connections: for cancellations and status reads first, then
// for queued jobs while there are free slots.
func (s *State) pump(ctx *step.Context, l *lane) {
	s.sendControl(ctx, l)
	s.dropLate(ctx, l)
	for l.freeSlots() > 0 && l.queue.Len() > 0 {
		c := l.idleConnection()
		if c == nil {
			break
		}
		s.send(ctx, l, c, l.queue.Pop().Value)
	}
	s.setQueueTimer(ctx, l)
}

// send writes a job on an idle connection.
func (s *State) send(ctx *step.Context, l *lane, c *connection, j *job) {
	c.state = working
	c.job = j
	j.connection = c
	j.sent = ctx.Now
	j.alone = len(l.inFlight) == 0
	for _, other := range l.inFlight {
		other.alone = false
	}
	l.inFlight = append(l.inFlight, j)
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
		s.finish(ctx, j, message.DispatchResult{Status: message.StatusTakenBack, Reason: model.CodeCancelled})
		return
	}
	if j.cancelled {
		return
	}
	j.cancelled = true
	j.lane.cancels = append(j.lane.cancels, j)
	s.pump(ctx, j.lane)
}

// dropLate refuses the queued jobs whose time to start has passed.
func (s *State) dropLate(ctx *step.Context, l *lane) {
	var late []*job
	l.queue.Each(func(e *queue.Entry[*job]) {
		if e.Value.latestStart(l) <= ctx.Now {
			late = append(late, e.Value)
		}
	})
	for _, j := range late {
		reason := model.CodeOverloaded
		if j.startBy == j.deadline {
			reason = model.CodeDeadline
		}
		s.finish(ctx, j, *refused(reason))
	}
}
