package session

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Metrics of the package.
const (
	metricStarted  effect.Metric = "session_orders_started_total"
	metricResends  effect.Metric = "session_resends_total"
	metricRefused  effect.Metric = "session_orders_refused_total"
	metricForwards effect.Metric = "session_forwards_total"
	metricUnknown  effect.Metric = "session_unknown_total"
	metricHandover effect.Metric = "session_handovers_total"
)

// Runner starts orders.
type Runner interface {
	RunOrder(ctx *step.Context, order query.Order)
}

// Issuer numbers the sessions that this node opens.
type Issuer interface {
	// Opened returns the highest number given out.
	Opened() uint64
}

// State holds the sessions that this node answers for, and the orders that it
// passed on to other homes.
type State struct {
	settings Settings
	runner   Runner
	issuer   Issuer
	homes    map[origin]*home
	// sessions and bytes count what all homes hold.
	sessions int
	bytes    int
	// finished lists finished orders, oldest first, to drop replies from when
	// room is short.
	finished []*order
	// numbers gives out the numbers of forwards and waiters.
	numbers  uint64
	forwards map[uint64]*forward
	// calls finds the forward of a caller's open request.
	calls map[model.CallID]uint64
	// timed finds the order that a caller's waiter waits for.
	timed map[uint64]*order
	// waiting counts the calls that wait for a running order here.
	waiting int
	// orphans are orders that still ran when their sessions were handed over.
	orphans map[model.RequestID]*order

	sweeping  bool
	handover  *handover
	incoming  map[origin]*incoming
	moved     map[origin]successor
	announced map[model.HostID]model.Incarnation
}

// New returns a state without sessions.
func New(runner Runner) *State {
	return &State{
		settings:  DefaultSettings(),
		runner:    runner,
		homes:     make(map[origin]*home),
		forwards:  make(map[uint64]*forward),
		calls:     make(map[model.CallID]uint64),
		timed:     make(map[uint64]*order),
		orphans:   make(map[model.RequestID]*order),
		incoming:  make(map[origin]*incoming),
		moved:     make(map[origin]successor),
		announced: make(map[model.HostID]model.Incarnation),
	}
}

// Configure replaces the default settings.
func (s *State) Configure(settings Settings) { s.settings = settings }

// SetIssuer names the part that opens sessions.
func (s *State) SetIssuer(issuer Issuer) { s.issuer = issuer }

// request is one arrival of an order, from a caller or from another node.
type request struct {
	id           model.RequestID
	service      model.ServiceName
	body         []byte
	timeout      time.Duration
	acknowledged uint64
	hops         uint32
	waiter       waiter
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
		waiter:       waiter{call: e.Call, since: ctx.Now, service: e.Service},
	}
	if r.id.IsZero() {
		s.runWithoutID(ctx, r)
		return
	}
	s.route(ctx, r)
}

// HandleForward takes in an order that another node forwarded.
func (s *State) HandleForward(ctx *step.Context, from model.HostID, m message.OrderForward) {
	s.route(ctx, request{
		id:           m.RequestID,
		service:      m.Service,
		body:         m.Body,
		timeout:      time.Duration(m.TimeLeft),
		acknowledged: m.Acknowledged,
		hops:         m.Hops,
		waiter:       waiter{from: from, call: m.Call, since: ctx.Now, service: m.Service},
	})
}

// route handles an order here if this node answers for its session, and passes
// it on otherwise.
func (s *State) route(ctx *step.Context, r request) {
	s.startSweeping(ctx)
	// A caller cannot have the outcome of the order that it is sending.
	r.acknowledged = min(r.acknowledged, r.id.Sequence-1)
	h := s.home(ctx, originOf(r.id.Session))
	if h == nil {
		s.passOn(ctx, r)
		return
	}
	s.handleAtHome(ctx, h, r)
}

