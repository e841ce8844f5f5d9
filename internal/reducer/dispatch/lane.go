package dispatch

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/backoff"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/limit"
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
	// retires is when a lane that has lost its ownership ends to send; zero if it
	// may not send.
	retires model.Instant
	// part is this node's place among the upstream's dispatchers.
	part share
	// slots is this node's share of the upstream's slots.
	slots int
	// maxConnections is this node's share of the upstream's connections.
	maxConnections int

	connections []*connection
	inFlight    []*job
	queue       *queue.Queue[*job]
	// latest is the last time at which a job of the queue may start; it does not
	// follow jobs that leave the queue until it is empty.
	latest model.Instant
	// queueTimer is when the queue's timer is due.
	queueTimer model.Instant
	// cancels lists sent jobs that the upstream should stop.
	cancels []*job

	limit    limit.Limit
	service  serviceTime
	opening  backoff.Backoff
	collapse collapse
	status   status
	reported report
}

// takesOn reports whether the lane takes a new sub-request on. One that retires
// does so only if it can send it at once.
func (l *lane) takesOn(now model.Instant) bool {
	if l.owner {
		return true
	}
	return l.freeSlots(now) > l.queue.Len() && l.idleConnection() != nil
}

// serves reports whether the lane may send.
func (l *lane) serves(now model.Instant) bool { return l.owner || now < l.retires }

// freeSlots returns how many more sub-requests may be sent now.
func (l *lane) freeSlots(now model.Instant) int {
	if !l.serves(now) || l.isDraining() || l.isIsolated() {
		return 0
	}
	return max(0, l.limit.Current(now)-len(l.inFlight))
}

// isIsolated reports whether a job is in flight that nothing may run beside.
func (l *lane) isIsolated() bool {
	for _, j := range l.inFlight {
		if j.request.Isolate {
			return true
		}
	}
	return false
}

// expectedWait returns how long a job waits for a slot when ahead jobs are
// served before it.
func (l *lane) expectedWait(now model.Instant, ahead int) time.Duration {
	slots := max(1, l.limit.Current(now))
	pause := max(0, l.limit.PausedUntil().Sub(now))
	busy := len(l.inFlight) + ahead + 1 - slots
	if busy <= 0 {
		return pause
	}
	return pause + time.Duration(busy)*l.service.expected(now)/time.Duration(slots)
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

// openConnections counts the connections that are open and not being closed.
func (l *lane) openConnections() int {
	return len(l.connections) - l.countState(connecting) - l.countState(ending)
}

// isOpen reports whether the lane has any usable connection.
func (l *lane) isOpen() bool { return l.openConnections() > 0 }

// isUnreachable reports whether the last attempt to connect failed and no
// connection is left.
func (l *lane) isUnreachable() bool { return l.opening.Failures > 0 && !l.isOpen() }

// observeReply learns from an upstream's reply.
func (s *State) observeReply(ctx *step.Context, l *lane, j *job, e event.UpstreamReply) {
	switch e.Status {
	case event.UpstreamAnswered:
		l.service.observe(ctx.Now, ctx.Now.Sub(j.sent))
		l.limit.Answered(ctx.Now)
	case event.UpstreamShed:
		ctx.Count(metricShed, "")
		l.limit.Shed(ctx.Now, j.sent, e.RetryAfter)
		s.setPauseTimer(ctx, l)
	case event.UpstreamFailed:
		l.limit.Failed(ctx.Now, j.sent)
	case event.UpstreamVersionGone:
		l.status.due = true
	}
	if e.Draining {
		s.drainSeen(ctx, l, drainByReply)
	}
}
