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

// upstreamPool holds the connections to one upstream, the queue of waiting jobs,
// and the observed state of the upstream.
type upstreamPool struct {
	// number identifies the pool in the identifiers of its timers.
	number   uint64
	upstream model.Upstream
	policy   model.Policy
	// owned is true while this node dispatches for the upstream. A pool that is not
	// owned finishes the jobs in flight and closes its connections.
	owned bool
	// retiringUntil is when a pool that has lost its ownership stops sending; zero
	// if it is not retiring.
	retiringUntil model.Instant
	// share is this node's share of the upstream.
	share share
	// slots is this node's share of the upstream's slots.
	slots int
	// maxConnections is this node's share of the upstream's connections.
	maxConnections int

	connections []*connection
	inFlight    []*job
	queue       *queue.Queue[*job]
	// queueLatestStart is the latest time at which a queued job may start. It is
	// reset only when a job is pushed into an empty queue, not when jobs leave it.
	queueLatestStart model.Instant
	// queueTimer is the time for which the queue timer was last set.
	queueTimer model.Instant
	// cancels lists sent jobs whose cancellation must still be sent to the upstream.
	cancels []*job

	limit          limit.Limit
	serviceTime    serviceTime
	connectBackoff backoff.Backoff
	disconnect     disconnect
	status         status
	reported       report
}

// acceptsWork reports whether the pool accepts a new sub-request. A retiring pool
// accepts one only if it can send it immediately.
func (p *upstreamPool) acceptsWork(now model.Instant) bool {
	if p.owned {
		return true
	}
	return p.freeSlots(now) > p.queue.Len() && p.idleConnection() != nil
}

// maySend reports whether the pool may send: while it is owned or retiring.
func (p *upstreamPool) maySend(now model.Instant) bool { return p.owned || now < p.retiringUntil }

// freeSlots returns how many more sub-requests may be sent now.
func (p *upstreamPool) freeSlots(now model.Instant) int {
	if !p.maySend(now) || p.isDraining() || p.isIsolated() {
		return 0
	}
	return max(0, p.limit.Current(now)-len(p.inFlight))
}

// isIsolated reports whether a job is in flight that must run alone.
func (p *upstreamPool) isIsolated() bool {
	for _, j := range p.inFlight {
		if j.request.Isolate {
			return true
		}
	}
	return false
}

// expectedWait estimates how long a job waits for a slot if the given number of
// jobs is served before it.
func (p *upstreamPool) expectedWait(now model.Instant, ahead int) time.Duration {
	slots := max(1, p.limit.Current(now))
	pause := max(0, p.limit.PausedUntil().Sub(now))
	completions := len(p.inFlight) + ahead + 1 - slots
	if completions <= 0 {
		return pause
	}
	return pause + time.Duration(completions)*p.serviceTime.expected(now)/time.Duration(slots)
}

// removeInFlight removes a job from the list of sent jobs.
func (p *upstreamPool) removeInFlight(j *job) {
	p.inFlight = slices.DeleteFunc(p.inFlight, func(other *job) bool { return other == j })
}

// idleConnection returns an idle connection, or nil if there is none.
func (p *upstreamPool) idleConnection() *connection {
	for _, c := range p.connections {
		if c.state == idle {
			return c
		}
	}
	return nil
}

// openConnections returns how many connections are open and not being closed.
func (p *upstreamPool) openConnections() int {
	return len(p.connections) - p.countState(connecting) - p.countState(ending)
}

// hasOpenConnection reports whether the pool has an open connection.
func (p *upstreamPool) hasOpenConnection() bool { return p.openConnections() > 0 }

// isUnreachable reports whether the last attempt to connect failed and no
// connection is open.
func (p *upstreamPool) isUnreachable() bool {
	return p.connectBackoff.Failures > 0 && !p.hasOpenConnection()
}

// observeReply updates the service time, the limit and the drain state from an
// upstream's reply.
func (s *State) observeReply(ctx *step.Context, pool *upstreamPool, j *job, e event.UpstreamReply) {
	switch e.Status {
	case event.UpstreamAnswered:
		pool.serviceTime.observe(ctx.Now, ctx.Now.Sub(j.sentAt))
		pool.limit.Answered(ctx.Now)
	case event.UpstreamShed:
		ctx.Count(metricShed, "")
		pool.limit.Shed(ctx.Now, j.sentAt, e.RetryAfter)
		s.setPauseTimer(ctx, pool)
	case event.UpstreamFailed:
		pool.limit.Failed(ctx.Now, j.sentAt)
	case event.UpstreamVersionGone:
		pool.status.due = true
	}
	if e.Draining {
		s.recordDrain(ctx, pool, drainByReply)
	}
}
