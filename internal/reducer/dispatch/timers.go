package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// timerKind is the purpose of a pool's timer.
type timerKind uint64

// Kinds of timers. A timer's identifier is the pool's number times timerKinds plus
// the kind.
const (
	periodicTimer timerKind = iota
	connectTimer
	queueTimer
	pauseTimer
	disconnectTimer
	takeoverTimer
	retireTimer
	timerKinds
)

const (
	// overdueGrace is how long a sent job may exceed its deadline before its
	// connection is closed, so that its slot is not occupied forever.
	overdueGrace = 1 * time.Second
	// atMostOnceOverdueGrace is the same for jobs that must run at most once: a late
	// reply still determines their outcome.
	atMostOnceOverdueGrace = 30 * time.Second
)

// setTimer sets a timer of the pool to fire after d.
func (p *upstreamPool) setTimer(ctx *step.Context, d time.Duration, kind timerKind) {
	ctx.After(d, timer.Dispatch, p.number*uint64(timerKinds)+uint64(kind))
}

// setPeriodicTimer sets the timer of the status reads. Jitter spreads the reads of
// the pools over time.
func (s *State) setPeriodicTimer(ctx *step.Context, pool *upstreamPool) {
	jitter := time.Duration(ctx.Random.Int64N(int64(statusInterval / 4)))
	pool.setTimer(ctx, statusInterval-jitter, periodicTimer)
}

// setPauseTimer sets a timer for the end of the limit's pause, if there is one.
func (s *State) setPauseTimer(ctx *step.Context, pool *upstreamPool) {
	if pause := pool.limit.PausedUntil().Sub(ctx.Now); pause > 0 {
		pool.setTimer(ctx, pause, pauseTimer)
	}
}

// setQueueTimer sets a timer for the earliest time at which a queued job expires or
// can no longer meet its deadline.
func (s *State) setQueueTimer(ctx *step.Context, pool *upstreamPool) {
	if pool.queue.Len() == 0 {
		return
	}
	first := min(pool.queue.FirstExpiry().Expiry, s.latestTimelyStart(ctx, pool, pool.queue.First().Value))
	first = max(first, ctx.Now)
	if pool.queueTimer > ctx.Now && pool.queueTimer <= first {
		return
	}
	pool.queueTimer = first
	pool.setTimer(ctx, first.Sub(ctx.Now), queueTimer)
}

// HandleTimer handles a timer of a pool. It ignores timers of removed pools.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	pool := s.byNumber[id/uint64(timerKinds)]
	if pool == nil {
		return
	}
	switch timerKind(id % uint64(timerKinds)) {
	case periodicTimer:
		s.handlePeriodicTimer(ctx, pool)
	case connectTimer:
		s.connect(ctx, pool)
	case queueTimer, pauseTimer:
		s.dispatchQueued(ctx, pool)
	case disconnectTimer:
		s.classifyDisconnect(ctx, pool)
		s.reconcile(ctx, pool)
	case retireTimer:
		if !pool.maySend(ctx.Now) {
			s.release(ctx, pool)
		}
	case takeoverTimer:
		s.handleTakeoverTimer(ctx, pool)
	}
}

// handlePeriodicTimer reads the status, closes unresponsive connections, cancels
// overdue jobs, and refreshes the report.
func (s *State) handlePeriodicTimer(ctx *step.Context, pool *upstreamPool) {
	s.setPeriodicTimer(ctx, pool)
	pool.status.due = true
	s.closeUnresponsive(ctx, pool)
	s.cancelOverdue(ctx, pool)
	s.reconcile(ctx, pool)
	s.refreshReport(ctx, pool)
}

// closeUnresponsive closes connections whose status read or cancellation got no
// reply within statusTimeout.
func (s *State) closeUnresponsive(ctx *step.Context, pool *upstreamPool) {
	for _, c := range pool.connections {
		if c.state == controlling && ctx.Now.Sub(c.since) >= statusTimeout {
			s.close(ctx, c)
		}
	}
}

// cancelOverdue cancels repeatable sent jobs that have exceeded their deadlines, and
// closes the connections of all jobs whose grace period has ended.
func (s *State) cancelOverdue(ctx *step.Context, pool *upstreamPool) {
	for _, j := range pool.inFlight {
		overdue := ctx.Now.Sub(j.deadline)
		if overdue <= 0 || j.connection.state == ending {
			continue
		}
		if j.request.Repeatable && !j.cancelled {
			j.cancelled = true
			pool.cancels = append(pool.cancels, j)
		}
		if overdue >= graceOf(j) {
			s.close(ctx, j.connection)
		}
	}
}

// graceOf returns how long a sent job may exceed its deadline.
func graceOf(j *job) time.Duration {
	if j.request.Repeatable {
		return overdueGrace
	}
	return atMostOnceOverdueGrace
}
