package relay

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/blame"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Content that crashes upstreams is found in three steps. A connection that ends without a reply
// makes the requests on it suspects of a crash, until the next connect shows whether the upstream
// is still running. The nodes tell each other of the crashes, and package blame judges them. What
// it condemns is blocked by package quarantine, on all nodes.

// pendingCrash holds the requests whose connections ended without a reply, until the next
// connect shows whether the upstream's process is still running.
type pendingCrash struct {
	lostAt   model.Instant
	suspects []blame.Crash
	// abandoned are the attempts whose connections the node closed because nobody waited for
	// their replies. Some upstreams go on with them.
	abandoned []abandonedRun
}

// abandonedRun is an attempt that an upstream may still run although its connection was closed.
type abandonedRun struct {
	crash    blame.Crash
	closedAt model.Instant
}

const (
	// abandonedRunTime is how long an upstream may go on with an attempt whose connection was
	// closed, as far as crashes are concerned.
	abandonedRunTime = 2 * time.Second
	// maxAbandonedRuns bounds the attempts that are remembered of one upstream.
	maxAbandonedRuns = 64
)

// crashWindow is how long after a lost connection a refused one counts as evidence of a
// crash. The host of a process that has ended refuses connections within a round trip.
const crashWindow = 500 * time.Millisecond

// content returns the content of a request.
func (r *request) content() blame.Content {
	return blame.Content{Route: model.ServiceName(r.config.Name), Fingerprint: r.fingerprint}
}

// suspectCrash records an attempt whose connection ended without a reply, and connects
// again to find out whether the upstream is still running.
func (s *State) suspectCrash(ctx *step.Context, pool *upstreamPool, a *attempt) {
	a.request.hadLostAttempt = true
	pool.crash.suspects = append(pool.crash.suspects, s.crashOf(ctx, pool, a))
	s.connect(ctx, pool)
}

// recordAbandonedRun remembers an attempt whose connection the node has closed. If its content is
// suspected, the node connects again, so that it sees a crash at once.
func (s *State) recordAbandonedRun(ctx *step.Context, pool *upstreamPool, a *attempt) {
	pool.crash.dropOldRuns(ctx.Now)
	if len(pool.crash.abandoned) == maxAbandonedRuns {
		pool.crash.abandoned = pool.crash.abandoned[1:]
	}
	pool.crash.abandoned = append(pool.crash.abandoned, abandonedRun{crash: s.crashOf(ctx, pool, a), closedAt: ctx.Now})
	if s.isKnownSuspect(ctx, a.request) {
		s.connect(ctx, pool)
	}
}

// dropOldRuns forgets the abandoned attempts that have ended by now.
func (p *pendingCrash) dropOldRuns(now model.Instant) {
	p.abandoned = slices.DeleteFunc(p.abandoned, func(run abandonedRun) bool { return now.Sub(run.closedAt) > abandonedRunTime })
}

// take returns and removes the requests that may have crashed an upstream which refuses
// connections now, and reports whether there is any sign of a crash. Abandoned attempts count if
// no connection is left: an upstream that runs but takes no more connections keeps its open ones.
func (p *pendingCrash) take(now model.Instant, openConnections int) (suspects []blame.Crash, crashed bool) {
	p.dropOldRuns(now)
	if now.Sub(p.lostAt) <= crashWindow {
		suspects, crashed = p.suspects, true
	}
	if openConnections == 0 {
		crashed = crashed || len(p.abandoned) > 0
		for _, run := range p.abandoned {
			suspects = append(suspects, run.crash)
		}
		p.abandoned = nil
	}
	return suspects, crashed
}

// crashOf returns the crash that an attempt may have caused.
func (s *State) crashOf(ctx *step.Context, pool *upstreamPool, a *attempt) blame.Crash {
	return blame.Crash{
		Content:   a.request.content(),
		Upstream:  pool.registration.Upstream.ID,
		Attempt:   model.AttemptID{Host: ctx.Self.Host, Incarnation: ctx.Self.Incarnation, Number: a.number},
		RequestID: a.request.incoming.ID,
		Suspected: a.knownSuspect,
		SentAt:    a.sentAt,
	}
}

// recordConnectionLost records that a connection ended although the node did not close it. If the
// upstream may run abandoned attempts, or others of the service crash, it connects again to find
// out whether this one did too.
func (s *State) recordConnectionLost(ctx *step.Context, pool *upstreamPool) {
	if ctx.Now.Sub(pool.crash.lostAt) > crashWindow {
		pool.crash.suspects = nil
	}
	pool.crash.lostAt = ctx.Now
	pool.crash.dropOldRuns(ctx.Now)
	if len(pool.crash.abandoned) > 0 || s.blame.HasCrashed(ctx.Now, pool.service.name) {
		s.connect(ctx, pool)
	}
}

// isKnownSuspect reports whether the content of a request is already suspected of a crash.
func (s *State) isKnownSuspect(ctx *step.Context, r *request) bool {
	return r.hadLostAttempt || s.blame.IsSuspect(ctx.Now, r.content())
}

// attributeCrash takes an upstream as crashed if a connection is refused shortly after one was lost,
// or while it may run abandoned attempts, and reports the requests that it ran.
func (s *State) attributeCrash(ctx *step.Context, pool *upstreamPool, refused bool) {
	if !refused {
		pool.crash.suspects = nil
		return
	}
	suspects, crashed := pool.crash.take(ctx.Now, pool.openConnections())
	pool.crash.suspects = nil
	if !crashed {
		return
	}
	s.blame.RecordUpstreamCrash(ctx.Now, pool.registration.Upstream.ID)
	told := false
	for _, crash := range suspects {
		told = s.recordCrash(ctx, crash, len(suspects)) || told
	}
	if !told {
		s.tellEntryNodes(ctx, message.Suspicion{Upstream: pool.registration.Upstream.ID})
	}
	s.checkLostPools(ctx, pool.service)
	s.judgeCrashes(ctx)
}

// checkLostPools connects to the upstreams of a service that have just lost their connections.
func (s *State) checkLostPools(ctx *step.Context, svc *service) {
	for _, pool := range svc.pools {
		if pool.crash.lostAt != 0 && ctx.Now.Sub(pool.crash.lostAt) <= crashWindow && pool.openConnections() == 0 {
			s.connect(ctx, pool)
		}
	}
}
