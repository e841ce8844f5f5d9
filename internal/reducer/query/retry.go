package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// retryPause is the pause before a task goes to replicas that were tried
	// already. It grows with each attempt.
	retryPause = 25 * time.Millisecond
	// retryTimeShare is how many pauses must be left until the deadline.
	retryTimeShare = 2
)

// retryElsewhere sends a task to a replica that it has not been sent to. It
// reports whether it did.
func (s *State) retryElsewhere(ctx *step.Context, r *request, failed *attempt) bool {
	wish := replica.Criteria{Avoid: failed.replica.Domain, Tried: r.tried(failed.task)}
	return s.retry(ctx, r, failed.task, wish, "other_replica")
}

// retryLater puts a task off until a passing fault may be over, such as the
// takeover of a lost dispatcher's upstreams. Congestion is no such fault: waiting
// for it would only add to it.
func (s *State) retryLater(ctx *step.Context, r *request, t *task, m message.DispatchResult) bool {
	passing := m.Status == message.StatusLost || m.Status == message.StatusNotOwner || m.Reason == model.CodeUnavailable
	if !passing || r.suspect || r.serviceOf(t).stats.retries.Tokens() < 1 {
		return false
	}
	pause := time.Duration(t.sent) * retryPause
	if r.timeLeft(ctx.Now) < retryTimeShare*pause {
		return false
	}
	t.retryAt = ctx.Now.Add(pause)
	r.wakeAt = 0
	return true
}

// sendRetries sends the tasks whose pause is over.
func (s *State) sendRetries(ctx *step.Context, r *request) {
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.retryAt == 0 || ctx.Now.Before(t.retryAt) {
			continue
		}
		t.retryAt = 0
		if !s.retry(ctx, r, i, replica.Criteria{}, "after_pause") {
			r.settle(t, taskFailed)
		}
	}
}

// retry sends a task to a replica on the service's budget. It reports whether it
// did.
func (s *State) retry(ctx *step.Context, r *request, index int, wish replica.Criteria, label string) bool {
	t := &r.tasks[index]
	stats := r.serviceOf(t).stats
	chosen := s.choose(ctx, t.replicas, wish)
	if chosen == nil {
		return false
	}
	if !stats.retries.Take() {
		ctx.Count(metricRetriesDenied, "no_budget")
		return false
	}
	if !s.send(ctx, r, index, chosen, retryAttempt) {
		stats.retries.Refund()
		return false
	}
	ctx.Count(metricRetries, label)
	return true
}
