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
	// handoverInterval is the time between two looks at a handover, and between
	// two sends of a part.
	handoverInterval = 100 * time.Millisecond
	// successorWait is how long a sealed home looks for a successor.
	successorWait = 2 * time.Second
	// partBytes bounds the estimated size of one part.
	partBytes = 512 << 10
	// maxHandedReply bounds a reply that is handed over; the outcome of an order
	// with a larger one is unknown afterwards.
	maxHandedReply = 256 << 10
)

// phase is how far a handover has come.
type phase uint8

// The phases of a handover.
const (
	// draining waits for running orders.
	draining phase = iota + 1
	// sending passes the records to a successor; another may still be chosen.
	sending
	// ending tells the one successor that it answers now. There is no way back:
	// the successor may have started orders.
	ending
	// over means that a successor answers, or that nobody will.
	over
)

// String returns the name that the state dump shows.
func (p phase) String() string {
	return [...]string{"", "draining", "sending", "ending", "over"}[p]
}

// handover is the passing of this node's sessions to a successor.
type handover struct {
	phase phase
	began model.Instant
	// searched is when a successor was first looked for in vain; zero before.
	searched model.Instant
	attempt  uint64
	to       model.Member
	parts    []message.SessionHandover
	acked    []bool
}

// Seal ends the node's sessions for good and starts the handover to a successor.
func (s *State) Seal(ctx *step.Context) {
	if s.handover != nil {
		return
	}
	s.home(ctx, selfOf(ctx))
	for _, h := range s.homes {
		h.age(ctx.Now, s.settings)
		h.role = sealed
	}
	s.handover = &handover{phase: draining, began: ctx.Now}
	ctx.Log(effect.Info, "session", "sealed")
	s.stepHandover(ctx)
}

// HandedOver reports whether nothing is left to hand over.
func (s *State) HandedOver() bool { return s.handover == nil || s.handover.phase == over }

// stepHandover carries the handover on.
func (s *State) stepHandover(ctx *step.Context) {
	o := s.handover
	if o == nil || o.phase == over {
		return
	}
	after(ctx, handoverInterval, timerHandover, 0)
	switch o.phase {
	case draining:
		s.finishDraining(ctx)
	case sending:
		s.resendParts(ctx)
	case ending:
		s.resendEnd(ctx)
	}
}

// finishDraining begins to send once no order runs, or when the wait is over.
func (s *State) finishDraining(ctx *step.Context) {
	running := 0
	for _, h := range s.homes {
		running += h.running()
	}
	if running > 0 && ctx.Now.Sub(s.handover.began) < s.settings.DrainFor {
		return
	}
	s.chooseSuccessor(ctx)
}

// chooseSuccessor begins an attempt with the best live member, or gives up when
// there was none for long enough.
func (s *State) chooseSuccessor(ctx *step.Context) {
	o := s.handover
	to, found := bestSuccessor(ctx)
	if !found {
		if o.searched == 0 {
			o.searched = ctx.Now
		}
		if ctx.Now.Sub(o.searched) >= successorWait || len(ctx.View.Members()) <= 1 {
			s.giveUp(ctx, "no member can take the sessions over")
		}
		return
	}
	o.searched = 0
	o.phase = sending
	o.attempt++
	o.to = to
	o.parts = s.buildParts(ctx, o.attempt, to.Incarnation)
	o.acked = make([]bool, len(o.parts))
	s.sendParts(ctx)
}

// bestSuccessor returns the serving member that ranks first for this node.
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

// sendParts sends the parts that are not confirmed.
func (s *State) sendParts(ctx *step.Context) {
	o := s.handover
	for i, part := range o.parts {
		if !o.acked[i] {
			ctx.Send(o.to.Host, part)
		}
	}
}

// resendParts sends the unconfirmed parts again, or chooses another successor
// when the first is gone: it cannot have started anything.
func (s *State) resendParts(ctx *step.Context) {
	if s.successorGone(ctx) {
		s.handover.phase = draining
		s.chooseSuccessor(ctx)
		return
	}
	s.sendParts(ctx)
}

