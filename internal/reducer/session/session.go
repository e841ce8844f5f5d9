// Package session makes orders run at most once. A session has one home node;
// only the home starts the session's orders, and it keeps their outcomes for
// resends until the caller acknowledges them. The idea of keeping results beside
// the executor and collecting them by acknowledgement is that of RIFL (Lee et
// al., SOSP 2015).
package session

import (
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
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
	runner Runner
}

// New returns a state without sessions.
func New(runner Runner) *State { return &State{runner: runner} }

// HandleOrder takes in a caller's order: it starts it here, forwards it home, or
// answers from the kept outcomes.
func (s *State) HandleOrder(ctx *step.Context, e event.Order) {}

// OrderDone takes in the outcome of an order that this node started.
func (s *State) OrderDone(ctx *step.Context, order query.Order, answer model.Answer) {}

// HandleForward takes in an order that another node forwarded.
func (s *State) HandleForward(ctx *step.Context, from model.HostID, m message.OrderForward) {}

// HandleOutcome takes in the outcome of an order forwarded by this node.
func (s *State) HandleOutcome(ctx *step.Context, from model.HostID, m message.OrderOutcome) {}

// HandleCallerGone forgets who waits; a started order goes on.
func (s *State) HandleCallerGone(ctx *step.Context, call model.CallID) {}

// HandlePeerLost settles the orders that were forwarded to a lost home.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {}

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

// HandleTimer lets sessions expire and forwarded orders time out.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {}

// InFlight returns the number of callers that wait for an order.
func (s *State) InFlight() int { return 0 }
