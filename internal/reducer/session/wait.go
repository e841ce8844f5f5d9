package session

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// waitGrace is how much longer than the order's own time a call waits, so that
// the outcome at the deadline still arrives.
const waitGrace = 200 * time.Millisecond

// waiter is a call that gets an order's outcome.
type waiter struct {
	// from is the node that forwarded the order; empty for a caller of this node.
	from    model.HostID
	call    model.CallID
	since   model.Instant
	service model.ServiceName
	// id is the request that the call made.
	id model.RequestID
	// number names the waiter's timer; zero for a forwarded order, whose call
	// times out where it is open.
	number uint64
}

// localCall returns the open call on this node, zero for a forwarded order.
func (w waiter) localCall() model.CallID {
	if w.from != "" {
		return 0
	}
	return w.call
}

// wait adds a call to those that get an order's outcome. A repeated forward of
// one call waits once.
func (s *State) wait(ctx *step.Context, kept *order, r request) {
	same := func(w waiter) bool { return w.from == r.waiter.from && w.call == r.waiter.call }
	if slices.ContainsFunc(kept.waiters, same) {
		return
	}
	w := r.waiter
	w.id = r.id
	if w.from == "" {
		w.number = s.nextNumber()
		s.timed[w.number] = kept
		after(ctx, orderTimeout(ctx, r)+waitGrace, timerWaiter, w.number)
	}
	kept.waiters = append(kept.waiters, w)
	s.waiting++
}

// handleWaiterEnd ends a call that has waited for its whole time.
func (s *State) handleWaiterEnd(ctx *step.Context, number uint64) {
	kept := s.timed[number]
	if kept == nil {
		return
	}
	delete(s.timed, number)
	i := slices.IndexFunc(kept.waiters, func(w waiter) bool { return w.number == number })
	w := kept.waiters[i]
	kept.waiters = slices.Delete(kept.waiters, i, i+1)
	s.waiting--
	s.replyTo(ctx, w, unknown(w.id, model.CodeDeadline, "the order has not ended in time; send it again for its outcome"))
}

// orderTimeout returns how long an order may take.
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
	s.reply(ctx, r, refused(r.id, failure))
}

// reply sends an answer to the call behind a request.
func (s *State) reply(ctx *step.Context, r request, answer model.Answer) {
	w := r.waiter
	w.id = r.id
	s.replyTo(ctx, w, answer)
}

// replyTo sends an answer to a caller or to the node that forwarded its order.
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
