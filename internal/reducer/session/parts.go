package session

import (
	"maps"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// partBuilder cuts records into parts of bounded size.
type partBuilder struct {
	template message.SessionHandover
	parts    []message.SessionHandover
	size     int
}

// buildParts writes all sessions down in parts. There is at least one part, for
// the homes.
func (s *State) buildParts(ctx *step.Context, attempt uint64, life model.Incarnation) []message.SessionHandover {
	self := selfOf(ctx)
	b := &partBuilder{template: message.SessionHandover{
		From:                 self.host,
		Incarnation:          self.incarnation,
		Attempt:              attempt,
		SuccessorIncarnation: life,
		Homes:                s.handedHomes(),
	}}
	b.begin()
	for _, h := range s.homesInOrder() {
		for _, number := range slices.Sorted(maps.Keys(h.sessions)) {
			b.addSession(h.origin, number, h.sessions[number])
		}
	}
	for i := range b.parts {
		b.parts[i].Part = uint32(i + 1)
		b.parts[i].Parts = uint32(len(b.parts))
	}
	return b.parts
}

// handedHomes describes the homes at the seal.
func (s *State) handedHomes() []message.HandoverHome {
	var homes []message.HandoverHome
	for _, h := range s.homesInOrder() {
		homes = append(homes, message.HandoverHome{
			Host:        h.origin.host,
			Incarnation: h.origin.incarnation,
			Generation:  h.generation + 1,
			Issued:      h.issued,
			Closed:      h.closed,
			Aged:        h.aged,
			Expired:     h.expired,
		})
	}
	return homes
}

// begin starts another part.
func (b *partBuilder) begin() {
	b.parts = append(b.parts, b.template)
	b.size = 0
}

// last returns the part that is being filled.
func (b *partBuilder) last() *message.SessionHandover { return &b.parts[len(b.parts)-1] }

// reserve starts another part if the present one has no room.
func (b *partBuilder) reserve(size int) {
	if b.size > 0 && b.size+size > partBytes {
		b.begin()
	}
	b.size += size
}

// addSession writes down one session with its orders.
func (b *partBuilder) addSession(o origin, number uint64, found *session) {
	id := model.SessionID{Host: o.host, Incarnation: o.incarnation, Number: number}
	b.reserve(sessionBytes)
	last := b.last()
	last.Sessions = append(last.Sessions, message.HandoverSession{
		Session:      id,
		Acknowledged: found.acknowledged,
		HighestSeen:  found.highest,
		Refused:      found.refused,
	})
	for _, kept := range found.orders {
		b.addOrder(id, kept)
	}
}

// addOrder writes down one order. One that still runs, or whose reply is too
// large, is handed over as started without an outcome.
func (b *partBuilder) addOrder(id model.SessionID, kept *order) {
	out := message.OutcomeRecord{
		RequestID:   model.RequestID{Session: id, Sequence: kept.sequence},
		Fingerprint: kept.print,
		Started:     true,
	}
	if kept.answer != nil && kept.bytes() <= orderBytes+maxHandedReply {
		out.Done = true
		out.Answer = *kept.answer
	}
	b.reserve(orderBytes + len(out.Answer.OrderReply))
	last := b.last()
	last.Outcomes = append(last.Outcomes, out)
}
