// Package session makes orders run at most once. A session has one home node;
// only the home starts the session's orders, and it keeps their outcomes for
// resends until the caller acknowledges them. The idea of keeping results beside
// the executor and collecting them by acknowledgement is that of RIFL (Lee et
// al., SOSP 2015).
package session

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Runner starts orders.
type Runner interface {
	RunOrder(ctx *step.Context, order query.Order)
}

// State holds the sessions whose home is this node, and the orders forwarded to
// other homes.
type State struct {
	runner   Runner
	sessions map[model.SessionID]*session
	forwards map[model.CallID]*forward
	// waiting counts the callers that wait for a running order.
	waiting int
}

// New returns a state without sessions.
func New(runner Runner) *State {
	return &State{
		runner:   runner,
		sessions: make(map[model.SessionID]*session),
		forwards: make(map[model.CallID]*forward),
	}
}

// HandleOrder takes in a caller's order: it starts it here, forwards it home, or
// answers from the kept outcomes.
func (s *State) HandleOrder(ctx *step.Context, e event.Order) {
	r := request{
		id:           e.RequestID,
		service:      e.Service,
		body:         e.Body,
		timeout:      e.Timeout,
		acknowledged: e.Acknowledged,
		waiter:       waiter{call: e.Call, since: ctx.Now},
	}
	switch {
	case r.id.IsZero():
		s.runWithoutID(ctx, r)
	case isHome(ctx, r.id.Session):
		s.handleAtHome(ctx, r)
	default:
		s.forward(ctx, r)
	}
}

// isHome reports whether this node, in this incarnation, may start the session's
// orders.
func isHome(ctx *step.Context, id model.SessionID) bool {
	return id.Host == ctx.Self.Host && id.Incarnation == ctx.Self.Incarnation
}

// runWithoutID runs an order that carries no identifier, which is safe only for
// a service whose requests may be repeated.
func (s *State) runWithoutID(ctx *step.Context, r request) {
	service := ctx.Config.Service(r.service)
	if service == nil {
		s.reply(ctx, r, notRun(r.id, model.CodeUnknownService, "no service %q", r.service))
		return
	}
	if !service.Policy.Repeatable {
		s.reply(ctx, r, notRun(r.id, model.CodeIDRequired, "service %q runs no order without a request identifier", r.service))
		return
	}
	s.runner.RunOrder(ctx, query.Order{Call: r.waiter.call, Service: r.service, Body: r.body, Timeout: r.timeout})
}

// handleAtHome starts an order once; a resend waits for it or gets its kept
// outcome.
func (s *State) handleAtHome(ctx *step.Context, r request) {
	session := s.open(r.id.Session)
	print := quarantine.Fingerprint(r.service, r.body)
	if kept := session.orders[r.id.Sequence]; kept != nil {
		s.handleResend(ctx, r, kept, print)
		return
	}
	kept := &order{print: print}
	session.orders[r.id.Sequence] = kept
	if ctx.Config.Service(r.service) == nil {
		s.finish(ctx, kept, notRun(r.id, model.CodeUnknownService, "no service %q", r.service))
		s.reply(ctx, r, kept.answer)
		return
	}
	s.wait(kept, r)
	s.runner.RunOrder(ctx, query.Order{
		Call:      r.waiter.call,
		RequestID: r.id,
		Service:   r.service,
		Body:      r.body,
		Timeout:   r.timeout,
	})
}

// handleResend answers from the kept outcome, or waits for it.
func (s *State) handleResend(ctx *step.Context, r request, kept *order, print model.Fingerprint) {
	switch {
	case kept.print != print:
		s.reply(ctx, r, notRun(r.id, model.CodeConflict, "the request identifier was used with another service or body"))
	case kept.done:
		s.reply(ctx, r, kept.answer)
	default:
		s.wait(kept, r)
	}
}

// OrderDone takes in the outcome of an order that this node started.
func (s *State) OrderDone(ctx *step.Context, started query.Order, answer model.Answer) {
	answer.RequestID = started.RequestID
	if started.RequestID.IsZero() {
		ctx.Emit(effect.ReplyCaller{Call: started.Call, Answer: answer, Service: started.Service})
		return
	}
	session := s.sessions[started.RequestID.Session]
	if session == nil {
		return
	}
	if kept := session.orders[started.RequestID.Sequence]; kept != nil && !kept.done {
		s.finish(ctx, kept, answer)
	}
}

// finish keeps an order's outcome and passes it to all that wait.
func (s *State) finish(ctx *step.Context, kept *order, answer model.Answer) {
	kept.done = true
	kept.answer = answer
	waiters := kept.waiters
	kept.waiters = nil
	s.waiting -= len(waiters)
	for _, w := range waiters {
		s.replyTo(ctx, w, answer)
	}
}

// HandleForward takes in an order that another node forwarded.
func (s *State) HandleForward(ctx *step.Context, from model.HostID, m message.OrderForward) {
	r := request{
		id:           m.RequestID,
		service:      m.Service,
		body:         m.Body,
		timeout:      time.Duration(m.TimeLeft),
		acknowledged: m.Acknowledged,
		waiter:       waiter{from: from, call: m.Call, since: ctx.Now, service: m.Service},
	}
	if !isHome(ctx, r.id.Session) {
		s.reply(ctx, r, outcomeLost(r.id))
		return
	}
	s.handleAtHome(ctx, r)
}

// Seal ends the node's sessions for good and starts the handover to a successor.
func (s *State) Seal(ctx *step.Context) {}

// HandedOver reports whether nothing is left to hand over.
func (s *State) HandedOver() bool { return true }

// HandleHandover takes in the sessions of a stopping home.
func (s *State) HandleHandover(ctx *step.Context, from model.HostID, m message.SessionHandover) {}

// HandleHandoverAck takes in a successor's confirmation.
func (s *State) HandleHandoverAck(ctx *step.Context, from model.HostID, m message.HandoverAck) {}

// HandleMoved takes in who answers for a stopped home's sessions.
func (s *State) HandleMoved(ctx *step.Context, m message.SessionMoved) {}

// InFlight returns the number of callers that wait for an order.
func (s *State) InFlight() int { return s.waiting + len(s.forwards) }
