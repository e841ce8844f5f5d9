package session

import (
	"maps"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// partBuilder splits records into parts of bounded size.
type partBuilder struct {
	template message.SessionHandover
	parts    []message.SessionHandover
	size     int
}

// buildParts encodes all sessions in parts. There is always at least one part,
// which carries the homes.
func (s *State) buildParts(ctx *step.Context, attempt uint64, successorIncarnation model.Incarnation) []message.SessionHandover {
	self := selfOrigin(ctx)
	b := &partBuilder{template: message.SessionHandover{
		From:                 self.host,
		Incarnation:          self.incarnation,
		Attempt:              attempt,
		SuccessorIncarnation: successorIncarnation,
		Homes:                s.handoverHomes(),
	}}
	b.startPart()
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

// handoverHomes describes the homes as they were when they were sealed, with their
// next generation.
func (s *State) handoverHomes() []message.HandoverHome {
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

// startPart appends an empty part.
func (b *partBuilder) startPart() {
	b.parts = append(b.parts, b.template)
	b.size = 0
}

// currentPart returns the part that is being filled.
func (b *partBuilder) currentPart() *message.SessionHandover { return &b.parts[len(b.parts)-1] }

// reserve starts another part if the current one has no room for size bytes.
func (b *partBuilder) reserve(size int) {
	if b.size > 0 && b.size+size > partBytes {
		b.startPart()
	}
	b.size += size
}

// addSession adds one session and its orders.
func (b *partBuilder) addSession(o origin, number uint64, sess *session) {
	id := model.SessionID{Host: o.host, Incarnation: o.incarnation, Number: number}
	b.reserve(sessionBytes)
	part := b.currentPart()
	part.Sessions = append(part.Sessions, message.HandoverSession{
		Session:      id,
		Acknowledged: sess.acknowledged,
		HighestSeen:  sess.highest,
		Refused:      sess.refused,
	})
	for _, record := range sess.orders {
		b.addOrder(id, record)
	}
}

// addOrder adds one order. An order that still runs, or whose reply is too large,
// is handed over as started without an outcome.
func (b *partBuilder) addOrder(id model.SessionID, record *order) {
	out := message.OutcomeRecord{
		RequestID:   model.RequestID{Session: id, Sequence: record.sequence},
		Fingerprint: record.fingerprint,
		Started:     true,
	}
	if record.answer != nil && record.bytes() <= orderBytes+maxHandoverReply {
		out.Done = true
		out.Answer = *record.answer
	}
	b.reserve(orderBytes + len(out.Answer.OrderReply))
	part := b.currentPart()
	part.Outcomes = append(part.Outcomes, out)
}
