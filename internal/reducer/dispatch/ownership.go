package dispatch

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// HandleConfig brings the lanes in line with the configuration and the
// membership in force.
func (s *State) HandleConfig(ctx *step.Context) {
	members := ctx.View.Members()
	owned := make(map[model.UpstreamID]bool, len(s.lanes))
	for i := range ctx.Config.Services {
		service := &ctx.Config.Services[i]
		for _, upstream := range service.Upstreams {
			dispatchers := s.placement.Dispatchers(upstream.ID, members)
			rank := slices.Index(dispatchers, ctx.Self.Host)
			if rank < 0 {
				continue
			}
			owned[upstream.ID] = true
			s.own(ctx, service, upstream, share{rank: rank, dispatchers: len(dispatchers)})
		}
	}
	for _, l := range slices.Clone(s.lanes) {
		if !owned[l.upstream.ID] {
			s.disown(ctx, l)
		}
	}
	s.reportToNewMembers(ctx)
}

// own dispatches for an upstream from now on, or goes on to.
func (s *State) own(ctx *step.Context, service *model.Service, upstream model.Upstream, part share) {
	l := s.byUpstream[upstream.ID]
	if l != nil && l.upstream.Address != upstream.Address {
		s.disown(ctx, l)
		s.forget(l)
		l = nil
	}
	if l == nil {
		l = s.addLane(ctx, upstream.ID)
	}
	l.owner = true
	l.upstream = upstream
	l.policy = service.Policy
	l.slots = part.slots(upstream.Slots)
	l.maxConnections = part.connections(upstream.Connections)
	s.refuseIfDraining(ctx, l)
	s.trim(ctx, l)
	s.connect(ctx, l)
	s.pump(ctx, l)
	s.reportIfChanged(ctx, l)
}

// addLane adds a lane for an upstream.
func (s *State) addLane(ctx *step.Context, id model.UpstreamID) *lane {
	s.nextLane++
	l := &lane{number: s.nextLane}
	l.status.due = true
	at, _ := slices.BinarySearchFunc(s.lanes, id, func(l *lane, id model.UpstreamID) int {
		return cmp.Compare(l.upstream.ID, id)
	})
	l.upstream.ID = id
	s.lanes = slices.Insert(s.lanes, at, l)
	s.byUpstream[id] = l
	s.byNumber[l.number] = l
	s.setPeriodTimer(ctx, l)
	return l
}

// disown stops to dispatch for an upstream: what is queued goes back to the
// coordinators as not run, what was sent runs to its end.
func (s *State) disown(ctx *step.Context, l *lane) {
	l.owner = false
	s.refuseQueued(ctx, l, message.DispatchResult{Status: message.StatusNotOwner, Reason: model.CodeUnavailable})
	s.trim(ctx, l)
	s.removeIfUnused(l)
}

// refuseIfDraining gives queued jobs back when the upstream is leaving.
func (s *State) refuseIfDraining(ctx *step.Context, l *lane) {
	if l.isDraining() {
		s.refuseQueued(ctx, l, *refused(model.CodeUnavailable))
	}
}

// refuseQueued ends all queued jobs with a result that says that they did not
// run.
func (s *State) refuseQueued(ctx *step.Context, l *lane, result message.DispatchResult) {
	var queued []*job
	l.queue.Each(func(e *queue.Entry[*job]) { queued = append(queued, e.Value) })
	for _, j := range queued {
		s.finish(ctx, j, result)
	}
}

// removeIfUnused forgets a lane that this node does not own once its last
// connection has ended.
func (s *State) removeIfUnused(l *lane) {
	if l.owner || len(l.connections) > 0 {
		return
	}
	s.forget(l)
	delete(s.byNumber, l.number)
}

// forget takes a lane off the list; its connections still end through it.
func (s *State) forget(l *lane) {
	if s.byUpstream[l.upstream.ID] != l {
		return
	}
	delete(s.byUpstream, l.upstream.ID)
	s.lanes = slices.DeleteFunc(s.lanes, func(other *lane) bool { return other == l })
}
