package session

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// waitGrace is how much longer than the order's timeout a call waits, so that an
// outcome sent at the deadline still arrives.
const waitGrace = 200 * time.Millisecond

// waiter is a call that receives an order's outcome.
type waiter struct {
	// from is the node that forwarded the order; empty for a caller of this node.
	from model.HostID
	call model.CallID
	// since is when this node received the order.
	since   model.Instant
	service model.ServiceName
	// id identifies the request of the call.
	id model.RequestID
	// number identifies the waiter's timer. It is zero for a forwarded order, whose
	// call times out on the node that forwarded it.
	number uint64
}

// localCall returns the open call on this node, or zero for a forwarded order.
func (w waiter) localCall() model.CallID {
	if w.from != "" {
		return 0
	}
	return w.call
}

// addWaiter adds a call to those that receive an order's outcome. A call that is
// forwarded again is added once.
func (s *State) addWaiter(ctx *step.Context, record *order, r request) {
	same := func(w waiter) bool { return w.from == r.waiter.from && w.call == r.waiter.call }
	if slices.ContainsFunc(record.waiters, same) {
		return
	}
	w := r.waiter
	w.id = r.id
	if w.from == "" {
		w.number = s.nextNumber()
		s.orderByWaiter[w.number] = record
		after(ctx, orderTimeout(ctx, r)+waitGrace, timerWaiterTimeout, w.number)
	}
	record.waiters = append(record.waiters, w)
	s.waiting++
}

// handleWaiterTimeout answers a call that has waited for its full timeout.
func (s *State) handleWaiterTimeout(ctx *step.Context, number uint64) {
	record := s.orderByWaiter[number]
	if record == nil {
		return
	}
	delete(s.orderByWaiter, number)
	i := slices.IndexFunc(record.waiters, func(w waiter) bool { return w.number == number })
	w := record.waiters[i]
	record.waiters = slices.Delete(record.waiters, i, i+1)
	s.waiting--
	s.replyTo(ctx, w, unknownAnswer(w.id, model.CodeDeadline, "the order did not finish in time; resend it to get its outcome"))
}

// orderTimeout returns the time limit of an order: the service's deadline, or the
// caller's timeout if that is shorter.
func orderTimeout(ctx *step.Context, r request) time.Duration {
	limit := model.DefaultDeadline
	if service := ctx.Config.Service(r.service); service != nil && service.Policy.Deadline > 0 {
		limit = service.Policy.Deadline
	}
	if r.timeout > 0 {
		return min(limit, r.timeout)
	}
	return limit
}

// refuse answers that an order was not run.
func (s *State) refuse(ctx *step.Context, r request, failure *model.Failure) {
	ctx.Count(metricRefused, string(failure.Code))
	s.reply(ctx, r, refusedAnswer(r.id, failure))
}

// reply sends an answer to the call that made a request.
func (s *State) reply(ctx *step.Context, r request, answer model.Answer) {
	w := r.waiter
	w.id = r.id
	s.replyTo(ctx, w, answer)
}

// replyTo sends an answer to a caller or to the node that forwarded the order.
func (s *State) replyTo(ctx *step.Context, w waiter, answer model.Answer) {
	answer.RequestID = w.id
	if answer.Outcome == model.Unknown {
		ctx.Count(metricUnknown, string(answer.Failure.Code))
	}
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
