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
	// collapseWindow is how long after the first unexpected end of a connection
	// the ends of the upstream's others are waited for: a process that dies ends
	// all of them at once.
	collapseWindow = 20 * time.Millisecond
	// relatedWindow is how close in time the collapses of two lanes are taken
	// together.
	relatedWindow = 100 * time.Millisecond
	// probeTimeout is how long the outcome of a reconnection is waited for. A
	// process that is gone refuses within a round trip; a lost network does not
	// answer.
	probeTimeout = 250 * time.Millisecond
)

// probe is the outcome of the first reconnection after a collapse.
type probe uint8

const (
	probePending probe = iota
	probeOpened
	probeRefused
)

// collapse is what is known of the latest unexpected end of connections. The
// jobs that were lost are held back for a moment, until it is clear whether the
// upstream crashed: their coordinator would otherwise repeat on another upstream
// what may have crashed this one.
type collapse struct {
	// at is when the first connection ended unexpectedly; zero if none did.
	at model.Instant
	// open is how many connections were open before.
	open  int
	probe probe
	// suspects are the jobs that were written and got no reply.
	suspects []*job
	// bodies are the bodies of all suspects since at.
	bodies [][]byte
}

// isOver reports whether a new unexpected end starts another collapse.
func (c *collapse) isOver(now model.Instant) bool {
	return c.at == 0 || len(c.suspects) == 0 && now.Sub(c.at) > collapseWindow
}

// noteUnexpectedEnd takes in that an open connection ended though neither side
// had announced it.
func (s *State) noteUnexpectedEnd(ctx *step.Context, l *lane, openBefore int) {
	if l.collapse.isOver(ctx.Now) {
		l.collapse = collapse{at: ctx.Now, open: openBefore}
	}
}

// lose ends a job that was written and gets no reply. It may be held back first.
func (s *State) lose(ctx *step.Context, j *job, unexpected bool) {
	l := j.lane
	ctx.Count(metricLost, string(l.upstream.ID.Service()))
	l.removeInFlight(j)
	j.connection = nil
	if !unexpected {
		s.finish(ctx, j, lost(false))
		return
	}
	if len(l.collapse.suspects) == 0 {
		l.setTimer(ctx, collapseWindow, collapseTimer)
	}
	l.collapse.suspects = append(l.collapse.suspects, j)
	l.collapse.bodies = append(l.collapse.bodies, j.request.Body)
}

// lost returns the result of a job that was written and got no reply.
func lost(crash bool) message.DispatchResult {
	return message.DispatchResult{Status: message.StatusLost, Reason: model.CodeUnavailable, Crash: crash}
}

// noteProbe takes in the outcome of an attempt to connect.
func (s *State) noteProbe(ctx *step.Context, l *lane, outcome probe) {
	if l.collapse.probe != probePending || len(l.collapse.suspects) == 0 {
		return
	}
	l.collapse.probe = outcome
	s.judgeCollapse(ctx, l)
}

// judgeCollapse settles the suspects once the signs are clear.
func (s *State) judgeCollapse(ctx *step.Context, l *lane) {
	c := &l.collapse
	elapsed := ctx.Now.Sub(c.at)
	if len(c.suspects) == 0 || elapsed < collapseWindow {
		return
	}
	switch {
	case l.hasSurvivors():
		s.settleSuspects(ctx, l, false)
	case c.open > 1 && !s.othersCollapsed(l):
		s.settleSuspects(ctx, l, true)
	case c.probe != probePending || elapsed >= probeTimeout:
		s.settleSuspects(ctx, l, c.probe == probeRefused)
	default:
		l.setTimer(ctx, probeTimeout-elapsed, collapseTimer)
	}
}

// hasSurvivors reports whether a connection from before the collapse is open.
func (l *lane) hasSurvivors() bool {
	for _, c := range l.connections {
		if c.opened != 0 && c.opened < l.collapse.at {
			return true
		}
	}
	return false
}

// othersCollapsed reports whether another lane lost all its connections at the
// same time without having run the same content. That is a sign of the network
// or of this host rather than of a request.
func (s *State) othersCollapsed(l *lane) bool {
	for _, other := range s.lanes {
		if other == l || other.collapse.at == 0 || other.hasSurvivors() {
			continue
		}
		distance := other.collapse.at.Sub(l.collapse.at)
		if distance.Abs() <= relatedWindow && !shareBody(&other.collapse, &l.collapse) {
			return true
		}
	}
	return false
}

// shareBody reports whether both collapses have a suspect with one content.
func shareBody(a, b *collapse) bool {
	for _, x := range a.bodies {
		for _, y := range b.bodies {
			if bytes.Equal(x, y) {
				return true
			}
		}
	}
	return false
}

// settleSuspects ends the held jobs. When several were in flight, each of them
// may have caused the crash.
func (s *State) settleSuspects(ctx *step.Context, l *lane, crash bool) {
	suspects := l.collapse.suspects
	l.collapse.suspects = nil
	if crash {
		ctx.Count(metricCrashes, string(l.upstream.ID.Service()))
		ctx.Log(effect.Warning, component, "upstream crashed",
			effect.Field{Name: "upstream", Value: string(l.upstream.ID)})
	}
	for _, j := range suspects {
		s.finish(ctx, j, lost(crash))
	}
}
