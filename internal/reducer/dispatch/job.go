package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// job is one sub-request that is queued or sent.
type job struct {
	request message.Dispatch
	// from is the coordinator.
	from    model.HostID
	lane    *lane
	arrived model.Instant
	// deadline is when the answer is due, on this node's clock.
	deadline model.Instant
	// startBy is when the wait for a slot ends.
	startBy model.Instant
	// waiting is the job's place in the lane's queue.
	waiting queue.Entry[*job]
	// connection carries the job once it is sent; nil before.
	connection *connection
	sent       model.Instant
	// alone holds while nothing else ran on the upstream beside this job.
	alone bool
	// cancelled means that the coordinator has no more use for the reply.
	cancelled bool
}

// newJob returns a job that is neither queued nor sent.
func newJob(ctx *step.Context, from model.HostID, m message.Dispatch) *job {
	j := &job{
		request:  m,
		from:     from,
		arrived:  ctx.Now,
		deadline: ctx.Now.Add(time.Duration(m.TimeLeft)),
	}
	j.startBy = j.deadline
	if m.MaxQueueWait > 0 {
		j.startBy = min(j.deadline, ctx.Now.Add(time.Duration(m.MaxQueueWait)))
	}
	j.waiting = queue.Entry[*job]{Deadline: j.deadline, Value: j}
	return j
}

// isQueued reports whether the job waits for a slot.
func (j *job) isQueued() bool { return j.waiting.Queued() }

// reply sends the result to the coordinator.
func (j *job) reply(ctx *step.Context, result message.DispatchResult) {
	result.Attempt = j.request.Attempt
	result.Upstream = j.request.Upstream
	ctx.Send(j.from, result)
}

// resultOf maps an upstream's reply to a result.
func resultOf(l *lane, e event.UpstreamReply) message.DispatchResult {
	result := message.DispatchResult{
		Version:    e.Version,
		Rows:       e.Rows,
		Held:       e.Held,
		RetryAfter: int64(e.RetryAfter),
	}
	switch e.Status {
	case event.UpstreamAnswered:
		result.Status = message.StatusAnswered
	case event.UpstreamShed:
		result.Status = message.StatusRefused
		result.Reason = model.CodeOverloaded
		result.RetryAfter = max(result.RetryAfter, int64(l.retryAfter()))
	case event.UpstreamVersionGone:
		result.Status = message.StatusVersionGone
	case event.UpstreamCancelled:
		result.Status = message.StatusFailed
		result.Reason = model.CodeCancelled
	default:
		result.Status = message.StatusFailed
		result.Reason = model.CodeUnavailable
	}
	return result
}

// latestStart returns the time after which the job is not sent any more.
func (j *job) latestStart(l *lane) model.Instant {
	return min(j.startBy, j.deadline.Add(-l.service.mean))
}