// successorGone reports whether the chosen successor cannot take over any more.
func (s *State) successorGone(ctx *step.Context) bool {
	member, known := ctx.View.Member(s.handover.to.Host)
	return !known || member.Incarnation != s.handover.to.Incarnation || member.State == model.Failed ||
		(s.handover.phase == sending && member.State == model.Leaving)
}

// HandleHandoverAck takes in a successor's confirmation.
func (s *State) HandleHandoverAck(ctx *step.Context, from model.HostID, m message.HandoverAck) {
	o := s.handover
	self := selfOf(ctx)
	if o == nil || from != o.to.Host || m.From != self.host || m.Incarnation != self.incarnation || m.Attempt != o.attempt {
		return
	}
	switch {
	case o.phase == ending && m.Part == 0:
		s.finishHandover(ctx)
	case o.phase == sending && m.Part >= 1 && int(m.Part) <= len(o.acked):
		o.acked[m.Part-1] = true
		if !slices.Contains(o.acked, false) {
			o.phase = ending
			s.sendEnd(ctx)
		}
	}
}

// sendEnd tells the successor that it answers for the sessions from now on.
func (s *State) sendEnd(ctx *step.Context) {
	own := s.homes[selfOf(ctx)]
	end := movedMessage(own, s.handover.to.Host)
	end.Generation++
	end.Attempt = s.handover.attempt
	ctx.Send(s.handover.to.Host, end)
}

// resendEnd repeats the end until it is confirmed. If the successor is gone, its
// outcomes are too.
func (s *State) resendEnd(ctx *step.Context) {
	if !s.successorGone(ctx) {
		s.sendEnd(ctx)
		return
	}
	ctx.Log(effect.Warning, "session", "the successor was lost during the handover")
	ctx.Count(metricHandover, "lost")
	s.moveHomes(ctx, s.handover.to.Host)
}

// finishHandover passes on what waited for the successor and tells all members.
func (s *State) finishHandover(ctx *step.Context) {
	ctx.Log(effect.Info, "session", "handed over",
		effect.Field{Name: "to", Value: string(s.handover.to.Host)})
	ctx.Count(metricHandover, "done")
	for _, h := range s.homesInOrder() {
		news := movedMessage(h, s.handover.to.Host)
		news.Generation++
		ctx.Broadcast(news)
	}
	s.moveHomes(ctx, s.handover.to.Host)
}

// moveHomes forgets the sessions and sends waiting orders to the successor.
func (s *State) moveHomes(ctx *step.Context, to model.HostID) {
	s.handover.phase = over
	s.handover.parts = nil
	for _, h := range s.homesInOrder() {
		s.moved[h.origin] = successor{host: to, generation: h.generation + 1, heard: ctx.Now}
		s.sessions -= len(h.sessions)
		s.keepOrphans(h)
		delete(s.homes, h.origin)
	}
	s.finished = nil
	s.bytes = 0
	s.resumeForwards(ctx)
}

// keepOrphans notes the orders that still run, so that the calls that wait here
// get their outcomes.
func (s *State) keepOrphans(h *home) {
	for number, found := range h.sessions {
		id := model.SessionID{Host: h.origin.host, Incarnation: h.origin.incarnation, Number: number}
		for _, kept := range found.orders {
			if kept.answer == nil {
				s.orphans[model.RequestID{Session: id, Sequence: kept.sequence}] = kept
			}
		}
	}
}

// giveUp ends the handover without a successor: nobody will ever start the
// sessions' orders, so that what waits is truly not run.
func (s *State) giveUp(ctx *step.Context, reason string) {
	ctx.Log(effect.Warning, "session", reason)
	ctx.Count(metricHandover, "none")
	s.handover.phase = over
	for _, h := range s.homes {
		h.role = ended
	}
	s.resumeForwards(ctx)
}

// resumeForwards tries the orders again that wait for a successor.
func (s *State) resumeForwards(ctx *step.Context) {
	for _, f := range s.forwardsInOrder() {
		if f.to == "" {
			s.sendForward(ctx, f)
		}
	}
}

// homesInOrder returns the homes by origin.
func (s *State) homesInOrder() []*home {
	all := make([]*home, 0, len(s.homes))
	for _, h := range s.homes {
		all = append(all, h)
	}
	slices.SortFunc(all, func(a, b *home) int { return compareOrigins(a.origin, b.origin) })
	return all
}
