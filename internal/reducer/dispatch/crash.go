package dispatch

import (
	"bytes"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// disconnectWindow is how long to wait, after the first unexpected close of a
	// connection, for the upstream's other connections to close: a process that
	// dies closes all of them at once.
	disconnectWindow = 20 * time.Millisecond
	// correlationWindow is the maximum time between the disconnects of two pools
	// that are taken to have a common cause.
	correlationWindow = 100 * time.Millisecond
	// reconnectTimeout is how long to wait for the outcome of a reconnection. The
	// host of a dead process refuses it within a round trip; a lost network does
	// not answer.
	reconnectTimeout = 250 * time.Millisecond
)

// reconnectOutcome is the outcome of the first reconnection after a disconnect.
type reconnectOutcome uint8

const (
	reconnectPending reconnectOutcome = iota
	reconnectOpened
	reconnectRefused
)

// disconnect describes the latest unexpected loss of connections to an upstream.
// The results of the lost jobs are delayed until it is known whether the upstream
// crashed: otherwise their coordinator would retry on another upstream a request
// that may have crashed this one.
type disconnect struct {
	// startedAt is when the first connection closed unexpectedly; zero if none did.
	startedAt model.Instant
	// openBefore is how many connections were open before.
	openBefore int
	reconnect  reconnectOutcome
	// suspects are the lost jobs that wait for the classification of the disconnect.
	suspects []*job
	// bodies are the request bodies of all suspects since startedAt.
	bodies [][]byte
}

// isOver reports whether a further unexpected close starts a new disconnect.
func (d *disconnect) isOver(now model.Instant) bool {
	return d.startedAt == 0 || len(d.suspects) == 0 && now.Sub(d.startedAt) > disconnectWindow
}

// recordUnexpectedClose records that an open connection closed although neither
// side had announced it.
func (s *State) recordUnexpectedClose(ctx *step.Context, pool *upstreamPool, openBefore int) {
	if pool.disconnect.isOver(ctx.Now) {
		pool.disconnect = disconnect{startedAt: ctx.Now, openBefore: openBefore}
	}
}

// markLost ends a job that was written and gets no reply. If its connection closed
// unexpectedly, the result is delayed until the disconnect is classified.
func (s *State) markLost(ctx *step.Context, j *job, unexpected bool) {
	pool := j.pool
	ctx.Count(metricLost, string(pool.upstream.ID.Service()))
	pool.removeInFlight(j)
	j.connection = nil
	if !unexpected {
		s.finish(ctx, j, lost(false))
		return
	}
	if len(pool.disconnect.suspects) == 0 {
		pool.setTimer(ctx, disconnectWindow, disconnectTimer)
	}
	pool.disconnect.suspects = append(pool.disconnect.suspects, j)
	pool.disconnect.bodies = append(pool.disconnect.bodies, j.request.Body)
}

// lost returns the result of a job that was written and got no reply.
func lost(crash bool) message.DispatchResult {
	return message.DispatchResult{Status: message.StatusLost, Reason: model.CodeUnavailable, Crash: crash}
}

// recordReconnect records the outcome of the first reconnection after a disconnect.
func (s *State) recordReconnect(ctx *step.Context, pool *upstreamPool, outcome reconnectOutcome) {
	if pool.disconnect.reconnect != reconnectPending || len(pool.disconnect.suspects) == 0 {
		return
	}
	pool.disconnect.reconnect = outcome
	s.classifyDisconnect(ctx, pool)
}

// classifyDisconnect decides whether the upstream crashed, and then ends the
// suspects. It is no crash if a connection survived. It is one if more than one
// connection was open and no unrelated pool disconnected at the same time.
// Otherwise it is one only if the reconnection is refused.
func (s *State) classifyDisconnect(ctx *step.Context, pool *upstreamPool) {
	d := &pool.disconnect
	elapsed := ctx.Now.Sub(d.startedAt)
	if len(d.suspects) == 0 || elapsed < disconnectWindow {
		return
	}
	switch {
	case pool.hasSurvivingConnection():
		s.finishSuspects(ctx, pool, false)
	case d.openBefore > 1 && !s.unrelatedDisconnect(pool):
		s.finishSuspects(ctx, pool, true)
	case d.reconnect != reconnectPending || elapsed >= reconnectTimeout:
		s.finishSuspects(ctx, pool, d.reconnect == reconnectRefused)
	default:
		pool.setTimer(ctx, reconnectTimeout-elapsed, disconnectTimer)
	}
}

// hasSurvivingConnection reports whether a connection from before the disconnect
// still exists.
func (p *upstreamPool) hasSurvivingConnection() bool {
	for _, c := range p.connections {
		if c.openedAt != 0 && c.openedAt < p.disconnect.startedAt {
			return true
		}
	}
	return false
}

// unrelatedDisconnect reports whether another pool lost all its connections at the
// same time without having run the same request body. That points to a fault of
// the network or of this host rather than to a request that crashes upstreams.
func (s *State) unrelatedDisconnect(pool *upstreamPool) bool {
	for _, other := range s.pools {
		if other == pool || other.disconnect.startedAt == 0 || other.hasSurvivingConnection() {
			continue
		}
		distance := other.disconnect.startedAt.Sub(pool.disconnect.startedAt)
		if distance.Abs() <= correlationWindow && !shareBody(&other.disconnect, &pool.disconnect) {
			return true
		}
	}
	return false
}

// shareBody reports whether both disconnects have a suspect with the same body.
func shareBody(a, b *disconnect) bool {
	for _, x := range a.bodies {
		for _, y := range b.bodies {
			if bytes.Equal(x, y) {
				return true
			}
		}
	}
	return false
}

// finishSuspects ends the suspects as lost. If the upstream crashed, all of them are
// marked with the crash, because each may have caused it.
func (s *State) finishSuspects(ctx *step.Context, pool *upstreamPool, crash bool) {
	suspects := pool.disconnect.suspects
	pool.disconnect.suspects = nil
	if crash {
		ctx.Count(metricCrashes, string(pool.upstream.ID.Service()))
		ctx.Log(effect.Warning, component, "upstream crashed",
			effect.Field{Name: "upstream", Value: string(pool.upstream.ID)})
	}
	for _, j := range suspects {
		s.finish(ctx, j, lost(crash))
	}
}
