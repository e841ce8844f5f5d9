// Package query coordinates searches and orders: it pins a snapshot, scatters
// sub-requests to dispatchers, hedges and retries on a budget, and gathers one
// whole answer. It is the only place that repeats anything.
package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
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

// Parts are the parts of the reducer that a coordinator asks.
type Parts struct {
	Catalog    *snapshot.Catalog
	Placement  Placement
	Admission  *admission.State
	Quarantine *quarantine.State
}

// State holds the open searches and orders that this node coordinates.
type State struct {
	parts Parts
	sink  OrderSink
}

// New returns a state without open requests.
func New(parts Parts) *State { return &State{parts: parts} }

// SetSink names the receiver of the orders' outcomes.
func (s *State) SetSink(sink OrderSink) { s.sink = sink }

// HandleSearch starts a caller's search.
func (s *State) HandleSearch(ctx *step.Context, e event.Search) {}

// RunOrder starts an order; its outcome goes to the sink, once.
func (s *State) RunOrder(ctx *step.Context, order Order) {}

// HandleResult takes in a dispatcher's result.
func (s *State) HandleResult(ctx *step.Context, from model.HostID, m message.DispatchResult) {}

// HandleCallerGone cancels a search whose caller closed the request.
func (s *State) HandleCallerGone(ctx *step.Context, call model.CallID) {}

// HandlePeerLost settles the attempts that were with a lost dispatcher.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {}

// HandleTimer handles hedge times, answer-by times and deadlines.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {}

// InFlight returns the number of open searches and orders.
func (s *State) InFlight() int { return 0 }
