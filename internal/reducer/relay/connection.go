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

// connectionState is what a connection is used for now.
type connectionState uint8

const (
	connecting connectionState = iota + 1
	idle
	working
	// ending connections are being closed; they still count against the limit.
	ending
)

// connection is one connection to an upstream.
type connection struct {
	id      model.ConnectionID
	lane    *lane
	state   connectionState
	attempt *attempt
	// opening is when the connection was asked for.
	opening model.Instant
	// expires is when the upstream may close the idle connection; zero if unknown.
	expires model.Instant
}

// idleMargin is kept from the upstream's idle timeout, so that a request does not
// cross its close.
const idleMargin = 500 * time.Millisecond

// idleConnection returns a connection that can take a request, the one used last,
// or nil. It closes those that the upstream may be about to close.
func (s *State) idleConnection(ctx *step.Context, l *lane) *connection {
	for _, c := range slices.Backward(l.connections) {
		if c.state != idle {
			continue
		}
		if c.expires != 0 && ctx.Now >= c.expires {
			s.end(ctx, c)
			continue
		}
		return c
	}
	return nil
}

// connect opens a connection if the lane may have another.
func (s *State) connect(ctx *step.Context, l *lane) {
	if l.gone || l.opening.Until > ctx.Now || len(l.connections) >= l.maxConnections {
		return
	}
	opening := 0
	for _, c := range l.connections {
		if c.state == connecting {
			opening++
		}
	}
	if opening >= maxOpening {
		return
	}
	s.nextConnection++
	c := &connection{id: s.nextConnection, lane: l, state: connecting, opening: ctx.Now}
	l.connections = append(l.connections, c)
	s.connections[c.id] = c
	ctx.Emit(effect.OpenConnection{Connection: c.id, Upstream: l.record.Upstream.ID, Address: l.record.Upstream.Address})
}

// end closes a connection.
func (s *State) end(ctx *step.Context, c *connection) {
	if c.state == ending {
		return
	}
	c.state = ending
	ctx.Emit(effect.CloseConnection{Connection: c.id})
}

// trim closes what a leaving upstream does not need any more.
func (s *State) trim(ctx *step.Context, l *lane) {
	for _, c := range l.connections {
		if c.state == connecting || c.state == idle {
			s.end(ctx, c)
		}
	}
}

// HandleOpened takes in a new connection.
func (s *State) HandleOpened(ctx *step.Context, e event.ConnectionOpened) {
	c := s.connections[e.Connection]
	if c == nil || c.state != connecting {
		return
	}
	l := c.lane
	c.state = idle
	if l.opening.Failures > 0 {
		l.opening = backoff.Backoff{}
		ctx.Log(effect.Info, component, "upstream regained", upstreamFields(l)...)
	}
	s.judgeCrash(ctx, l, false)
	s.pump(ctx, l)
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
	if c.state == connecting {
		s.connectFailed(ctx, l, e)
	}
	if a := c.attempt; a != nil {
		s.lose(ctx, c, a, e)
	}
	s.forgetIfUnused(l)
	s.pump(ctx, l)
}

// connectFailed puts the next attempt to connect off, and places what waits
// elsewhere if the upstream cannot be reached at all.
func (s *State) connectFailed(ctx *step.Context, l *lane, e event.ConnectionClosed) {
	ctx.Count(metricConnectFails, "")
	if l.opening.Failures == 0 {
		ctx.Log(effect.Warning, component, "upstream lost", append(upstreamFields(l), effect.Field{Name: "reason", Value: e.Reason})...)
		l.noteOutcome(ctx.Now, true)
	}
	delay := l.opening.Fail(ctx)
	s.judgeCrash(ctx, l, true)
	after(ctx, delay, l.number, laneTimer)
	if l.openConnections() == 0 {
		s.moveWaiting(ctx, l)
	}
}

// probe connects again to an upstream that could not be reached.
func (s *State) probe(ctx *step.Context, l *lane) {
	if l.opening.Failures > 0 && l.openConnections() == 0 && !l.record.Upstream.Draining {
		s.connect(ctx, l)
	}
}

// lose settles the attempt of a connection that ended without a reply.
func (s *State) lose(ctx *step.Context, c *connection, a *attempt, e event.ConnectionClosed) {
	l := c.lane
	l.removeInFlight(a)
	a.connection = nil
	if a.abandoned {
		s.finishAbandoned(a)
		return
	}
	if !e.Written {
		s.requeue(ctx, l, a)
		return
	}
	ctx.Count(metricLost, "")
	l.limit.Failed(ctx.Now, a.sent)
	l.noteOutcome(ctx.Now, true)
	if c.state != ending && !e.Mismatch {
		s.suspectCrash(ctx, l, a)
	}
	s.settleAttempt(ctx, a, message.StatusLost, model.CodeUnavailable)
}

// requeue takes in that an attempt was not written after all.
func (s *State) requeue(ctx *step.Context, l *lane, a *attempt) {
	a.request.parts[a.part].ran--
	a.sent = 0
	if !l.usable() {
		s.settleUnsent(ctx, a, model.CodeUnavailable)
		return
	}
	l.waiting.Push(&a.waiting)
}

// removeInFlight takes an attempt off the list of sent ones.
func (l *lane) removeInFlight(a *attempt) {
	l.inFlight = slices.DeleteFunc(l.inFlight, func(other *attempt) bool { return other == a })
}

// fade returns how much of something is left after a time.
func fade(elapsed, constant time.Duration) float64 {
	return math.Exp(-float64(max(0, elapsed)) / float64(constant))
}

// upstreamFields names a lane's upstream in log lines.
func upstreamFields(l *lane) []effect.Field {
	return []effect.Field{
		{Name: "upstream", Value: string(l.record.Upstream.ID)},
		{Name: "address", Value: l.record.Upstream.Address},
	}
}

// countField returns a log field with a number.
func countField(name string, n int) effect.Field {
	return effect.Field{Name: name, Value: strconv.Itoa(n)}
}
