package session

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of a handover.
const (
	// handoverInterval is the time between two steps of a handover, and between two
	// sends of an unconfirmed part.
	handoverInterval = 100 * time.Millisecond
	// successorTimeout is how long a sealed home looks for a successor.
	successorTimeout = 2 * time.Second
	// partBytes bounds the estimated size of one part, in bytes.
	partBytes = 512 << 10
	// maxHandoverReply bounds the size in bytes of a reply that is handed over; the
	// outcome of an order with a larger reply is unknown afterwards.
	maxHandoverReply = 256 << 10
)

// phase is the progress of a handover.
type phase uint8

// Phases of a handover.
const (
	// draining waits for running orders.
	draining phase = iota + 1
	// sending sends the records to a successor; another one may still be chosen.
	sending
	// ending notifies the successor that it is now responsible. From here on no other
	// successor may be chosen, because this one may have started orders.
	ending
	// over means that a successor is responsible, or that there will be none.
	over
)

// String returns the name of the phase in the state dump.
func (p phase) String() string {
	return [...]string{"", "draining", "sending", "ending", "over"}[p]
}

// handover is the transfer of this node's sessions to a successor.
type handover struct {
	phase     phase
	startedAt model.Instant
	// noSuccessorSince is when the search for a successor first failed; zero while it
	// has not.
	noSuccessorSince model.Instant
	attempt          uint64
	to               model.Member
	parts            []message.SessionHandover
	acked            []bool
}

// Seal seals the node's sessions permanently and starts the handover to a
// successor.
func (s *State) Seal(ctx *step.Context) {
	if s.handover != nil {
		return
	}
	s.home(ctx, selfOrigin(ctx))
	for _, h := range s.homes {
		h.raiseWatermarks(ctx.Now, s.settings)
		h.role = sealed
	}
	s.handover = &handover{phase: draining, startedAt: ctx.Now}
	ctx.Log(effect.Info, "session", "sealed")
	s.advanceHandover(ctx)
}

// HandedOver reports whether no handover is in progress: none has started, or the
// last one is over.
func (s *State) HandedOver() bool { return s.handover == nil || s.handover.phase == over }

// advanceHandover performs the next step of the handover.
func (s *State) advanceHandover(ctx *step.Context) {
	handover := s.handover
	if handover == nil || handover.phase == over {
		return
	}
	after(ctx, handoverInterval, timerHandover, 0)
	switch handover.phase {
	case draining:
		s.finishDraining(ctx)
	case sending:
		s.resendParts(ctx)
	case ending:
		s.resendEnd(ctx)
	}
}

// finishDraining starts sending once no order runs or DrainFor has passed.
func (s *State) finishDraining(ctx *step.Context) {
	running := 0
	for _, h := range s.homes {
		running += h.running()
	}
	if running > 0 && ctx.Now.Sub(s.handover.startedAt) < s.settings.DrainFor {
		return
	}
	s.chooseSuccessor(ctx)
}

// chooseSuccessor starts an attempt with the highest-ranked serving member, or
// abandons the handover if there has been none for successorTimeout.
func (s *State) chooseSuccessor(ctx *step.Context) {
	handover := s.handover
	to, found := bestSuccessor(ctx)
	if !found {
		if handover.noSuccessorSince == 0 {
			handover.noSuccessorSince = ctx.Now
		}
		if ctx.Now.Sub(handover.noSuccessorSince) >= successorTimeout || len(ctx.View.Members()) <= 1 {
			s.abandonHandover(ctx, "no member can take over the sessions")
		}
		return
	}
	handover.noSuccessorSince = 0
	handover.phase = sending
	handover.attempt++
	handover.to = to
	handover.parts = s.buildParts(ctx, handover.attempt, to.Incarnation)
	handover.acked = make([]bool, len(handover.parts))
	s.sendParts(ctx)
}

// bestSuccessor returns the serving member with the highest rank, a hash of the
// names of this host and the member.
func bestSuccessor(ctx *step.Context) (best model.Member, found bool) {
	var bestRank uint64
	for _, m := range ctx.View.Members() {
		if m.Host == ctx.Self.Host || m.State != model.Serving {
			continue
		}
		rank := xxhash.Sum64String(string(ctx.Self.Host) + "\x00" + string(m.Host))
		if !found || rank > bestRank {
			best, bestRank, found = m, rank, true
		}
	}
	return best, found
}

// sendParts sends the unconfirmed parts.
func (s *State) sendParts(ctx *step.Context) {
	handover := s.handover
	for i, part := range handover.parts {
		if !handover.acked[i] {
			ctx.Send(handover.to.Host, part)
		}
	}
}

