// Package dispatch holds the connections to upstreams. It sends a sub-request
// only into a free slot; the rest wait in an earliest-deadline queue, where they
// can still be taken back as not run.
//
// Each upstream that the node dispatches for has a lane. A lane owns the
// upstream's connections, its jobs (the sub-requests that are queued or sent),
// and what was learned of the upstream.
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
	// lanes is ordered by upstream.
	lanes       []*lane
	byUpstream  map[model.UpstreamID]*lane
	byNumber    map[uint64]*lane
	connections map[model.ConnectionID]*connection
	jobs        map[model.AttemptID]*job
	// members is the hosts that the reports were last sent to.
	members        []model.HostID
	nextLane       uint64
	nextConnection model.ConnectionID
}

// New returns a state without connections.
func New(placement Placement) *State {
	return &State{
		placement:   placement,
		byUpstream:  make(map[model.UpstreamID]*lane),
		byNumber:    make(map[uint64]*lane),
		connections: make(map[model.ConnectionID]*connection),
		jobs:        make(map[model.AttemptID]*job),
	}
}

// HandleDispatch runs, queues or refuses a sub-request of a coordinator.
func (s *State) HandleDispatch(ctx *step.Context, from model.HostID, m message.Dispatch) {
	if _, known := s.jobs[m.Attempt]; known {
		return
	}
	j := newJob(ctx, from, m)
	l := s.byUpstream[m.Upstream]
	if l == nil || !l.owner {
		j.reply(ctx, message.DispatchResult{Status: message.StatusNotOwner, Reason: model.CodeUnavailable})
		return
	}
	s.accept(ctx, l, j)
}

// HandleCancel takes a sub-request back.
func (s *State) HandleCancel(ctx *step.Context, from model.HostID, m message.Cancel) {
	if j := s.jobs[m.Attempt]; j != nil && j.from == from {
		s.cancel(ctx, j)
	}
}

// HandlePeerLost cancels the sub-requests of a coordinator that is gone. Work
// that must run at most once and was written runs on.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	for _, l := range s.lanes {
		for _, j := range l.jobsOf(host) {
			if j.isQueued() || j.request.Repeatable {
				s.cancel(ctx, j)
			}
		}
	}
}

// HandleReply takes in an upstream's reply.
func (s *State) HandleReply(ctx *step.Context, e event.UpstreamReply) {
	c := s.connections[e.Connection]
	if c == nil || c.job == nil || c.job.request.Attempt != e.Attempt {
		return
	}
	l, j := c.lane, c.job
	c.job = nil
	if e.Closing {
		c.state = ending
	} else {
		c.state = idle
	}
	l.observeReply(ctx, j, e)
	s.finish(ctx, j, resultOf(l, e))
	s.refuseIfDraining(ctx, l)
	s.trim(ctx, l)
	s.pump(ctx, l)
	s.reportIfChanged(ctx, l)
}

// InFlight returns the number of sub-requests that are queued or sent.
func (s *State) InFlight() int { return len(s.jobs) }
