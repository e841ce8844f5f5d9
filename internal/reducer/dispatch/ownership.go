package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// takeoverHold is how long a new dispatcher leaves half of its slots to the
	// previous one, which may not know yet that it is not one any more.
	takeoverHold = 500 * time.Millisecond
	// takeoverWait is how long a new dispatcher waits at most for the previous one
	// to finish what it had in flight beyond its half, and takeoverRetry the time
	// between two looks at the upstream's status meanwhile.
	takeoverWait  = 100 * time.Millisecond
	takeoverRetry = 10 * time.Millisecond
	// retirement is how long a previous dispatcher goes on with the other half,
	// for coordinators that do not know the new one yet.
	retirement = 250 * time.Millisecond
	// takeoverProbe is when a new dispatcher asks the upstream whether others
	// still use it: after the retirement and the time that views may differ.
	takeoverProbe = 300 * time.Millisecond
)

// HandleConfig brings the lanes in line with the configuration and the
// membership in force.
func (s *State) HandleConfig(ctx *step.Context) {
	members := ctx.View.Members()
	owned := make(map[model.UpstreamID]bool, len(s.lanes))
	configured := make(map[model.UpstreamID]bool, len(s.configured))
	for i := range ctx.Config.Services {
		service := &ctx.Config.Services[i]
		for _, upstream := range service.Upstreams {
			configured[upstream.ID] = true
			dispatchers := s.placement.Dispatchers(upstream.ID, members)
			rank := slices.Index(dispatchers, ctx.Self.Host)
			if rank < 0 || ctx.Self.State == model.Starting {
				// A node that is starting does not know the others yet.
				continue
			}
			owned[upstream.ID] = true
			s.own(ctx, service, upstream, share{
				rank:           rank,
				dispatchers:    len(dispatchers),
				maxDispatchers: s.placement.MaxDispatchers(),
			})
		}
	}
	s.configured = configured
	for _, l := range slices.Clone(s.lanes) {
		switch {
		case !l.owner || owned[l.upstream.ID]:
		case configured[l.upstream.ID]:
			s.retire(ctx, l)
		default:
			s.disown(ctx, l)
		}
	}
	s.reportToNewReaders(ctx)
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
	takeover := !l.owner && s.configured[upstream.ID]
	l.owner = true
	l.retires = 0
	l.upstream = upstream
	l.policy = service.Policy
	l.part = part
	l.slots = part.slots(upstream.Slots)
	l.maxConnections = part.connections(upstream.MaxConnections)
	l.limit.SetCeiling(l.slots)
	if takeover {
		s.holdSlots(ctx, l)
	}
	s.proceed(ctx, l)
}

// holdSlots sends nothing after a takeover until the upstream's status tells what
// the previous dispatcher has in flight, and leaves half of the slots to it for a
// while.
func (s *State) holdSlots(ctx *step.Context, l *lane) {
	l.limit.Hold(0, ctx.Now, takeoverHold)
	l.status.due = true
	l.setTimer(ctx, takeoverWait, takeoverTimer)
	l.setTimer(ctx, takeoverProbe, takeoverTimer)
	l.setTimer(ctx, takeoverHold, takeoverTimer)
}

// heirSlots is the part of the slots that a new dispatcher uses during a takeover,
// and the rest is the previous one's.
func (l *lane) heirSlots() int { return l.slots - l.slots/2 }

// adjustHold follows what the upstream reports of others' work during a takeover.
// The hold ends early when there is none; the report of the first moments does
// not suffice for that, because the previous dispatcher may only just be learning
// of the change.
func (s *State) adjustHold(ctx *step.Context, l *lane) {
	if !l.owner || !l.limit.IsHeld(ctx.Now) {
		return
	}
	others := max(0, l.status.inFlight-len(l.inFlight))
	held := l.limit.HeldSince(ctx.Now)
	switch {
	case others == 0 && held >= takeoverProbe:
		l.limit.EndHold()
	case others <= l.slots/2 || held >= takeoverWait:
		l.limit.SetHeld(l.heirSlots())
	default:
		l.limit.SetHeld(max(0, l.slots-others))
		l.setTimer(ctx, takeoverRetry, takeoverTimer)
	}
}

// handleTakeoverTimer looks at the upstream's status again. A status that does
// not come does not hold a takeover up for longer than takeoverWait.
func (s *State) handleTakeoverTimer(ctx *step.Context, l *lane) {
	l.status.due = true
	if l.owner && l.limit.HeldSince(ctx.Now) >= takeoverWait {
		l.limit.SetHeld(l.heirSlots())
	}
	s.pump(ctx, l)
}

// addLane adds a lane for an upstream.
func (s *State) addLane(ctx *step.Context, id model.UpstreamID) *lane {
	s.nextLane++
	l := &lane{number: s.nextLane, queue: queue.New[*job]()}
	l.upstream.ID = id
	l.status.listed = s.listed[id]
	at, _ := slices.BinarySearchFunc(s.lanes, id, func(l *lane, id model.UpstreamID) int {
		return cmp.Compare(l.upstream.ID, id)
	})
	s.lanes = slices.Insert(s.lanes, at, l)
	s.byUpstream[id] = l
	s.byNumber[l.number] = l
	s.setPeriodTimer(ctx, l)
	return l
}

// retire gives an upstream up to another dispatcher. For a while this node uses
// the half of the slots that the new one leaves to it, for coordinators that do
// not know the new one yet; it queues nothing any more.
func (s *State) retire(ctx *step.Context, l *lane) {
	half := l.slots / 2
	if half == 0 {
		s.disown(ctx, l)
		return
	}
	l.owner = false
	l.retires = ctx.Now.Add(retirement)
	l.limit.Hold(half, ctx.Now, retirement)
	s.refuseQueued(ctx, l, notOwner())
	l.setTimer(ctx, retirement, retireTimer)
}

// disown stops to dispatch for an upstream: what is queued goes back to the
// coordinators as not run, what was sent runs to its end.
func (s *State) disown(ctx *step.Context, l *lane) {
	l.owner = false
	l.retires = 0
	s.refuseQueued(ctx, l, notOwner())
	s.trim(ctx, l)
	s.removeIfUnused(l)
}

// notOwner returns the result of a job for an upstream that this node does not
// dispatch for.
func notOwner() message.DispatchResult {
	return message.DispatchResult{Status: message.StatusNotOwner, Reason: model.CodeUnavailable}
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
	for _, e := range l.queue.Entries() {
		s.finish(ctx, e.Value, result)
	}
}

// removeIfUnused forgets a lane that this node does not own once its last
// connection has ended and its last job is settled.
func (s *State) removeIfUnused(l *lane) {
	if l.owner || l.retires != 0 || len(l.connections) > 0 || len(l.collapse.suspects) > 0 {
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
