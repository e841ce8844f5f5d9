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

// Issuer assigns numbers to the sessions that this node opens.
type Issuer interface {
	// LastSessionNumber returns the highest session number assigned so far.
	LastSessionNumber() uint64
}

// State holds the sessions that this node is responsible for, and the orders that
// it forwarded to other homes.
type State struct {
	settings Settings
	runner   Runner
	issuer   Issuer
	homes    map[origin]*home
	// sessions and bytes are the number and estimated memory of the sessions of all
	// homes.
	sessions int
	bytes    int
	// finished lists finished orders, oldest first. Their replies are evicted in this
	// order when memory is short.
	finished []*order
	// lastNumber is the number assigned to the latest forward or waiter.
	lastNumber uint64
	forwards   map[uint64]*forward
	// forwardByCall maps a caller's open call to the number of its forward.
	forwardByCall map[model.CallID]uint64
	// orderByWaiter maps the number of a waiter to the order that it waits for.
	orderByWaiter map[uint64]*order
	// waiting is the number of calls that wait for a running order on this node.
	waiting int
	// orphans holds the orders that still ran when their sessions were handed over.
	orphans map[model.RequestID]*order

	// sweeping is true once the periodic sweep of expired records is scheduled.
	sweeping bool
	// handover is the handover of this node's sessions; nil until the node has sealed
	// its homes.
	handover *handover
	// incoming holds the handovers received from stopping homes.
	incoming map[origin]*incomingHandover
	// successors maps the origins of handed-over sessions to the responsible nodes.
	successors map[origin]successor
	// announced maps members to the incarnation that was notified of the sessions
	// that this node took over.
	announced map[model.HostID]model.Incarnation
}

// New returns a state without sessions.
func New(runner Runner) *State {
	return &State{
		settings:      DefaultSettings(),
		runner:        runner,
		homes:         make(map[origin]*home),
		forwards:      make(map[uint64]*forward),
		forwardByCall: make(map[model.CallID]uint64),
		orderByWaiter: make(map[uint64]*order),
		orphans:       make(map[model.RequestID]*order),
		incoming:      make(map[origin]*incomingHandover),
		successors:    make(map[origin]successor),
		announced:     make(map[model.HostID]model.Incarnation),
	}
}

// Configure replaces the default settings.
func (s *State) Configure(settings Settings) { s.settings = settings }

// SetIssuer sets the component that opens sessions.
func (s *State) SetIssuer(issuer Issuer) { s.issuer = issuer }

// request is one copy of an order, received from a caller or from another node.
type request struct {
	id           model.RequestID
	service      model.ServiceName
	body         []byte
	timeout      time.Duration
	acknowledged uint64
	hops         uint32
	waiter       waiter
}

// HandleOrder handles a caller's order: it starts the order on this node, forwards
// it to its home, or answers it with the recorded outcome.
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

// HandleForward handles an order that another node forwarded.
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

// route handles an order on this node if it is responsible for the order's
// session, and forwards it otherwise.
func (s *State) route(ctx *step.Context, r request) {
	s.startSweeping(ctx)
	// A caller cannot have received the outcome of the order that it is sending.
	r.acknowledged = min(r.acknowledged, r.id.Sequence-1)
	h := s.home(ctx, originOf(r.id.Session))
	if h == nil {
		s.forwardOrder(ctx, r)
		return
	}
	s.handleAtHome(ctx, h, r)
}

// home returns the record of an origin that this node is responsible for, or nil.
// The node's own record is created on first use.
func (s *State) home(ctx *step.Context, o origin) *home {
	h := s.homes[o]
	if h == nil && o == selfOrigin(ctx) && !s.hasSuccessor(o) {
		h = newHome(o, active)
		s.homes[o] = h
	}
	if h != nil && o == selfOrigin(ctx) && s.issuer != nil {
		h.issued = s.issuer.LastSessionNumber()
	}
	return h
}

// hasSuccessor reports whether an origin's sessions were handed over.
func (s *State) hasSuccessor(o origin) bool {
	_, moved := s.successors[o]
	return moved
}

// selfOrigin returns this node, in its current incarnation, as an origin.
func selfOrigin(ctx *step.Context) origin {
	return origin{host: ctx.Self.Host, incarnation: ctx.Self.Incarnation}
}

// runWithoutID runs an order that has no identifier. This is allowed only for a
// service whose requests may be repeated.
func (s *State) runWithoutID(ctx *step.Context, r request) {
	service := ctx.Config.Service(r.service)
	switch {
	case service == nil:
		s.refuse(ctx, r, unknownService(r.service))
	case !service.Policy.Repeatable:
		s.refuse(ctx, r, model.Failf(model.CodeIDRequired,
			"service %q requires a Request-Id header on orders", r.service))
	default:
		s.runner.RunOrder(ctx, query.Order{
			Call: r.waiter.call, Service: r.service, Body: r.body, Timeout: r.timeout,
		})
	}
}

// unknownService returns the failure of an order for a service that is not
// configured.
func unknownService(name model.ServiceName) *model.Failure {
	return model.Failf(model.CodeUnknownService, "no service %.100q", name)
}

// OrderDone records the outcome of an order that this node started.
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
	sess := s.session(started.RequestID.Session)
	if sess == nil {
		return
	}
	record := sess.find(started.RequestID.Sequence)
	if record == nil || record.answer != nil {
		return
	}
	sess.running--
	s.finish(ctx, record, answer)
}

// session returns the record of a session, or nil.
func (s *State) session(id model.SessionID) *session {
	h := s.homes[originOf(id)]
	if h == nil {
		return nil
	}
	return h.sessions[id.Number]
}

// HandleTimer runs the sweep, the timeouts and retries of calls, or the next
// step of a handover, depending on the kind of the timer.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	number := id >> timerKindBits
	switch timerKind(id & (1<<timerKindBits - 1)) {
	case timerSweep:
		s.sweep(ctx)
	case timerForwardTimeout:
		s.handleForwardTimeout(ctx, number)
	case timerForwardRetry:
		s.handleForwardRetry(ctx, number)
	case timerWaiterTimeout:
		s.handleWaiterTimeout(ctx, number)
	case timerHandover:
		s.advanceHandover(ctx)
	}
}

// timerKind is the purpose of a timer of this package.
type timerKind uint64

// Kinds of timers, encoded in the low bits of the timer's identifier.
const (
	timerSweep timerKind = iota + 1
	timerForwardTimeout
	timerForwardRetry
	timerWaiterTimeout
	timerHandover

	// timerKindBits is the number of bits that encode the kind.
	timerKindBits = 3
)

// after schedules a timer of this package.
func after(ctx *step.Context, d time.Duration, kind timerKind, number uint64) {
	ctx.After(d, timer.Session, number<<timerKindBits|uint64(kind))
}

// nextNumber returns a new number for a forward or a waiter.
func (s *State) nextNumber() uint64 {
	s.lastNumber++
	return s.lastNumber
}

// InFlight returns the number of calls that wait for the outcome of an order that
// runs on this node or was forwarded.
func (s *State) InFlight() int { return s.waiting + len(s.forwards) }
