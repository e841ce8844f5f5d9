package dispatch

import (
	"slices"

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
	// connecting connections are being opened.
	connecting connectionState = iota + 1
	// idle connections can carry a job, a status read or a cancellation.
	idle
	// working connections carry a job.
	working
	// controlling connections carry a status read or a cancellation.
	controlling
	// ending connections are being closed by either side; they may still carry a
	// job.
	ending
)

// connection is one connection to an upstream. It counts against the connection
// limit until its close is reported.
type connection struct {
	id    model.ConnectionID
	pool  *upstreamPool
	state connectionState
	// job is the job that the connection carries, or nil.
	job *job
	// since is when the connection entered its state.
	since model.Instant
	// openedAt is when the connection was opened; zero if it is not open yet.
	openedAt model.Instant
}

// setState changes the state of the connection.
func (c *connection) setState(ctx *step.Context, state connectionState) {
	c.state = state
	c.since = ctx.Now
}

// releaseAfterReply makes the connection idle after the reply to its job, unless
// either side is closing it.
func (c *connection) releaseAfterReply(ctx *step.Context, closing bool) {
	switch {
	case c.state == ending:
	case closing:
		c.setState(ctx, ending)
	default:
		c.setState(ctx, idle)
	}
}

const (
	// controlConnections is the number of connections in addition to the slots, for
	// status reads and cancellations.
	controlConnections = 1
)

// wantedConnections returns how many connections the pool should have.
func (s *State) wantedConnections(pool *upstreamPool) int {
	if pool.owned && s.settings.OpenAll {
		return pool.maxConnections
	}
	if pool.owned || pool.retiringUntil != 0 {
		return min(pool.maxConnections, pool.slots+controlConnections)
	}
	if len(pool.inFlight) == 0 {
		return 0
	}
	return min(pool.maxConnections, len(pool.inFlight)+controlConnections)
}

// connect opens missing connections, at most MaxOpening at a time. Connections that
// are being closed still count.
func (s *State) connect(ctx *step.Context, pool *upstreamPool) {
	if !pool.owned || pool.connectBackoff.Until > ctx.Now {
		return
	}
	for len(pool.connections) < s.wantedConnections(pool) && pool.countState(connecting) < s.settings.MaxOpening {
		s.open(ctx, pool)
	}
}

// open starts to open one connection.
func (s *State) open(ctx *step.Context, pool *upstreamPool) {
	s.nextConnection++
	c := &connection{id: s.nextConnection, pool: pool, state: connecting, since: ctx.Now}
	pool.connections = append(pool.connections, c)
	s.connections[c.id] = c
	ctx.Emit(effect.OpenConnection{Connection: c.id, Upstream: pool.upstream.ID, Address: pool.upstream.Address})
}

// countState returns how many connections are in a state.
func (p *upstreamPool) countState(state connectionState) int {
	count := 0
	for _, c := range p.connections {
		if c.state == state {
			count++
		}
	}
	return count
}

// HandleOpened handles a connection that has been opened. The first open connection
// begins slow start and requests a status read.
func (s *State) HandleOpened(ctx *step.Context, e event.ConnectionOpened) {
	c := s.connections[e.Connection]
	if c == nil || c.state != connecting {
		return
	}
	pool := c.pool
	first := !pool.hasOpenConnection()
	c.setState(ctx, idle)
	c.openedAt = ctx.Now
	pool.connectBackoff = backoff.Backoff{}
	if first {
		pool.limit.BeginSlowStart(ctx.Now)
		pool.status.due = true
	}
	s.recordReconnect(ctx, pool, reconnectOpened)
	s.reconcile(ctx, pool)
}

// HandleClosed handles the close of a connection, or a failed attempt to open one.
func (s *State) HandleClosed(ctx *step.Context, e event.ConnectionClosed) {
	c := s.connections[e.Connection]
	if c == nil {
		return
	}
	pool := c.pool
	openBefore := pool.openConnections()
	delete(s.connections, c.id)
	pool.connections = slices.DeleteFunc(pool.connections, func(other *connection) bool { return other == c })
	switch {
	case c.state == connecting && e.Refused:
		s.connectFailed(ctx, pool, c)
	case c.state == connecting || c.state == ending || e.Mismatch:
		// A failed attempt, an expected close or a mismatched reply does not
		// indicate a crash.
	default:
		s.recordUnexpectedClose(ctx, pool, openBefore)
	}
	if c.job != nil {
		s.connectionLost(ctx, c, e)
	}
	s.reconcile(ctx, pool)
}

// connectFailed postpones the next attempt to connect. A refusal within
// reconnectTimeout is evidence that the upstream's process is gone.
func (s *State) connectFailed(ctx *step.Context, pool *upstreamPool, c *connection) {
	delay := pool.connectBackoff.Fail(ctx)
	pool.setTimer(ctx, delay, connectTimer)
	if ctx.Now.Sub(c.since) < reconnectTimeout {
		s.recordReconnect(ctx, pool, reconnectRefused)
	}
}

// connectionLost handles the job of a closed connection. A job of which no byte was
// written has not run and is requeued; any other is lost.
func (s *State) connectionLost(ctx *step.Context, c *connection, e event.ConnectionClosed) {
	j, pool := c.job, c.pool
	if e.Mismatch {
		ctx.Count(metricMismatched, string(pool.upstream.ID.Service()))
	}
	if e.Written && e.Attempt == j.request.Attempt {
		pool.limit.Failed(ctx.Now, j.sentAt)
		s.markLost(ctx, j, c.state != ending && !e.Mismatch)
		return
	}
	s.requeue(ctx, j)
}

// requeue puts a sent job that was not written back into the queue. A cancelled
// job, a hedge, and a job of a pool that may no longer send end instead.
func (s *State) requeue(ctx *step.Context, j *job) {
	pool := j.pool
	pool.removeInFlight(j)
	j.connection = nil
	j.alone = false
	switch {
	case j.cancelled:
		s.finish(ctx, j, message.DispatchResult{Status: message.StatusCancelled, Reason: model.CodeCancelled})
	case j.request.Hedge:
		s.finish(ctx, j, *refused(model.CodeOverloaded))
	case !pool.maySend(ctx.Now):
		s.finish(ctx, j, notOwner())
	default:
		ctx.Count(metricRequeued, "")
		pool.push(j)
	}
}

// closeExcessConnections closes connections beyond the wanted number: first those
// that are not open yet, then idle ones.
func (s *State) closeExcessConnections(ctx *step.Context, pool *upstreamPool) {
	excess := len(pool.connections) - pool.countState(ending) - s.wantedConnections(pool)
	for _, state := range [...]connectionState{connecting, idle} {
		for _, c := range pool.connections {
			if excess <= 0 {
				return
			}
			if c.state == state {
				s.close(ctx, c)
				excess--
			}
		}
	}
}

// close starts to close a connection.
func (s *State) close(ctx *step.Context, c *connection) {
	c.setState(ctx, ending)
	ctx.Emit(effect.CloseConnection{Connection: c.id})
}
