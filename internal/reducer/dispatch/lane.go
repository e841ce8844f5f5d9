package dispatch

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// lane is what the node has to do with one upstream.
type lane struct {
	number   uint64
	upstream model.Upstream
	policy   model.Policy
	// owner is true while this node dispatches for the upstream. A lane without
	// ownership finishes what is in flight and closes its connections.
	owner bool
	// slots is this node's share of the upstream's slots.
	slots int
	// maxConnections is this node's share of the upstream's connections.
	maxConnections int

	connections []*connection
	inFlight    []*job
	queue       queue.Queue[*job]
	// queueTimer is when the queue's timer is due; zero if none is set.
	queueTimer model.Instant

	service serviceTime
	opening backoff
	// cancels lists sent jobs that the upstream should stop.
	cancels  []*job
	status   status
	reported report
}

// serviceTime follows the time that the upstream takes for a sub-request.
type serviceTime struct {
	mean time.Duration
}

// serviceTimeGain is the weight of a new observation in the moving average.
const serviceTimeGain = 0.1

// observe adds one service time.
func (s *serviceTime) observe(elapsed time.Duration) {
	if s.mean == 0 {
		s.mean = elapsed
		return
	}
	s.mean += time.Duration(serviceTimeGain * float64(elapsed-s.mean))
}

// limit returns how many sub-requests may be in flight now.
func (l *lane) limit() int { return l.slots }

// freeSlots returns how many more sub-requests may be sent now.
func (l *lane) freeSlots() int {
	if !l.owner || l.isDraining() {
		return 0
	}
	return max(0, l.limit()-len(l.inFlight))
}

// retryAfter returns the time in which the upstream works off the queue.
func (l *lane) retryAfter() time.Duration {
	return l.expectedWait(l.queue.Len())
}

// expectedWait returns how long a job waits for a slot when ahead jobs are
// served before it.
func (l *lane) expectedWait(ahead int) time.Duration {
	busy := len(l.inFlight) + ahead - l.limit() + 1
	if busy <= 0 {
		return 0
	}
	return time.Duration(busy) * l.service.mean / time.Duration(max(1, l.limit()))
}

// jobsOf returns the jobs of one coordinator, in a repeatable order.
func (l *lane) jobsOf(host model.HostID) []*job {
	var jobs []*job
	for _, j := range l.inFlight {
		if j.from == host {
			jobs = append(jobs, j)
		}
	}
	l.queue.Each(func(e *queue.Entry[*job]) {
		if e.Value.from == host {
			jobs = append(jobs, e.Value)
		}
	})
	return jobs
}

// removeInFlight takes a job off the list of sent jobs.
func (l *lane) removeInFlight(j *job) {
	l.inFlight = slices.DeleteFunc(l.inFlight, func(other *job) bool { return other == j })
}

// idleConnection returns a connection that can take a request, or nil.
func (l *lane) idleConnection() *connection {
	for _, c := range l.connections {
		if c.state == idle {
			return c
		}
	}
	return nil
}

// isOpen reports whether the lane has any usable connection.
func (l *lane) isOpen() bool {
	for _, c := range l.connections {
		if c.state != connecting && c.state != ending {
			return true
		}
	}
	return false
}

// isUnreachable reports whether the last attempt to connect failed and no
// connection is left.
func (l *lane) isUnreachable() bool { return l.opening.failures > 0 && !l.isOpen() }

// observeReply learns from an upstream's reply.
func (l *lane) observeReply(ctx *step.Context, j *job, e event.UpstreamReply) {
	if e.Status == event.UpstreamAnswered {
		l.service.observe(ctx.Now.Sub(j.sent))
	}
	if e.Draining {
		l.status.drainSeen(ctx.Now, drainByReply)
	}
	if e.Status == event.UpstreamVersionGone {
		l.status.due = true
	}
}
