package session

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of forwarding.
const (
	// forwardRetryDelay is the delay before an order is sent again to a home that
	// could not be reached. The home runs it once, however often it arrives.
	forwardRetryDelay = 100 * time.Millisecond
	// maxForwardAttempts bounds the attempts to send one order to its home.
	maxForwardAttempts = 5
	// maxHops bounds the nodes that an order may pass through.
	maxHops = 4
)

// forward is an order that waits for its outcome from another home, or for a
// successor of a sealed home on this node.
type forward struct {
	number  uint64
	request request
	// to is the node that the order was sent to; empty while it has not been sent.
	to       model.HostID
	deadline model.Instant
	attempts int
}

// successor is the node that is responsible for a stopped home's sessions.
type successor struct {
	host       model.HostID
	generation uint64
	receivedAt model.Instant
}

// forwardOrder forwards an order whose home is not, or no longer, active on this
// node, and waits for its outcome.
func (s *State) forwardOrder(ctx *step.Context, r request) {
	if r.hops >= maxHops {
		s.reply(ctx, r, unknownAnswer(r.id, model.CodeUnavailable, "no node is responsible for session %s", r.id.Session))
		return
	}
	f := &forward{number: s.nextNumber(), request: r, deadline: ctx.Now.Add(orderTimeout(ctx, r) + waitGrace)}
	s.forwards[f.number] = f
	if call := r.waiter.localCall(); call != 0 {
		s.forwardByCall[call] = f.number
	}
	after(ctx, f.deadline.Sub(ctx.Now), timerForwardTimeout, f.number)
	ctx.Count(metricForwards, "")
	s.sendForward(ctx, f)
}

// sendForward sends an order to the node that is responsible for its session. If
// none is known yet, it retries later; after maxForwardAttempts it answers the
// order as unknown.
func (s *State) sendForward(ctx *step.Context, f *forward) {
	o := originOf(f.request.id.Session)
	if h := s.homes[o]; h != nil {
		s.handleLocalForward(ctx, h, f)
		return
	}
	to, found := s.locateHome(ctx, o)
	switch {
	case f.attempts >= maxForwardAttempts:
		s.completeForward(ctx, f, homeLostAnswer(f.request.id))
	case !found:
		// The message that names the successor may still be in transit.
		f.attempts++
		after(ctx, forwardRetryDelay, timerForwardRetry, f.number)
	default:
		f.attempts++
		f.to = to
		ctx.Send(to, message.OrderForward{
			Call:         model.CallID(f.number),
			RequestID:    f.request.id,
			Service:      f.request.service,
			Body:         f.request.body,
			TimeLeft:     int64(max(0, f.deadline.Sub(ctx.Now)-waitGrace)),
			Acknowledged: f.request.acknowledged,
			Hops:         f.request.hops + 1,
		})
	}
}

// handleLocalForward handles a forwarded order whose home is on this node. An order
// at a sealed home keeps waiting until a successor is responsible for its session.
// If there will be none, it is refused as not run: a sealed home starts nothing,
// and no other node may.
func (s *State) handleLocalForward(ctx *step.Context, h *home, f *forward) {
	switch h.role {
	case active:
		s.removeForward(f)
		s.handleAtHome(ctx, h, f.request)
	case ended:
		s.completeForward(ctx, f, refusedAnswer(f.request.id, model.Failf(model.CodeStopping, "the node is stopping")))
	}
}

// locateHome returns the node that is responsible for an origin's sessions, or
// false if none is known or reachable.
func (s *State) locateHome(ctx *step.Context, o origin) (to model.HostID, found bool) {
	next, moved := s.successors[o]
	if !moved {
		next.host = o.host
	}
	member, known := ctx.View.Member(next.host)
	switch {
	case next.host == ctx.Self.Host, !known, member.State == model.Failed:
		return "", false
	case !moved && member.Incarnation > o.incarnation:
		return "", false
	default:
		return next.host, true
	}
}

// HandleOutcome handles the outcome of an order that this node forwarded. An
// outcome for another request is dropped: it was meant for an earlier incarnation
// of this host.
func (s *State) HandleOutcome(ctx *step.Context, from model.HostID, m message.OrderOutcome) {
	f := s.forwards[uint64(m.Call)]
	if f == nil || f.request.id != m.Answer.RequestID {
		return
	}
	s.completeForward(ctx, f, m.Answer)
}

// completeForward sends an outcome to the call that made a forwarded order.
func (s *State) completeForward(ctx *step.Context, f *forward, answer model.Answer) {
	s.removeForward(f)
	s.reply(ctx, f.request, answer)
}

// removeForward removes a forwarded order.
func (s *State) removeForward(f *forward) {
	delete(s.forwards, f.number)
	if call := f.request.waiter.localCall(); call != 0 {
		delete(s.forwardByCall, call)
	}
}

// handleForwardTimeout answers a forwarded order at its deadline.
func (s *State) handleForwardTimeout(ctx *step.Context, number uint64) {
	f := s.forwards[number]
	if f == nil {
		return
	}
	s.completeForward(ctx, f, unknownAnswer(f.request.id, model.CodeDeadline, "no outcome from the session's home in time; resend the order"))
}

// handleForwardRetry sends a forwarded order again unless it has been sent since.
func (s *State) handleForwardRetry(ctx *step.Context, number uint64) {
	if f := s.forwards[number]; f != nil && f.to == "" {
		s.sendForward(ctx, f)
	}
}

// HandleCallerGone removes the forward of a call that its caller ended. An order
// that has started continues.
func (s *State) HandleCallerGone(_ *step.Context, call model.CallID) {
	if f := s.forwards[s.forwardByCall[call]]; f != nil {
		s.removeForward(f)
	}
}

// HandlePeerLost schedules the orders sent to a lost peer to be sent again: they or
// their outcomes may be lost, and the home runs each order once.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	delete(s.announced, host)
	for _, f := range s.forwardsInOrder() {
		if f.to == host {
			f.to = ""
			after(ctx, forwardRetryDelay, timerForwardRetry, f.number)
		}
	}
}

// forwardsInOrder returns the forwarded orders sorted by number.
func (s *State) forwardsInOrder() []*forward {
	all := make([]*forward, 0, len(s.forwards))
	for _, f := range s.forwards {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *forward) int { return int(a.number) - int(b.number) })
	return all
}
