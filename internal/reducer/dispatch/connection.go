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

// connectionState is what a connection is used for now.
type connectionState uint8

const (
	// connecting connections are not open yet.
	connecting connectionState = iota + 1
	// idle connections can take a request.
	idle
	// working connections carry a job.
	working
	// controlling connections carry a status read or a cancellation.
	controlling
	// ending connections are being closed by either side; they may still carry a
	// job.
	ending
)

// connection is one connection to an upstream. It counts against the upstream's
// limit until its end is reported.
type connection struct {
	id    model.ConnectionID
	lane  *lane
	state connectionState
	// job is the job that the connection carries, or nil.
	job *job
	// since is when the connection took its state on.
	since model.Instant
	// opened is when the connection was opened; zero before.
	opened model.Instant
}

// take puts the connection to a use.
func (c *connection) take(ctx *step.Context, state connectionState) {
	c.state = state
	c.since = ctx.Now
}

// endWork takes in that the connection's job has got its reply.
func (c *connection) endWork(ctx *step.Context, closing bool) {
	switch {
	case c.state == ending:
	case closing:
		c.take(ctx, ending)
	default:
		c.take(ctx, idle)
	}
}

// Opening of connections.
const (
	// controlConnections is kept beside the slots for status reads and
	// cancellations.
	controlConnections = 1
)

// wantedConnections returns how many connections the lane should have.
func (s *State) wantedConnections(l *lane) int {
	if l.owner && s.settings.OpenAll {
		return l.maxConnections
	}
	if l.owner || l.retires != 0 {
		return min(l.maxConnections, l.slots+controlConnections)
	}
	if len(l.inFlight) == 0 {
		return 0
	}
	return min(l.maxConnections, len(l.inFlight)+controlConnections)
}

// connect opens missing connections, few at a time. Connections that are being
// closed still count.
func (s *State) connect(ctx *step.Context, l *lane) {
	if !l.owner || l.opening.Until > ctx.Now {
		return
	}
	for len(l.connections) < s.wantedConnections(l) && l.countState(connecting) < s.settings.MaxOpening {
		s.open(ctx, l)
	}
}

// open opens one connection.
func (s *State) open(ctx *step.Context, l *lane) {
	s.nextConnection++
	c := &connection{id: s.nextConnection, lane: l, state: connecting, since: ctx.Now}
	l.connections = append(l.connections, c)
	s.connections[c.id] = c
	ctx.Emit(effect.OpenConnection{Connection: c.id, Upstream: l.upstream.ID, Address: l.upstream.Address})
}

// countState returns how many connections are in a state.
func (l *lane) countState(state connectionState) int {
	count := 0
	for _, c := range l.connections {
		if c.state == state {
			count++
		}
	}
	return count
}

// HandleOpened takes in a new connection.
func (s *State) HandleOpened(ctx *step.Context, e event.ConnectionOpened) {
	c := s.connections[e.Connection]
	if c == nil || c.state != connecting {
		return
	}
	l := c.lane
	first := !l.isOpen()
	c.take(ctx, idle)
	c.opened = ctx.Now
	l.opening = backoff.Backoff{}
	if first {
		l.limit.StartSlowly(ctx.Now)
		l.status.due = true
	}
	s.noteProbe(ctx, l, probeOpened)
	s.proceed(ctx, l)
}

// HandleClosed takes in the end of a connection.
func (s *State) HandleClosed(ctx *step.Context, e event.ConnectionClosed) {
	c := s.connections[e.Connection]
	if c == nil {
		return
	}
	l := c.lane
	openBefore := l.openConnections()
	delete(s.connections, c.id)
	l.connections = slices.DeleteFunc(l.connections, func(other *connection) bool { return other == c })
	switch {
	case c.state == connecting && e.Refused:
		s.connectFailed(ctx, l, c)
	case c.state == connecting || c.state == ending || e.Mismatch:
		// The node closed it, or the upstream announced it: no sign of a crash.
	default:
		s.noteUnexpectedEnd(ctx, l, openBefore)
	}
	if c.job != nil {
		s.connectionLost(ctx, c, e)
	}
	s.proceed(ctx, l)
}

// connectFailed puts the next attempt to connect off.
func (s *State) connectFailed(ctx *step.Context, l *lane, c *connection) {
	delay := l.opening.Fail(ctx)
	l.setTimer(ctx, delay, connectTimer)
	if ctx.Now.Sub(c.since) < probeTimeout {
		s.noteProbe(ctx, l, probeRefused)
	}
}

// connectionLost settles the job of a connection that ended. A job of which not
// one byte was written goes back to the queue: it has not run.
func (s *State) connectionLost(ctx *step.Context, c *connection, e event.ConnectionClosed) {
	j, l := c.job, c.lane
	if e.Mismatch {
		ctx.Count(metricMismatched, string(l.upstream.ID.Service()))
	}
	if e.Written && e.Attempt == j.request.Attempt {
		l.limit.Failed(ctx.Now, j.sent)
		s.lose(ctx, j, c.state != ending && !e.Mismatch)
		return
	}
	s.requeue(ctx, j)
}

// requeue takes in that a sent job was not written after all. It goes back to the
// queue, unless its coordinator has no more use for it or it must not wait.
func (s *State) requeue(ctx *step.Context, j *job) {
	l := j.lane
	l.removeInFlight(j)
	j.connection = nil
	j.alone = false
	switch {
	case j.cancelled:
		s.finish(ctx, j, message.DispatchResult{Status: message.StatusCancelled, Reason: model.CodeCancelled})
	case j.request.Hedge:
		s.finish(ctx, j, *refused(model.CodeOverloaded))
	case !l.serves(ctx.Now):
		s.finish(ctx, j, notOwner())
	default:
		ctx.Count(metricRequeued, "")
		l.push(j)
	}
}

// trim closes connections over the wanted number: those that are not open yet
// first.
func (s *State) trim(ctx *step.Context, l *lane) {
	excess := len(l.connections) - l.countState(ending) - s.wantedConnections(l)
	for _, state := range [...]connectionState{connecting, idle} {
		for _, c := range l.connections {
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

// close ends a connection.
func (s *State) close(ctx *step.Context, c *connection) {
	c.take(ctx, ending)
	ctx.Emit(effect.CloseConnection{Connection: c.id})
}
