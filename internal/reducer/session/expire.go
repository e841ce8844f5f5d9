package session

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Times of the sweep.
const (
	// sweepInterval is the time between two looks at the records.
	sweepInterval = time.Second
	// adoptedLinger is how long after the newest session of a home could have
	// expired its record is kept.
	adoptedLinger = time.Minute
)

// startSweeping sets the first sweep once there is something to sweep.
func (s *State) startSweeping(ctx *step.Context) {
	if s.sweeping {
		return
	}
	s.sweeping = true
	after(ctx, sweepInterval, timerSweep, 0)
}

// sweep drops what has expired and tells new members who took over sessions.
func (s *State) sweep(ctx *step.Context) {
	after(ctx, sweepInterval, timerSweep, 0)
	for o, h := range s.homes {
		h.age(ctx.Now, s.settings)
		s.expire(h)
		if o != selfOf(ctx) && h.role == active && s.isOver(ctx, h) {
			delete(s.homes, o)
		}
	}
	for o, next := range s.moved {
		if ctx.Now.Sub(next.heard) > s.settings.KeepFor+adoptedLinger {
			delete(s.moved, o)
		}
	}
	for o, in := range s.incoming {
		if ctx.Now.Sub(in.heard) > s.settings.KeepFor+adoptedLinger {
			delete(s.incoming, o)
		}
	}
	s.compactFinished()
	s.announce(ctx)
}

// expire drops the sessions whose outcomes are no longer kept. A session with a
// running order stays until the order has ended.
func (s *State) expire(h *home) {
	for number, found := range h.sessions {
		if number > h.expired || found.running > 0 {
			continue
		}
		for _, o := range found.orders {
			o.dropped = true
			s.bytes -= o.bytes()
		}
		s.bytes -= sessionBytes
		s.sessions--
		delete(h.sessions, number)
	}
}

// isOver reports whether all sessions that a home ever opened have expired.
func (s *State) isOver(ctx *step.Context, h *home) bool {
	return len(h.sessions) == 0 && h.issued <= h.expired
}

// compactFinished drops the entries of finished orders whose records are gone.
func (s *State) compactFinished() {
	kept := s.finished[:0]
	for _, o := range s.finished {
		if !o.dropped {
			kept = append(kept, o)
		}
	}
	clear(s.finished[len(kept):])
	s.finished = kept
}

// HandleView takes in a changed view of the members.
func (s *State) HandleView(ctx *step.Context) { s.announce(ctx) }

// announce tells members that have not heard it who answers for the sessions
// that this node took over.
func (s *State) announce(ctx *step.Context) {
	adopted := s.adopted(ctx)
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

// movedMessage returns the news of who answers for a home's sessions.
func movedMessage(h *home, to model.HostID) message.SessionMoved {
	return message.SessionMoved{
		From:        h.origin.host,
		Incarnation: h.origin.incarnation,
		To:          to,
		Generation:  h.generation,
	}
}
