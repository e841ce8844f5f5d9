package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// retryBackoff is the delay, per attempt already sent, before a task is sent again
	// to replicas that have been tried.
	retryBackoff = 25 * time.Millisecond
	// minBackoffsLeft is how many times the backoff must fit into the time left until
	// the deadline.
	minBackoffsLeft = 2
)

// retryElsewhere sends a task to a replica that has not been tried and reports
// whether it did.
func (s *State) retryElsewhere(ctx *step.Context, r *request, failed *attempt) bool {
	criteria := replica.Criteria{AvoidDomain: failed.replica.Domain, Tried: r.triedUpstreams(failed.task)}
	return s.retry(ctx, r, failed.task, criteria, "other_replica")
}

// retryLater schedules a retry after a backoff if the failure may be transient, such
// as a lost dispatcher whose upstreams are being taken over. Congestion is not
// retried, because a retry would add to it. It reports whether a retry is scheduled.
func (s *State) retryLater(ctx *step.Context, r *request, t *task, m message.DispatchResult) bool {
	transient := m.Status == message.StatusLost || m.Status == message.StatusNotOwner || m.Reason == model.CodeUnavailable
	if !transient || r.suspect || r.serviceOf(t).stats.retries.Tokens() < 1 {
		return false
	}
	backoff := time.Duration(t.sentAttempts) * retryBackoff
	if r.timeLeft(ctx.Now) < minBackoffsLeft*backoff {
		return false
	}
	t.retryAt = ctx.Now.Add(backoff)
	r.wakeAt = 0
	return true
}

// sendRetries sends the tasks whose backoff has passed.
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

// retry sends a task to a replica that meets the criteria if the service's retry
// budget permits it. It reports whether it did.
func (s *State) retry(ctx *step.Context, r *request, index int, criteria replica.Criteria, label string) bool {
	t := &r.tasks[index]
	stats := r.serviceOf(t).stats
	chosen := s.choose(ctx, t.replicas, criteria)
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