// home returns the record of an origin that this node answers for, or nil. That
// of the node itself is made at first use.
func (s *State) home(ctx *step.Context, o origin) *home {
	h := s.homes[o]
	if h == nil && o == selfOf(ctx) && !s.hasMoved(o) {
		h = newHome(o, active)
		s.homes[o] = h
	}
	if h != nil && o == selfOf(ctx) && s.issuer != nil {
		h.issued = s.issuer.Opened()
	}
	return h
}

// hasMoved reports whether an origin's sessions went to a successor.
func (s *State) hasMoved(o origin) bool {
	_, moved := s.moved[o]
	return moved
}

// selfOf returns the origin that this node is in its present life.
func selfOf(ctx *step.Context) origin {
	return origin{host: ctx.Self.Host, incarnation: ctx.Self.Incarnation}
}

// runWithoutID runs an order that carries no identifier, which is safe only for
// a service whose requests may be repeated.
func (s *State) runWithoutID(ctx *step.Context, r request) {
	service := ctx.Config.Service(r.service)
	switch {
	case service == nil:
		s.refuse(ctx, r, unknownService(r.service))
	case !service.Policy.Repeatable:
		s.refuse(ctx, r, model.Failf(model.CodeIDRequired,
			"service %q runs no order without a Request-Id header", r.service))
	default:
		s.runner.RunOrder(ctx, query.Order{
			Call: r.waiter.call, Service: r.service, Body: r.body, Timeout: r.timeout,
		})
	}
}

// unknownService returns the failure of an order to a service that is not
// configured.
func unknownService(name model.ServiceName) *model.Failure {
	return model.Failf(model.CodeUnknownService, "no service %.100q", name)
}

// OrderDone takes in the outcome of an order that this node started.
func (s *State) OrderDone(ctx *step.Context, started query.Order, answer model.Answer) {
	answer.RequestID = started.RequestID
	if started.RequestID.IsZero() {
		ctx.Emit(effect.ReplyCaller{Call: started.Call, Answer: answer, Service: started.Service})
		return
	}
	if orphan := s.orphans[started.RequestID]; orphan != nil {
		delete(s.orphans, started.RequestID)
		s.answerWaiters(ctx, orphan, answer)
		return
	}
	found := s.session(started.RequestID.Session)
	if found == nil {
		return
	}
	kept := found.find(started.RequestID.Sequence)
	if kept == nil || kept.answer != nil {
		return
	}
	found.running--
	s.finish(ctx, kept, answer)
}

// session returns the record of a session, or nil.
func (s *State) session(id model.SessionID) *session {
	h := s.homes[originOf(id)]
	if h == nil {
		return nil
	}
	return h.sessions[id.Number]
}

// HandleTimer lets sessions expire, waiting calls time out and handovers go on.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	number := id >> timerKindBits
	switch timerKind(id & (1<<timerKindBits - 1)) {
	case timerSweep:
		s.sweep(ctx)
	case timerForwardEnd:
		s.handleForwardEnd(ctx, number)
	case timerForwardRetry:
		s.handleForwardRetry(ctx, number)
	case timerWaiter:
		s.handleWaiterEnd(ctx, number)
	case timerHandover:
		s.stepHandover(ctx)
	}
}

// timerKind is what a timer of this package is for.
type timerKind uint64

// The kinds of timers, in the low bits of the timer's identifier.
const (
	timerSweep timerKind = iota + 1
	timerForwardEnd
	timerForwardRetry
	timerWaiter
	timerHandover

	timerKindBits = 3
)

// after sets a timer of this package.
func after(ctx *step.Context, d time.Duration, kind timerKind, number uint64) {
	ctx.After(d, timer.Session, number<<timerKindBits|uint64(kind))
}

// nextNumber returns a number for a forward or a waiter.
func (s *State) nextNumber() uint64 {
	s.numbers++
	return s.numbers
}

// InFlight returns the number of calls that wait for an order, here or at
// another home.
func (s *State) InFlight() int { return s.waiting + len(s.forwards) }
