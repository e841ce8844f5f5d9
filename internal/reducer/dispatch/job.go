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
	from model.HostID
	lane *lane
	// deadline is when the answer is due, on this node's clock.
	deadline model.Instant
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
func (s *State) newJob(ctx *step.Context, from model.HostID, m message.Dispatch) *job {
	j := &job{
		request:  m,
		from:     from,
		deadline: ctx.Now.Add(time.Duration(m.TimeLeft)),
	}
	j.waiting = queue.Entry[*job]{Deadline: j.deadline, Expiry: j.deadline, Priority: m.Priority, Value: j}
	if !s.settings.NoEarlyRefusal {
		j.waiting.Expiry = min(j.deadline, ctx.Now.Add(time.Duration(m.MaxQueueWait)))
	}
	if s.settings.Order == ArrivalOrder {
		j.waiting.Deadline = ctx.Now
	}
	return j
}

// latestStart returns the last time at which the job may be sent if it takes the
// given service time.
func (j *job) latestStart(service time.Duration) model.Instant {
	return min(j.waiting.Expiry, j.deadline.Add(-service))
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
		RowShards:  e.RowShards,
		RetryAfter: int64(e.RetryAfter),
	}
	switch e.Status {
	case event.UpstreamAnswered:
		result.Status = message.StatusAnswered
	case event.UpstreamShed:
		result.Status = message.StatusRefused
		result.Reason = model.CodeOverloaded
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

// refused returns the result of a job that was never written.
func refused(reason model.Code) *message.DispatchResult {
	return &message.DispatchResult{Status: message.StatusRefused, Reason: reason}
}
