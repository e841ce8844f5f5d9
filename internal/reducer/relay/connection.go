package relay

import (
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/backoff"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// connectionState is the state of a connection to an upstream.
type connectionState uint8

const (
	connecting connectionState = iota + 1
	idle
	busy
	// closing connections still count against the connection limit.
	closing
)

// connection is one connection to an upstream, which carries at most one attempt at a
// time.
type connection struct {
	id      model.ConnectionID
	pool    *upstreamPool
	state   connectionState
	attempt *attempt
	// startedAt is when the connect began.
	startedAt model.Instant
	// expiresAt is when the upstream may close the idle connection, less idleMargin; zero
	// if unknown.
	expiresAt model.Instant
}

// idleMargin is subtracted from the upstream's idle timeout, so that a request is not
// sent while the upstream closes the connection.
const idleMargin = 500 * time.Millisecond

// idleConnection returns the newest idle connection that an attempt may use, or nil. It
// closes the idle connections that the upstream may be about to close.
func (s *State) idleConnection(ctx *step.Context, pool *upstreamPool, a *attempt) *connection {
	for _, c := range slices.Backward(pool.connections) {
		if c.state != idle || a.wasSentOn(c) {
			continue
		}
		if c.expiresAt != 0 && ctx.Now >= c.expiresAt {
			s.closeConnection(ctx, c)
			continue
		}
		return c
	}
	return nil
}

// connect opens a connection if the pool's limits and its backoff permit one.
func (s *State) connect(ctx *step.Context, pool *upstreamPool) {
	if pool.removed || pool.connectBackoff.Until > ctx.Now || len(pool.connections) >= pool.maxConnections {
		return
	}
	pending := 0
	for _, c := range pool.connections {
		if c.state == connecting {
			pending++
		}
	}
	if pending >= maxConnecting {
		return
	}
	s.nextConnection++
	c := &connection{id: s.nextConnection, pool: pool, state: connecting, startedAt: ctx.Now}
	pool.connections = append(pool.connections, c)
	s.connections[c.id] = c
	ctx.Emit(effect.OpenConnection{Connection: c.id, Upstream: pool.registration.Upstream.ID, Address: pool.registration.Upstream.Address})
}

// closeConnection starts to close a connection.
func (s *State) closeConnection(ctx *step.Context, c *connection) {
	if c.state == closing {
		return
	}
	c.state = closing
	ctx.Emit(effect.CloseConnection{Connection: c.id})
}

// closeUnusedConnections closes the connections that carry no attempt. It is called when
// the upstream starts to drain or is removed.
func (s *State) closeUnusedConnections(ctx *step.Context, pool *upstreamPool) {
	for _, c := range pool.connections {
		if c.state == connecting || c.state == idle {
			s.closeConnection(ctx, c)
		}
	}
}

// HandleOpened handles a new connection.
func (s *State) HandleOpened(ctx *step.Context, e event.ConnectionOpened) {
	c := s.connections[e.Connection]
	if c == nil || c.state != connecting {
		return
	}
	pool := c.pool
	c.state = idle
	if pool.connectBackoff.Failures > 0 {
		pool.connectBackoff = backoff.Backoff{}
		ctx.Log(effect.Info, component, "upstream regained", upstreamFields(pool)...)
	}
	s.attributeCrash(ctx, pool, false)
	s.drainQueue(ctx, pool)
}

// HandleClosed handles the end of a connection, or a failed connect.
func (s *State) HandleClosed(ctx *step.Context, e event.ConnectionClosed) {
	c := s.connections[e.Connection]
	if c == nil {
		return
	}
	pool := c.pool
	delete(s.connections, c.id)
	pool.connections = slices.DeleteFunc(pool.connections, func(other *connection) bool { return other == c })
	if c.state == connecting {
		s.connectFailed(ctx, c, e)
	}
	switch {
	case e.Mismatch:
		ctx.Count(metricMismatched, "")
	case c.state == idle || c.state == busy:
		s.recordConnectionLost(ctx, pool)
	}
	if a := c.attempt; a != nil {
		s.handleLostAttempt(ctx, c, a, e)
	}
	s.deletePoolIfUnused(pool)
	s.drainQueue(ctx, pool)
}

// connectFailed schedules the next connect with backoff, and moves waiting attempts to
// other upstreams if no connection is open.
func (s *State) connectFailed(ctx *step.Context, c *connection, e event.ConnectionClosed) {
	pool := c.pool
	ctx.Count(metricConnectFails, "")
	if pool.connectBackoff.Failures == 0 {
		ctx.Log(effect.Warning, component, "upstream lost", append(upstreamFields(pool), effect.Field{Name: "reason", Value: e.Reason})...)
		pool.recordOutcome(ctx.Now, true)
	}
	delay := pool.connectBackoff.Fail(ctx)
	s.attributeCrash(ctx, pool, ctx.Now.Sub(c.startedAt) <= crashWindow)
	setTimer(ctx, delay, pool.number, poolTimer)
	if pool.openConnections() == 0 {
		s.reassignWaiting(ctx, pool)
	} else {
		s.reassignResent(ctx, pool)
	}
}

// reconnect retries the connect to an upstream that could not be reached.
func (s *State) reconnect(ctx *step.Context, pool *upstreamPool) {
	if pool.connectBackoff.Failures > 0 && pool.openConnections() == 0 && !pool.isLeaving() {
		s.connect(ctx, pool)
	}
}

// handleLostAttempt handles the attempt of a connection that ended without a reply.
func (s *State) handleLostAttempt(ctx *step.Context, c *connection, a *attempt, e event.ConnectionClosed) {
	pool := c.pool
	pool.removeInFlight(a)
	a.connection = nil
	if a.abandoned {
		s.handleLostAbandoned(ctx, c, a, e)
		return
	}
	if !e.Written {
		s.requeue(ctx, pool, a)
		return
	}
	ctx.Count(metricLost, "")
	pool.limit.Failed(ctx.Now, a.sentAt)
	pool.recordOutcome(ctx.Now, true)
	if c.state != closing && !e.Mismatch {
		s.suspectCrash(ctx, pool, a)
	}
	s.settleAttempt(ctx, a, message.StatusLost, model.CodeUnavailable)
}

// handleLostAbandoned handles an abandoned attempt whose connection has ended. That nobody waits
// for its reply does not make it less suspect.
func (s *State) handleLostAbandoned(ctx *step.Context, c *connection, a *attempt, e event.ConnectionClosed) {
	s.finishAbandoned(a)
	switch {
	case !e.Written || e.Mismatch:
	case c.state == closing:
		s.recordAbandonedRun(ctx, c.pool, a)
	default:
		s.suspectCrash(ctx, c.pool, a)
	}
}

// requeue returns an attempt that was not written to the queue, or offers its part to
// another upstream if the pool is unusable.
func (s *State) requeue(ctx *step.Context, pool *upstreamPool, a *attempt) {
	a.request.parts[a.part].possibleRuns--
	a.sentAt, a.sentOn = 0, 0
	if !pool.usable() {
		s.reassignUnsent(ctx, a, model.CodeUnavailable)
		return
	}
	pool.waiting.Push(&a.queueEntry)
}

// removeInFlight removes an attempt from the attempts in flight.
func (pool *upstreamPool) removeInFlight(a *attempt) {
	pool.inFlight = slices.DeleteFunc(pool.inFlight, func(other *attempt) bool { return other == a })
}

// decay returns the factor by which a value decays exponentially in the elapsed time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(timeConstant))
}

// upstreamFields returns the log fields that identify a pool's upstream.
func upstreamFields(pool *upstreamPool) []effect.Field {
	return []effect.Field{
		{Name: "upstream", Value: string(pool.registration.Upstream.ID)},
		{Name: "address", Value: pool.registration.Upstream.Address},
	}
}

// countField returns a log field with an integer value.
func countField(name string, n int) effect.Field {
	return effect.Field{Name: name, Value: strconv.Itoa(n)}
}
