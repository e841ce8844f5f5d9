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
	// forwardRetryDelay is the wait before an order is sent again to a home that
	// could not be reached. The home runs it once, however often it arrives.
	forwardRetryDelay = 100 * time.Millisecond
	// forwardTries bounds the sends of one order to homes that cannot be reached.
	forwardTries = 5
	// maxHops bounds the nodes that an order passes.
	maxHops = 4
)

// forward is an order that waits for the outcome from another home, or for a
// successor of this one.
type forward struct {
	number  uint64
	request request
	// to is the node that has the order; empty while it has not been sent.
	to       model.HostID
	deadline model.Instant
	tries    int
}

// successor is the node that answers for a stopped home's sessions.
type successor struct {
	host       model.HostID
	generation uint64
	heard      model.Instant
}

// passOn makes an order wait for the outcome from its home, which is not this
// node, or is no longer.
func (s *State) passOn(ctx *step.Context, r request) {
	if r.hops >= maxHops {
		s.reply(ctx, r, unknown(r.id, model.CodeUnavailable, "no node answers for session %s", r.id.Session))
		return
	}
	f := &forward{number: s.nextNumber(), request: r, deadline: ctx.Now.Add(orderTimeout(ctx, r) + waitGrace)}
	s.forwards[f.number] = f
	if call := r.waiter.localCall(); call != 0 {
		s.calls[call] = f.number
	}
	after(ctx, f.deadline.Sub(ctx.Now), timerForwardEnd, f.number)
	ctx.Count(metricForwards, "")
	s.sendForward(ctx, f)
}

// sendForward sends an order to the node that answers for its session, waits if
// there is none yet, or ends it if there never will be.
func (s *State) sendForward(ctx *step.Context, f *forward) {
	o := originOf(f.request.id.Session)
	if h := s.homes[o]; h != nil {
		s.holdForward(ctx, h, f)
		return
	}
	to, found := s.locate(ctx, o)
	switch {
	case f.tries >= forwardTries:
		s.endForward(ctx, f, homeLost(f.request.id))
	case !found:
		// The news of a successor may be on its way.
		f.tries++
		after(ctx, forwardRetryDelay, timerForwardRetry, f.number)
	default:
		f.tries++
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

// holdForward keeps an order that reached a sealed home until the successor
// answers for its session, or refuses it if there will be none: a sealed home
// starts nothing, and nobody else may.
func (s *State) holdForward(ctx *step.Context, h *home, f *forward) {
	switch h.role {
	case active:
		s.dropForward(f)
		s.handleAtHome(ctx, h, f.request)
	case ended:
		s.endForward(ctx, f, refused(f.request.id, model.Failf(model.CodeStopping, "the node is stopping")))
	}
}

// locate returns the node that answers for an origin's sessions, or false if
// none is known or can be reached.
func (s *State) locate(ctx *step.Context, o origin) (to model.HostID, found bool) {
	next, moved := s.moved[o]
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

// HandleOutcome takes in the outcome of an order forwarded by this node. One
// that names another request is dropped: it was meant for an earlier life of
// this host.
func (s *State) HandleOutcome(ctx *step.Context, from model.HostID, m message.OrderOutcome) {
	f := s.forwards[uint64(m.Call)]
	if f == nil || f.request.id != m.Answer.RequestID {
		return
	}
	s.endForward(ctx, f, m.Answer)
}

// endForward passes an outcome to the call behind a forwarded order.
func (s *State) endForward(ctx *step.Context, f *forward, answer model.Answer) {
	s.dropForward(f)
	s.reply(ctx, f.request, answer)
}

// dropForward forgets a forwarded order.
func (s *State) dropForward(f *forward) {
	delete(s.forwards, f.number)
	if call := f.request.waiter.localCall(); call != 0 {
		delete(s.calls, call)
	}
}

// handleForwardEnd ends a forwarded order at its deadline.
func (s *State) handleForwardEnd(ctx *step.Context, number uint64) {
	f := s.forwards[number]
	if f == nil {
		return
	}
	s.endForward(ctx, f, unknown(f.request.id, model.CodeDeadline, "no outcome from the session's home in time; send it again"))
}

// handleForwardRetry sends a forwarded order again.
func (s *State) handleForwardRetry(ctx *step.Context, number uint64) {
	if f := s.forwards[number]; f != nil && f.to == "" {
		s.sendForward(ctx, f)
	}
}

// HandleCallerGone forgets who waits; a started order goes on.
func (s *State) HandleCallerGone(_ *step.Context, call model.CallID) {
	if f := s.forwards[s.calls[call]]; f != nil {
		s.dropForward(f)
	}
}

// HandlePeerLost sends the orders again that were with a lost peer: either they
// or their outcomes may be lost, and the home runs each once.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	delete(s.announced, host)
	for _, f := range s.forwardsInOrder() {
		if f.to == host {
			f.to = ""
			after(ctx, forwardRetryDelay, timerForwardRetry, f.number)
		}
	}
}

// forwardsInOrder returns the forwarded orders by number.
func (s *State) forwardsInOrder() []*forward {
	all := make([]*forward, 0, len(s.forwards))
	for _, f := range s.forwards {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *forward) int { return int(a.number) - int(b.number) })
	return all
}
