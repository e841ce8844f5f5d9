// Package dispatch holds the connections to upstreams. It sends a sub-request
// only into a free slot; the rest wait in an earliest-deadline queue, where they
// can still be taken back as not run.
package dispatch

import (
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Placement tells which nodes dispatch for an upstream.
type Placement interface {
	Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID
}

// State holds one lane for each upstream that this node dispatches for.
type State struct {
	placement Placement
}

// New returns a state without connections.
func New(placement Placement) *State { return &State{placement: placement} }

// HandleConfig brings the lanes in line with the configuration and the
// membership in force.
func (s *State) HandleConfig(ctx *step.Context) {}

// HandleDispatch runs, queues or refuses a sub-request of a coordinator.
func (s *State) HandleDispatch(ctx *step.Context, from model.HostID, m message.Dispatch) {}

// HandleCancel takes a sub-request back.
func (s *State) HandleCancel(ctx *step.Context, from model.HostID, m message.Cancel) {}

// HandlePeerLost cancels the sub-requests of a coordinator that is gone.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {}

// HandleOpened takes in a new connection.
func (s *State) HandleOpened(ctx *step.Context, e event.ConnectionOpened) {}

// HandleClosed takes in the end of a connection.
func (s *State) HandleClosed(ctx *step.Context, e event.ConnectionClosed) {}

// HandleReply takes in an upstream's reply.
func (s *State) HandleReply(ctx *step.Context, e event.UpstreamReply) {}

// HandleStatus takes in an upstream's status.
func (s *State) HandleStatus(ctx *step.Context, e event.UpstreamStatusRead) {}

// HandleCancelDone takes back the connection that carried a cancellation.
func (s *State) HandleCancelDone(ctx *step.Context, e event.UpstreamCancelDone) {}

// HandleLeaving stops new work to upstreams that the platform says are leaving.
func (s *State) HandleLeaving(ctx *step.Context, upstreams []model.UpstreamID) {}

// HandleTimer handles deadlines of queued work, status polls and reconnects.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {}

// InFlight returns the number of sub-requests that are queued or sent.
func (s *State) InFlight() int { return 0 }
