package dispatch

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
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
	// ending connections are being closed by either side.
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
}

// Opening of connections.
const (
	// controlConnections is kept beside the slots for status reads and
	// cancellations.
	controlConnections = 1
	// maxOpening bounds the connections that one lane opens at a time, because
	// each costs the upstream time.
	maxOpening = 1
	// firstBackoff and maxBackoff bound the time between two attempts to connect.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 1 * time.Second
)

// backoff spaces attempts to connect after refusals.
type backoff struct {
	failures int
	// until is the time of the next attempt; zero means now.
	until model.Instant
}

// fail puts the next attempt off, exponentially and with jitter of one half.
func (b *backoff) fail(ctx *step.Context) time.Duration {
	delay := min(maxBackoff, firstBackoff<<min(b.failures, 10))
	b.failures++
	delay = delay/2 + time.Duration(ctx.Random.Int64N(int64(delay/2)))
	b.until = ctx.Now.Add(delay)
	return delay
}

// wantedConnections returns how many connections the lane should have.
func (l *lane) wantedConnections() int {
	if l.owner {
		return min(l.maxConnections, l.slots+controlConnections)
	}
	if len(l.inFlight) == 0 {
		return 0
	}
	return min(l.maxConnections, len(l.inFlight)+controlConnections)
}

// connect opens missing connections, few at a time.
func (s *State) connect(ctx *step.Context, l *lane) {
	if !l.owner || l.opening.until > ctx.Now {
		return
	}
	for len(l.connections) < l.wantedConnections() && l.countState(connecting) < maxOpening {
		s.nextConnection++
		c := &connection{id: s.nextConnection, lane: l, state: connecting, since: ctx.Now}
		l.connections = append(l.connections, c)
		s.connections[c.id] = c
		ctx.Emit(effect.OpenConnection{Connection: c.id, Upstream: l.upstream.ID, Address: l.upstream.Address})
	}
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
	c.state = idle
	l.opening = backoff{}
	if l.status.observed == 0 {
		l.status.due = true
	}
	s.trim(ctx, l)
	s.connect(ctx, l)
	s.pump(ctx, l)
	s.reportIfChanged(ctx, l)
}

// HandleClosed takes in the end of a connection.
func (s *State) HandleClosed(ctx *step.Context, e event.ConnectionClosed) {
	c := s.connections[e.Connection]
	if c == nil {
		return
	}
	l := c.lane
	delete(s.connections, c.id)
	l.connections = slices.DeleteFunc(l.connections, func(other *connection) bool { return other == c })
	if e.Refused && c.state != ending {
		s.setConnectTimer(ctx, l, l.opening.fail(ctx))
	}
	if c.job != nil {
		s.connectionLost(ctx, c.job, e)
	}
	s.connect(ctx, l)
	s.pump(ctx, l)
	s.reportIfChanged(ctx, l)
	s.removeIfUnused(l)
}

// connectionLost settles the job of a connection that ended. A job of which not
// one byte was written goes back to the queue: it has not run.
func (s *State) connectionLost(ctx *step.Context, j *job, e event.ConnectionClosed) {
	l := j.lane
	written := e.Written && e.Attempt == j.request.Attempt
	if written {
		s.finish(ctx, j, message.DispatchResult{Status: message.StatusLost, Reason: model.CodeUnavailable})
		return
	}
	l.removeInFlight(j)
	j.connection = nil
	j.alone = false
	l.queue.Push(&j.waiting)
}

// trim closes idle connections over the wanted number.
func (s *State) trim(ctx *step.Context, l *lane) {
	excess := len(l.connections) - l.countState(ending) - l.wantedConnections()
	for _, c := range l.connections {
		if excess <= 0 {
			return
		}
		if c.state == idle || c.state == connecting {
			s.close(ctx, c)
			excess--
		}
	}
}

// close ends a connection that carries no job.
func (s *State) close(ctx *step.Context, c *connection) {
	c.state = ending
	c.since = ctx.Now
	ctx.Emit(effect.CloseConnection{Connection: c.id})
}
