package session

import (
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// handleAtHome handles an order of a session that this node is responsible for.
func (s *State) handleAtHome(ctx *step.Context, h *home, r request) {
	h.raiseWatermarks(ctx.Now, s.settings)
	number := r.id.Session.Number
	if number <= h.expired {
		s.reply(ctx, r, outcomeDiscardedAnswer(r.id))
		return
	}
	sess := h.sessions[number]
	if sess == nil {
		s.handleNewSession(ctx, h, r)
		return
	}
	s.bytes -= sess.acknowledge(r.acknowledged)
	s.handleInSession(ctx, h, sess, r)
}

// handleNewSession handles an order of a session that has no record.
func (s *State) handleNewSession(ctx *step.Context, h *home, r request) {
	number := r.id.Session.Number
	switch {
	case number > h.issued:
		s.refuse(ctx, r, model.Failf(model.CodeSessionUnknown, "session %s was never opened", r.id.Session))
	case number <= h.closed:
		s.refuse(ctx, r, model.Failf(model.CodeSessionUnknown, "session %s is closed to orders: open a new one", r.id.Session))
	case h.role != active:
		s.forwardOrder(ctx, r)
	case s.sessions >= s.settings.MaxSessions || s.bytes >= s.settings.MaxBytes && !s.evictReplies():
		// The refusal cannot be recorded, so all sessions without a record are closed:
		// a copy of the order that arrives later must not start.
		h.closed = h.issued
		s.refuse(ctx, r, model.Failf(model.CodeOverloaded, "the node holds too many sessions: open a new one"))
	default:
		sess := &session{}
		sess.acknowledge(r.acknowledged)
		h.sessions[number] = sess
		s.sessions++
		s.bytes += sessionBytes
		s.handleInSession(ctx, h, sess, r)
	}
}

// handleInSession handles an order of a session that has a record.
func (s *State) handleInSession(ctx *step.Context, h *home, sess *session, r request) {
	sequence := r.id.Sequence
	if sequence <= sess.acknowledged {
		s.reply(ctx, r, outcomeDiscardedAnswer(r.id))
		return
	}
	if record := sess.find(sequence); record != nil {
		s.handleResend(ctx, r, record)
		return
	}
	switch {
	case sequence <= sess.refused:
		s.refuse(ctx, r, model.Failf(model.CodeOverloaded, "request %s was already refused", r.id))
	case r.id.Session.Number <= h.aged:
		s.refuse(ctx, r, model.Failf(model.CodeSessionUnknown, "session %s accepts no new orders: open a new one", r.id.Session))
	case h.role != active:
		s.forwardOrder(ctx, r)
	case !s.ensureOrderCapacity(sess):
		sess.refused = max(sess.refused, sequence)
		s.refuse(ctx, r, model.Failf(model.CodeOverloaded, "too many orders are recorded; acknowledge outcomes or wait"))
	default:
		s.start(ctx, sess, r)
	}
}

// ensureOrderCapacity evicts records if necessary to make room for one more order
// in a session, and reports whether there is room.
func (s *State) ensureOrderCapacity(sess *session) bool {
	if s.bytes >= s.settings.MaxBytes && !s.evictReplies() {
		return false
	}
	if len(sess.orders) < s.settings.MaxOrders {
		return true
	}
	oldest := sess.orders[0]
	if oldest.answer == nil {
		return false
	}
	s.bytes -= sess.acknowledge(oldest.sequence)
	return true
}

// evictReplies discards recorded replies, oldest first, until the memory is within
// its limit, and reports whether it succeeded. The records stay, so that the
// orders do not start again.
func (s *State) evictReplies() bool {
	for s.bytes >= s.settings.MaxBytes && len(s.finished) > 0 {
		oldest := s.finished[0]
		s.finished[0] = nil
		s.finished = s.finished[1:]
		if oldest.removed || oldest.answer.Outcome != model.Answered {
			continue
		}
		s.bytes -= oldest.bytes()
		oldest.answer = &replyDiscardedAnswer
		s.bytes += oldest.bytes()
	}
	return s.bytes < s.settings.MaxBytes
}

// replyDiscardedAnswer is the recorded outcome of an order that ran and whose
// reply was evicted.
var replyDiscardedAnswer = unknownAnswer(model.RequestID{}, model.CodeOutcomeLost, "the order ran; its reply is no longer kept")

// start records an order and starts it, or records its refusal.
func (s *State) start(ctx *step.Context, sess *session, r request) {
	record := &order{sequence: r.id.Sequence, fingerprint: quarantine.Fingerprint(r.service, r.body)}
	sess.insert(record)
	s.bytes += record.bytes()
	if failure := s.startFailure(ctx, sess, r); failure != nil {
		s.finish(ctx, record, refusedAnswer(r.id, failure))
		s.refuse(ctx, r, failure)
		return
	}
	sess.running++
	s.addWaiter(ctx, record, r)
	ctx.Count(metricStarted, string(r.service))
	s.runner.RunOrder(ctx, query.Order{
		Call:      r.waiter.localCall(),
		RequestID: r.id,
		Service:   r.service,
		Body:      r.body,
		Timeout:   r.timeout,
	})
}

// startFailure returns why a recorded order must not start, or nil.
func (s *State) startFailure(ctx *step.Context, sess *session, r request) *model.Failure {
	if ctx.Config.Service(r.service) == nil {
		return unknownService(r.service)
	}
	if sess.running >= s.settings.MaxRunning {
		return model.Failf(model.CodeOverloaded, "the session has %d unfinished orders", sess.running)
	}
	return nil
}

// handleResend answers with the recorded outcome, or waits for it.
func (s *State) handleResend(ctx *step.Context, r request, record *order) {
	ctx.Count(metricResends, string(r.service))
	switch {
	case record.fingerprint != quarantine.Fingerprint(r.service, r.body):
		s.refuse(ctx, r, model.Failf(model.CodeConflict, "request %s was used with another service or body", r.id))
	case record.answer != nil:
		s.reply(ctx, r, *record.answer)
	default:
		s.addWaiter(ctx, record, r)
	}
}

// finish records an order's outcome and sends it to all waiters.
func (s *State) finish(ctx *step.Context, record *order, answer model.Answer) {
	s.bytes -= record.bytes()
	record.answer = &answer
	s.bytes += record.bytes()
	s.finished = append(s.finished, record)
	s.answerWaiters(ctx, record, answer)
}

// answerWaiters sends an outcome to all waiters of an order.
func (s *State) answerWaiters(ctx *step.Context, record *order, answer model.Answer) {
	waiters := record.waiters
	record.waiters = nil
	s.waiting -= len(waiters)
	for _, w := range waiters {
		delete(s.orderByWaiter, w.number)
		s.replyTo(ctx, w, answer)
	}
}