// resendParts sends the unconfirmed parts again. If the successor is lost, it
// chooses another one: the lost one cannot have started any order.
func (s *State) resendParts(ctx *step.Context) {
	if s.successorGone(ctx) {
		s.handover.phase = draining
		s.chooseSuccessor(ctx)
		return
	}
	s.sendParts(ctx)
}

// successorGone reports whether the chosen successor can no longer take over.
func (s *State) successorGone(ctx *step.Context) bool {
	member, known := ctx.View.Member(s.handover.to.Host)
	return !known || member.Incarnation != s.handover.to.Incarnation || member.State == model.Failed ||
		(s.handover.phase == sending && member.State == model.Leaving)
}

// HandleHandoverAck handles a successor's confirmation of a part or of the end.
func (s *State) HandleHandoverAck(ctx *step.Context, from model.HostID, m message.HandoverAck) {
	handover := s.handover
	self := selfOrigin(ctx)
	if handover == nil || from != handover.to.Host || m.From != self.host || m.Incarnation != self.incarnation || m.Attempt != handover.attempt {
		return
	}
	switch {
	case handover.phase == ending && m.Part == 0:
		s.finishHandover(ctx)
	case handover.phase == sending && m.Part >= 1 && int(m.Part) <= len(handover.acked):
		handover.acked[m.Part-1] = true
		if !slices.Contains(handover.acked, false) {
			handover.phase = ending
			s.sendEnd(ctx)
		}
	}
}

// sendEnd notifies the successor that it is now responsible for the sessions.
func (s *State) sendEnd(ctx *step.Context) {
	own := s.homes[selfOrigin(ctx)]
	end := movedMessage(own, s.handover.to.Host)
	end.Generation++
	end.Attempt = s.handover.attempt
	ctx.Send(s.handover.to.Host, end)
}

// resendEnd repeats the end until it is confirmed. If the successor is lost, so
// are the outcomes.
func (s *State) resendEnd(ctx *step.Context) {
	if !s.successorGone(ctx) {
		s.sendEnd(ctx)
		return
	}
	ctx.Log(effect.Warning, "session", "the successor was lost during the handover")
	ctx.Count(metricHandover, "lost")
	s.moveHomes(ctx, s.handover.to.Host)
}

// finishHandover announces the successor to all members and moves the homes.
func (s *State) finishHandover(ctx *step.Context) {
	ctx.Log(effect.Info, "session", "handed over",
		effect.Field{Name: "to", Value: string(s.handover.to.Host)})
	ctx.Count(metricHandover, "done")
	for _, h := range s.homesInOrder() {
		moved := movedMessage(h, s.handover.to.Host)
		moved.Generation++
		ctx.Broadcast(moved)
	}
	s.moveHomes(ctx, s.handover.to.Host)
}

// moveHomes removes the homes and sends waiting orders to the successor.
func (s *State) moveHomes(ctx *step.Context, to model.HostID) {
	s.handover.phase = over
	s.handover.parts = nil
	for _, h := range s.homesInOrder() {
		s.successors[h.origin] = successor{host: to, generation: h.generation + 1, receivedAt: ctx.Now}
		s.sessions -= len(h.sessions)
		s.keepOrphans(h)
		delete(s.homes, h.origin)
	}
	s.finished = nil
	s.bytes = 0
	s.resumeForwards(ctx)
}

// keepOrphans keeps the orders that still run, so that the calls that wait on this
// node receive their outcomes.
func (s *State) keepOrphans(h *home) {
	for number, sess := range h.sessions {
		id := model.SessionID{Host: h.origin.host, Incarnation: h.origin.incarnation, Number: number}
		for _, record := range sess.orders {
			if record.answer == nil {
				s.orphans[model.RequestID{Session: id, Sequence: record.sequence}] = record
			}
		}
	}
}

// abandonHandover ends the handover without a successor. No node will ever start
// the sessions' orders, so waiting orders are refused as not run.
func (s *State) abandonHandover(ctx *step.Context, reason string) {
	ctx.Log(effect.Warning, "session", reason)
	ctx.Count(metricHandover, "none")
	s.handover.phase = over
	for _, h := range s.homes {
		h.role = ended
	}
	s.resumeForwards(ctx)
}

// resumeForwards sends the orders that wait for a successor again.
func (s *State) resumeForwards(ctx *step.Context) {
	for _, f := range s.forwardsInOrder() {
		if f.to == "" {
			s.sendForward(ctx, f)
		}
	}
}

// homesInOrder returns the homes sorted by origin.
func (s *State) homesInOrder() []*home {
	all := make([]*home, 0, len(s.homes))
	for _, h := range s.homes {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *home) int { return compareOrigins(a.origin, b.origin) })
	return all
}
