package session

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// forwardGrace is how much longer than the order's own time a forwarding node
// waits, so that the home's outcome at the deadline still arrives.
const forwardGrace = 200 * time.Millisecond

// forward is an order that waits for the outcome from its home.
type forward struct {
	request request
	to      model.HostID
}

// forward sends an order to its home, or answers that the home is gone.
func (s *State) forward(ctx *step.Context, r request) {
	home := r.id.Session
	member, known := ctx.View.Member(home.Host)
	if !known || member.Incarnation > home.Incarnation || home.Host == ctx.Self.Host {
		s.reply(ctx, r, outcomeLost(r.id))
		return
	}
	timeout := orderTimeout(ctx, r)
	s.forwards[r.waiter.call] = &forward{request: r, to: home.Host}
	ctx.After(timeout+forwardGrace, timer.Session, uint64(r.waiter.call))
	ctx.Send(home.Host, message.OrderForward{
		Call:         r.waiter.call,
		RequestID:    r.id,
		Service:      r.service,
		Body:         r.body,
		TimeLeft:     int64(timeout),
		Acknowledged: r.acknowledged,
	})
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

// HandleOutcome takes in the outcome of an order forwarded by this node. One
// that names another request is dropped: it was meant for an earlier life of
// this host.
func (s *State) HandleOutcome(ctx *step.Context, from model.HostID, m message.OrderOutcome) {
	f := s.forwards[m.Call]
	if f == nil || f.to != from || f.request.id != m.Answer.RequestID {
		return
	}
	s.endForward(ctx, f, m.Answer)
}

// endForward passes an outcome to the caller of a forwarded order.
func (s *State) endForward(ctx *step.Context, f *forward, answer model.Answer) {
	delete(s.forwards, f.request.waiter.call)
	s.reply(ctx, f.request, answer)
}

// HandleCallerGone forgets who waits; a started order goes on.
func (s *State) HandleCallerGone(ctx *step.Context, call model.CallID) {
	delete(s.forwards, call)
}

// HandlePeerLost settles the orders that were forwarded to a lost home.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	var lost []model.CallID
	for call, f := range s.forwards {
		if f.to == host {
			lost = append(lost, call)
		}
	}
	slices.Sort(lost)
	for _, call := range lost {
		f := s.forwards[call]
		s.endForward(ctx, f, unknown(f.request.id, model.CodeOutcomeLost, "the session's home %s was lost after the order was forwarded", host))
	}
}

// HandleTimer lets forwarded orders time out.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	if f := s.forwards[model.CallID(id)]; f != nil {
		s.endForward(ctx, f, unknown(f.request.id, model.CodeDeadline, "no outcome from the session's home %s in time", f.to))
	}
}
