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
	// from is the coordinator that sent the request.
	from model.HostID
	pool *upstreamPool
	// deadline is when the coordinator needs the answer, on this node's clock.
	deadline model.Instant
	// queueEntry is the job's entry in the pool's queue.
	queueEntry queue.Entry[*job]
	// connection is the connection that carries the job; nil if it is not sent.
	connection *connection
	// sentAt is when the job was last sent.
	sentAt model.Instant
	// alone is true while nothing else is known to have run on the upstream at the
	// same time.
	alone bool
	// cancelled is true once the job has been cancelled, by its coordinator or because
	// it is overdue.
	cancelled bool
}

// newJob returns a job that is neither queued nor sent.
func (s *State) newJob(ctx *step.Context, from model.HostID, m message.Dispatch) *job {
	j := &job{
		request:  m,
		from:     from,
		deadline: ctx.Now.Add(time.Duration(m.TimeLeft)),
	}
	j.queueEntry = queue.Entry[*job]{Deadline: j.deadline, Expiry: j.deadline, Priority: m.Priority, Value: j}
	if !s.settings.NoEarlyRefusal {
		j.queueEntry.Expiry = min(j.deadline, ctx.Now.Add(time.Duration(m.MaxQueueWait)))
	}
	if s.settings.Order == ArrivalOrder {
		j.queueEntry.Deadline = ctx.Now
	}
	return j
}

// latestStart returns the latest time at which the job may be sent: the end of its
// maximum wait, or earlier if it could not meet its deadline with the given service
// time.
func (j *job) latestStart(service time.Duration) model.Instant {
	return min(j.queueEntry.Expiry, j.deadline.Add(-service))
}

// isQueued reports whether the job waits for a slot.
func (j *job) isQueued() bool { return j.queueEntry.Queued() }

// reply sends the result to the coordinator.
func (j *job) reply(ctx *step.Context, result message.DispatchResult) {
	result.Attempt = j.request.Attempt
	result.Upstream = j.request.Upstream
	ctx.Send(j.from, result)
}

// resultOf converts an upstream's reply to a result.
func resultOf(pool *upstreamPool, e event.UpstreamReply) message.DispatchResult {
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

// refused returns the result of a job that is refused without having been written.
func refused(reason model.Code) *message.DispatchResult {
	return &message.DispatchResult{Status: message.StatusRefused, Reason: reason}
}
