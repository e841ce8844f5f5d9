package session

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// session holds the orders of one session by sequence number.
type session struct {
	orders map[uint64]*order
}

// order is the record of one order. It is made before the order starts, so that
// no second start can follow.
type order struct {
	// print tells a resend from another request under the same identifier.
	print model.Fingerprint
	done  bool
	// answer is the outcome once done.
	answer  model.Answer
	waiters []waiter
}

// waiter is a call that gets an order's outcome.
type waiter struct {
	// from is the node that forwarded the order; empty for a caller of this node.
	from    model.HostID
	call    model.CallID
	since   model.Instant
	service model.ServiceName
}

// request is one arrival of an order, from a caller or from another node.
type request struct {
	id           model.RequestID
	service      model.ServiceName
	body         []byte
	timeout      time.Duration
	acknowledged uint64
	waiter       waiter
}

// open returns the record of a session, making it if needed.
func (s *State) open(id model.SessionID) *session {
	found := s.sessions[id]
	if found == nil {
		found = &session{orders: make(map[uint64]*order)}
		s.sessions[id] = found
	}
	return found
}

// wait adds a request to those that get an order's outcome. A repeated forward
// of one call waits once.
func (s *State) wait(kept *order, r request) {
	same := func(w waiter) bool { return w.from == r.waiter.from && w.call == r.waiter.call }
	if slices.ContainsFunc(kept.waiters, same) {
		return
	}
	r.waiter.service = r.service
	kept.waiters = append(kept.waiters, r.waiter)
	s.waiting++
}

// reply sends an answer to the call behind a request.
func (s *State) reply(ctx *step.Context, r request, answer model.Answer) {
	r.waiter.service = r.service
	s.replyTo(ctx, r.waiter, answer)
}

// replyTo sends an answer to a caller or to the node that forwarded its order.
func (s *State) replyTo(ctx *step.Context, w waiter, answer model.Answer) {
	if w.from != "" {
		ctx.Send(w.from, message.OrderOutcome{Call: w.call, Answer: answer})
		return
	}
	ctx.Emit(effect.ReplyCaller{
		Call:    w.call,
		Answer:  answer,
		Service: w.service,
		Elapsed: ctx.Now.Sub(w.since),
	})
}

// notRun returns the answer to an order that was refused before it started.
func notRun(id model.RequestID, code model.Code, format string, arguments ...any) model.Answer {
	return model.Answer{RequestID: id, Outcome: model.NotRun, Failure: model.Failf(code, format, arguments...)}
}

// unknown returns the answer to an order that may have run.
func unknown(id model.RequestID, code model.Code, format string, arguments ...any) model.Answer {
	return model.Answer{RequestID: id, Outcome: model.Unknown, Failure: model.Failf(code, format, arguments...)}
}

// outcomeLost returns the answer to an order whose home is gone.
func outcomeLost(id model.RequestID) model.Answer {
	return unknown(id, model.CodeOutcomeLost, "the home of session %s is gone, and with it the outcome", id.Session)
}
