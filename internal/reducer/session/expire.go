package session

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Intervals of the sweep.
const (
	// sweepInterval is the time between two sweeps of the records.
	sweepInterval = time.Second
	// adoptedRetention is how much longer than Settings.KeepFor the successor of a
	// home and its incoming handover are kept, so that they outlast its sessions.
	adoptedRetention = time.Minute
)

// startSweeping schedules the first sweep, unless sweeps are already scheduled.
func (s *State) startSweeping(ctx *step.Context) {
	if s.sweeping {
		return
	}
	s.sweeping = true
	after(ctx, sweepInterval, timerSweep, 0)
}

// sweep removes expired records and announces adopted sessions to new members.
func (s *State) sweep(ctx *step.Context) {
	after(ctx, sweepInterval, timerSweep, 0)
	for o, h := range s.homes {
		h.raiseWatermarks(ctx.Now, s.settings)
		s.expire(h)
		if o != selfOrigin(ctx) && h.role == active && s.allExpired(ctx, h) {
			delete(s.homes, o)
		}
	}
	for o, next := range s.successors {
		if ctx.Now.Sub(next.receivedAt) > s.settings.KeepFor+adoptedRetention {
			delete(s.successors, o)
		}
	}
	for o, in := range s.incoming {
		if ctx.Now.Sub(in.receivedAt) > s.settings.KeepFor+adoptedRetention {
			delete(s.incoming, o)
		}
	}
	s.compactFinished()
	s.announce(ctx)
}

// expire removes the sessions whose outcomes are no longer kept. A session with a
// running order stays until the order finishes.
func (s *State) expire(h *home) {
	for number, sess := range h.sessions {
		if number > h.expired || sess.running > 0 {
			continue
		}
		for _, o := range sess.orders {
			o.removed = true
			s.bytes -= o.bytes()
		}
		s.bytes -= sessionBytes
		s.sessions--
		delete(h.sessions, number)
	}
}

// allExpired reports whether all sessions that a home ever opened have expired.
func (s *State) allExpired(ctx *step.Context, h *home) bool {
	return len(h.sessions) == 0 && h.issued <= h.expired
}

// compactFinished removes the finished orders whose records were removed.
func (s *State) compactFinished() {
	kept := s.finished[:0]
	for _, o := range s.finished {
		if !o.removed {
			kept = append(kept, o)
		}
	}
	clear(s.finished[len(kept):])
	s.finished = kept
}

// HandleView handles a change of the membership view.
func (s *State) HandleView(ctx *step.Context) { s.announce(ctx) }

// announce notifies members that this node is responsible for the sessions that it
// took over, once per incarnation of a member.
func (s *State) announce(ctx *step.Context) {
	adopted := s.adoptedHomes(ctx)
	if len(adopted) == 0 {
		return
	}
	for _, member := range ctx.View.Members() {
		if member.Host == ctx.Self.Host || s.announced[member.Host] == member.Incarnation {
			continue
		}
		s.announced[member.Host] = member.Incarnation
		for _, h := range adopted {
			ctx.Send(member.Host, movedMessage(h, ctx.Self.Host))
		}
	}
}

// movedMessage returns the message that names the node responsible for a home's
// sessions.
func movedMessage(h *home, to model.HostID) message.SessionMoved {
	return message.SessionMoved{
		From:        h.origin.host,
		Incarnation: h.origin.incarnation,
		To:          to,
		Generation:  h.generation,
	}
}
