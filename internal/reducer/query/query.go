// Package query coordinates searches and orders: it pins a snapshot, scatters
// sub-requests to dispatchers, hedges and retries within a budget, and merges the
// replies into one answer. Only the coordinator hedges or retries sub-requests.
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

// Placement returns the nodes that dispatch for an upstream, best first.
type Placement interface {
	Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID
}

// OrderSink receives the outcomes of orders passed to RunOrder.
type OrderSink interface {
	OrderDone(ctx *step.Context, order Order, answer model.Answer)
}

// Order is an order that its session permits to start now.
type Order struct {
	// Call is the caller's open request on this node; zero for an order that another
	// node forwarded.
	Call      model.CallID
	RequestID model.RequestID
	Service   model.ServiceName
	Body      []byte
	Timeout   time.Duration
}

// Dependencies holds the components of the reducer that a coordinator depends on.
type Dependencies struct {
	Catalog    *snapshot.Catalog
	Placement  Placement
	Admission  *admission.State
	Quarantine *quarantine.State
}

// maxOpenRequests bounds the requests that one node coordinates concurrently.
const maxOpenRequests = 8192

// State holds the open searches and orders that this node coordinates.
type State struct {
	deps     Dependencies
	settings Settings
	sink     OrderSink

	// nextRequest and nextAttempt are the numbers assigned last.
	nextRequest uint64
	nextAttempt uint64
	requests    map[uint64]*request
	calls       map[model.CallID]*request
	attempts    map[uint64]attemptRef
	// cancelled holds the latest cancelled attempts until their results arrive.
	cancelled cancelledAttempts

	config   *model.Config
	services map[model.ServiceName]*serviceStats
	replicas *replica.Table
	routes   routes
}

// attemptRef locates an open attempt.
type attemptRef struct {
	request *request
	// index is the attempt's position in request.attempts.
	index int
}

// New returns a state with the default settings and no open requests.
func New(deps Dependencies) *State { return NewWith(deps, Settings{}) }

// NewWith returns a state with the given settings and no open requests.
func NewWith(deps Dependencies, settings Settings) *State {
	return &State{
		deps:      deps,
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

// SetSink sets the receiver of the orders' outcomes. It must be called before
// RunOrder.
func (s *State) SetSink(sink OrderSink) { s.sink = sink }

// InFlight returns the number of open searches and orders.
func (s *State) InFlight() int { return len(s.requests) }

// HandleSearch starts a caller's search or replies with a refusal.
func (s *State) HandleSearch(ctx *step.Context, e event.Search) {
	s.applyConfig(ctx)
	r, refusal := s.prepareSearch(ctx, e)
	if refusal != nil {
		s.refuseSearch(ctx, e, refusal)
		return
	}
	s.open(ctx, r)
	r.inCanaryPhase = s.needsCanaryPhase(r)
	s.scatter(ctx, r)
	s.progress(ctx, r)
}

// RunOrder starts an order. The sink receives its outcome exactly once, possibly
// before RunOrder returns.
func (s *State) RunOrder(ctx *step.Context, order Order) {
	s.applyConfig(ctx)
	r, refusal := s.prepareOrder(ctx, order)
	if refusal != nil {
		s.refuseOrder(ctx, order, refusal)
		return
	}
	s.open(ctx, r)
	s.scatter(ctx, r)
	s.progress(ctx, r)
}

// HandleCallerGone cancels a search whose caller disconnected.
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

// close cancels the open attempts of a request, releases its admission and
// removes it.
func (s *State) close(ctx *step.Context, r *request) {
	for i := range r.attempts {
		s.cancel(ctx, r, i)
	}
	s.deps.Admission.ReleaseAll(ctx, r.serviceConfigs())
	delete(s.requests, r.number)
	if !r.isOrder() {
		delete(s.calls, r.call)
	}
	r.closed = true
}
