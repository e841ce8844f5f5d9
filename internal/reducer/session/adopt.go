package session

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// incomingHandover collects the parts of a stopping home's handover.
type incomingHandover struct {
	attempt    uint64
	parts      []*message.SessionHandover
	adopted    bool
	receivedAt model.Instant
}

// isComplete reports whether all parts were received.
func (i *incomingHandover) isComplete() bool { return !slices.Contains(i.parts, nil) }

// maxParts bounds the number of parts of one handover.
const maxParts = 4096

// HandleHandover stores and confirms a part of a stopping home's handover. The
// sessions are not used until the home ends the handover. A node that is handing
// over its own sessions accepts none.
func (s *State) HandleHandover(ctx *step.Context, from model.HostID, m message.SessionHandover) {
	if s.handover != nil || m.SuccessorIncarnation != ctx.Self.Incarnation || m.Part == 0 || m.Part > m.Parts || m.Parts > maxParts {
		return
	}
	s.startSweeping(ctx)
	o := origin{host: m.From, incarnation: m.Incarnation}
	in := s.incoming[o]
	if in == nil || (m.Attempt > in.attempt && !in.adopted) {
		in = &incomingHandover{attempt: m.Attempt, parts: make([]*message.SessionHandover, m.Parts)}
		s.incoming[o] = in
	}
	if m.Attempt != in.attempt || (!in.adopted && len(in.parts) != int(m.Parts)) {
		return
	}
	in.receivedAt = ctx.Now
	if !in.adopted {
		in.parts[m.Part-1] = &m
	}
	ctx.Send(from, message.HandoverAck{Part: m.Part, From: m.From, Incarnation: m.Incarnation, Attempt: m.Attempt})
}

// HandleMoved records which node is responsible for a stopped home's sessions. If
// it is this node, it completes the handover.
func (s *State) HandleMoved(ctx *step.Context, m message.SessionMoved) {
	s.startSweeping(ctx)
	o := origin{host: m.From, incarnation: m.Incarnation}
	if m.To == ctx.Self.Host {
		s.adopt(ctx, o, m)
		return
	}
	if s.homes[o] != nil {
		// Only the node that is responsible for the sessions can hand them over.
		return
	}
	if known, found := s.successors[o]; found && known.generation >= m.Generation {
		return
	}
	s.successors[o] = successor{host: m.To, generation: m.Generation, receivedAt: ctx.Now}
	delete(s.incoming, o)
	s.resumeForwards(ctx)
}

// adopt makes this node responsible for the sessions of a complete handover, and
// confirms it.
func (s *State) adopt(ctx *step.Context, o origin, m message.SessionMoved) {
	in := s.incoming[o]
	if in == nil || m.Attempt != in.attempt || !in.isComplete() {
		return
	}
	if !in.adopted {
		if s.handover != nil {
			return
		}
		s.takeOver(ctx, in)
	}
	ctx.Send(o.host, message.HandoverAck{From: o.host, Incarnation: o.incarnation, Attempt: m.Attempt})
}

// takeOver creates homes from the parts of a handover and announces them to all
// members.
func (s *State) takeOver(ctx *step.Context, in *incomingHandover) {
	in.adopted = true
	for _, h := range in.parts[0].Homes {
		s.adoptHome(h)
	}
	for _, part := range in.parts {
		s.adoptSessions(part)
	}
	for _, part := range in.parts {
		s.adoptOutcomes(part)
	}
	for _, h := range in.parts[0].Homes {
		adopted := s.homes[origin{host: h.Host, incarnation: h.Incarnation}]
		ctx.Broadcast(movedMessage(adopted, ctx.Self.Host))
	}
	for _, member := range ctx.View.Members() {
		s.announced[member.Host] = member.Incarnation
	}
	ctx.Log(effect.Info, "session", "took over sessions",
		effect.Field{Name: "from", Value: string(in.parts[0].From)})
	clear(in.parts[1:])
	in.parts = in.parts[:1]
	s.resumeForwards(ctx)
}

// adoptHome creates the record of a home that was handed over.
func (s *State) adoptHome(handed message.HandoverHome) {
	o := origin{host: handed.Host, incarnation: handed.Incarnation}
	h := newHome(o, active)
	h.generation = handed.Generation
	h.issued = handed.Issued
	h.closed = handed.Closed
	h.aged = handed.Aged
	h.expired = handed.Expired
	s.homes[o] = h
	delete(s.successors, o)
}

// adoptSessions creates the records of the sessions in a part.
func (s *State) adoptSessions(part *message.SessionHandover) {
	for _, handed := range part.Sessions {
		h := s.homes[originOf(handed.Session)]
		if h == nil {
			continue
		}
		h.sessions[handed.Session.Number] = &session{
			acknowledged: handed.Acknowledged,
			highest:      handed.HighestSeen,
			refused:      handed.Refused,
		}
		s.sessions++
		s.bytes += sessionBytes
	}
}

// adoptOutcomes creates the records of the orders in a part. The outcome of an
// order that had not finished at the old home is unknown, because it may have run.
func (s *State) adoptOutcomes(part *message.SessionHandover) {
	for _, handed := range part.Outcomes {
		h := s.homes[originOf(handed.RequestID.Session)]
		if h == nil || h.sessions[handed.RequestID.Session.Number] == nil {
			continue
		}
		answer := handed.Answer
		if !handed.Done {
			answer = homeLostAnswer(handed.RequestID)
		}
		record := &order{sequence: handed.RequestID.Sequence, fingerprint: handed.Fingerprint, answer: &answer}
		h.sessions[handed.RequestID.Session.Number].insert(record)
		s.finished = append(s.finished, record)
		s.bytes += record.bytes()
	}
}

// adoptedHomes returns the homes that this node took over.
func (s *State) adoptedHomes(ctx *step.Context) []*home {
	all := s.homesInOrder()
	return slices.DeleteFunc(all, func(h *home) bool { return h.origin == selfOrigin(ctx) || h.role != active })
}
