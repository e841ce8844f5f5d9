package relay

import (
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// All attempts of a request carry the identifier that its caller chose, and replies are matched
// by it. An upstream in trouble may repeat a reply at any later time on the same connection. If
// a part is offered to the same upstream again, a late copy of the first reply must not be taken
// for the second one, so that the attempt needs a connection that has not carried the part.

// wasSentOn reports whether an earlier attempt of the same part was sent on a connection.
func (a *attempt) wasSentOn(c *connection) bool {
	for _, other := range a.request.parts[a.part].attempts {
		if other != a && other.sentOn == c.id {
			return true
		}
	}
	return false
}

// isResend reports whether an earlier attempt of the same part was sent to the same upstream.
func (a *attempt) isResend() bool {
	for _, other := range a.request.parts[a.part].attempts {
		if other != a && other.pool == a.pool && other.sentOn != 0 {
			return true
		}
	}
	return false
}

// nextToSend returns the next waiting attempt and the idle connection for it, or no connection
// if a new one is needed. While a part that is offered again waits for a new connection, others
// use the idle ones.
func (s *State) nextToSend(ctx *step.Context, pool *upstreamPool) (*attempt, *connection) {
	first := pool.waiting.First().Value
	if c := s.idleConnection(ctx, pool, first); c != nil || !first.isResend() {
		return first, c
	}
	var next *attempt
	earliest := model.Instant(0)
	for _, e := range pool.waiting.Entries() {
		if !e.Value.isResend() && (next == nil || e.Deadline < earliest) {
			next, earliest = e.Value, e.Deadline
		}
	}
	if next == nil {
		return first, nil
	}
	return next, s.idleConnection(ctx, pool, next)
}

// makeRoom closes an idle connection if the pool has no room for a new one. The waiting
// attempts cannot use it.
func (s *State) makeRoom(ctx *step.Context, pool *upstreamPool) {
	if len(pool.connections) < pool.maxConnections {
		return
	}
	for _, c := range pool.connections {
		if c.state == closing {
			return
		}
	}
	for _, c := range pool.connections {
		if c.state == idle {
			s.closeConnection(ctx, c)
			return
		}
	}
}

// reassignResent offers the parts that wait for a new connection to other upstreams. It is
// called when none can be opened.
func (s *State) reassignResent(ctx *step.Context, pool *upstreamPool) {
	for _, e := range pool.waiting.Entries() {
		if e.Value.isResend() {
			s.reassignUnsent(ctx, e.Value, model.CodeUnavailable)
		}
	}
}
