// Package query coordinates searches and orders: it pins a snapshot, scatters
// sub-requests to dispatchers, hedges and retries on a budget, and gathers one
// whole answer. It is the only place that repeats anything.
package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Placement tells which nodes dispatch for an upstream.
type Placement interface {
	Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID
}

// OrderSink takes the outcomes of orders that RunOrder started.
type OrderSink interface {
	OrderDone(ctx *step.Context, order Order, answer model.Answer)
}

// Order is an order that may start now: its session allows it.
type Order struct {
	// Call is the caller's open request on this node, zero for a forwarded one.
	Call      model.CallID
	RequestID model.RequestID
	Service   model.ServiceName
	Body      []byte
	Timeout   time.Duration
}

// Dependencies are the parts of the reducer that a coordinator asks.
type Dependencies struct {
	Catalog    *snapshot.Catalog
	Placement  Placement
	Admission  *admission.State
	Quarantine *quarantine.State
}

// maxOpenRequests bounds the requests that one node coordinates at once.
const maxOpenRequests = 8192

// State holds the open searches and orders that this node coordinates.
type State struct {
	parts    Dependencies
	settings Settings
	sink     OrderSink

	// nextRequest and nextAttempt are the last numbers given out.
	nextRequest uint64
	nextAttempt uint64
	requests    map[uint64]*request
	calls       map[model.CallID]*request
	attempts    map[uint64]attemptRef
	// cancelled remembers cancelled attempts until their results arrive.
	cancelled cancelledAttempts

	config   *model.Config
	services map[model.ServiceName]*serviceStats
	replicas *replica.Table
	routes   routes
}

// attemptRef finds an open attempt.
type attemptRef struct {
	request *request
	// index is the attempt's place in the request.
	index int
}

// New returns a state without open requests and with the default settings.
func New(parts Dependencies) *State { return NewWith(parts, Settings{}) }

// NewWith returns a state without open requests.
func NewWith(parts Dependencies, settings Settings) *State {
	return &State{
		parts:     parts,
		settings:  settings,
		requests:  make(map[uint64]*request),
		calls:     make(map[model.CallID]*request),
		attempts:  make(map[uint64]attemptRef),
		cancelled: newCancelledAttempts(),
		services:  make(map[model.ServiceName]*serviceStats),
		replicas:  replica.NewTable(),
		routes:    newRoutes(),
	}
}

// SetSink names the receiver of the orders' outcomes.
func (s *State) SetSink(sink OrderSink) { s.sink = sink }

// InFlight returns the number of open searches and orders.
func (s *State) InFlight() int { return len(s.requests) }

// HandleSearch starts a caller's search.
func (s *State) HandleSearch(ctx *step.Context, e event.Search) {
	s.sync(ctx)
	r, refusal := s.prepareSearch(ctx, e)
	if refusal != nil {
		s.refuseSearch(ctx, e, refusal)
		return
	}
	s.open(ctx, r)
	r.probing = s.needsProbe(r)
	s.scatter(ctx, r)
	s.progress(ctx, r)
}

// RunOrder starts an order; its outcome goes to the sink, once. It may come
// before RunOrder returns.
func (s *State) RunOrder(ctx *step.Context, order Order) {
	s.sync(ctx)
	r, refusal := s.prepareOrder(ctx, order)
	if refusal != nil {
		s.refuseOrder(ctx, order, refusal)
		return
	}
	s.open(ctx, r)
	s.scatter(ctx, r)
	s.progress(ctx, r)
}

// HandleCallerGone cancels a search whose caller closed the request.
func (s *State) HandleCallerGone(ctx *step.Context, call model.CallID) {
	r, ok := s.calls[call]
	if !ok {
		return
	}
	ctx.Count(metricCallersGone, "")
	s.close(ctx, r)
}

// open registers a prepared request.
func (s *State) open(ctx *step.Context, r *request) {
	r.priority = ctx.Random.Uint32()
	s.nextRequest++
	r.number = s.nextRequest
	s.requests[r.number] = r
	if !r.isOrder() {
		s.calls[r.call] = r
	}
}

// close cancels what is open of a request and forgets it.
func (s *State) close(ctx *step.Context, r *request) {
	for i := range r.attempts {
		s.cancel(ctx, r, i)
	}
	s.parts.Admission.ReleaseAll(ctx, r.serviceConfigs())
	delete(s.requests, r.number)
	if !r.isOrder() {
		delete(s.calls, r.call)
	}
	r.closed = true
}
