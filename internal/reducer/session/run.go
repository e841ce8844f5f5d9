package session

import (
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// handleAtHome answers an order of a session that this node answers for.
func (s *State) handleAtHome(ctx *step.Context, h *home, r request) {
	h.age(ctx.Now, s.settings)
	number := r.id.Session.Number
	if number <= h.expired {
		s.reply(ctx, r, notKept(r.id))
		return
	}
	found := h.sessions[number]
	if found == nil {
		s.handleFirst(ctx, h, r)
		return
	}
	s.bytes -= found.acknowledge(r.acknowledged)
	s.handleKnown(ctx, h, found, r)
}

// handleFirst handles an order of a session that has no record.
func (s *State) handleFirst(ctx *step.Context, h *home, r request) {
	number := r.id.Session.Number
	switch {
	case number > h.issued:
		s.refuse(ctx, r, model.Failf(model.CodeSessionUnknown, "session %s was never opened", r.id.Session))
	case number <= h.closed:
		s.refuse(ctx, r, model.Failf(model.CodeSessionUnknown, "session %s takes no orders: ask for a new one", r.id.Session))
	case h.role != active:
		s.passOn(ctx, r)
	case s.sessions >= s.settings.MaxSessions || s.bytes >= s.settings.MaxBytes && !s.makeRoom():
		// No record can be made of the refusal, so the sessions without one are
		// closed: a copy of the order that arrives later must not start.
		h.closed = h.issued
		s.refuse(ctx, r, model.Failf(model.CodeOverloaded, "the node keeps too many sessions: ask for a new one"))
	default:
		opened := &session{}
		opened.acknowledge(r.acknowledged)
		h.sessions[number] = opened
		s.sessions++
		s.bytes += sessionBytes
		s.handleKnown(ctx, h, opened, r)
	}
}

// handleKnown handles an order of a session with a record.
func (s *State) handleKnown(ctx *step.Context, h *home, found *session, r request) {
	sequence := r.id.Sequence
	if sequence <= found.acknowledged {
		s.reply(ctx, r, notKept(r.id))
		return
	}
	if kept := found.find(sequence); kept != nil {
		s.handleResend(ctx, r, kept)
		return
	}
	switch {
	case sequence <= found.refused:
		s.refuse(ctx, r, model.Failf(model.CodeOverloaded, "request %s was refused before", r.id))
	case r.id.Session.Number <= h.aged:
		s.refuse(ctx, r, model.Failf(model.CodeSessionUnknown, "session %s takes no new orders: ask for a new one", r.id.Session))
	case h.role != active:
		s.passOn(ctx, r)
	case !s.hasRoom(found):
		found.refused = max(found.refused, sequence)
		s.refuse(ctx, r, model.Failf(model.CodeOverloaded, "too many orders are kept; acknowledge outcomes or wait"))
	default:
		s.start(ctx, found, r)
	}
}

// hasRoom makes room for one more record if it can.
func (s *State) hasRoom(found *session) bool {
	if s.bytes >= s.settings.MaxBytes && !s.makeRoom() {
		return false
	}
	if len(found.orders) < s.settings.MaxOrders {
		return true
	}
	oldest := found.orders[0]
	if oldest.answer == nil {
		return false
	}
	s.bytes -= found.acknowledge(oldest.sequence)
	return true
}

// makeRoom drops kept replies, oldest first, until the memory is within its
// limit. The records stay, so that the orders do not start again. It reports
// whether it succeeded.
func (s *State) makeRoom() bool {
	for s.bytes >= s.settings.MaxBytes && len(s.finished) > 0 {
		oldest := s.finished[0]
		s.finished[0] = nil
		s.finished = s.finished[1:]
		if oldest.dropped || oldest.answer.Outcome != model.Answered {
			continue
		}
		s.bytes -= oldest.bytes()
		oldest.answer = &replyDropped
		s.bytes += oldest.bytes()
	}
	return s.bytes < s.settings.MaxBytes
}

// replyDropped is the kept outcome of an order that ran and whose reply had to
// make room.
var replyDropped = unknown(model.RequestID{}, model.CodeOutcomeLost, "the order ran; its reply is no longer kept")

// start records an order and starts it, or records its refusal.
func (s *State) start(ctx *step.Context, found *session, r request) {
	kept := &order{sequence: r.id.Sequence, print: quarantine.Fingerprint(r.service, r.body)}
	found.insert(kept)
	s.bytes += kept.bytes()
	if failure := s.startFailure(ctx, found, r); failure != nil {
		s.finish(ctx, kept, refused(r.id, failure))
		s.refuse(ctx, r, failure)
		return
	}
	found.running++
	s.wait(ctx, kept, r)
	ctx.Count(metricStarted, string(r.service))
	s.runner.RunOrder(ctx, query.Order{
		Call:      r.waiter.localCall(),
		RequestID: r.id,
		Service:   r.service,
		Body:      r.body,
		Timeout:   r.timeout,
	})
}

// startFailure returns why an order that has a record must not start, or nil.
func (s *State) startFailure(ctx *step.Context, found *session, r request) *model.Failure {
	if ctx.Config.Service(r.service) == nil {
		return unknownService(r.service)
	}
	if found.running >= s.settings.MaxRunning {
		return model.Failf(model.CodeOverloaded, "the session has %d unfinished orders", found.running)
	}
	return nil
}

// handleResend answers from the kept outcome, or waits for it.
func (s *State) handleResend(ctx *step.Context, r request, kept *order) {
	ctx.Count(metricResends, string(r.service))
	switch {
	case kept.print != quarantine.Fingerprint(r.service, r.body):
		s.refuse(ctx, r, model.Failf(model.CodeConflict, "request %s was used with another service or body", r.id))
	case kept.answer != nil:
		s.reply(ctx, r, *kept.answer)
	default:
		s.wait(ctx, kept, r)
	}
}

// finish keeps an order's outcome and passes it to all that wait.
func (s *State) finish(ctx *step.Context, kept *order, answer model.Answer) {
	s.bytes -= kept.bytes()
	kept.answer = &answer
	s.bytes += kept.bytes()
	s.finished = append(s.finished, kept)
	s.answerWaiters(ctx, kept, answer)
}

// answerWaiters passes an outcome to all that wait for it.
func (s *State) answerWaiters(ctx *step.Context, kept *order, answer model.Answer) {
	waiters := kept.waiters
	kept.waiters = nil
	s.waiting -= len(waiters)
	for _, w := range waiters {
		delete(s.timed, w.number)
		s.replyTo(ctx, w, answer)
	}
}
