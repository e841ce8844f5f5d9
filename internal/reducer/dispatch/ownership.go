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
	// previous one, which may not yet know that it was replaced.
	takeoverHold = 500 * time.Millisecond
	// takeoverWait is the maximum time that a new dispatcher waits for the previous
	// one to finish the jobs in flight beyond its half of the slots. takeoverRetry is
	// the interval of the status reads during that wait.
	takeoverWait  = 100 * time.Millisecond
	takeoverRetry = 10 * time.Millisecond
	// retirementPeriod is how long a previous dispatcher still uses the half of the
	// slots that is left to it, for coordinators that do not know the new one yet.
	retirementPeriod = 250 * time.Millisecond
	// takeoverRecheck is the delay before a new dispatcher checks whether other nodes
	// still use the upstream. It covers the retirement period and the time for which
	// the views of two nodes may differ.
	takeoverRecheck = 300 * time.Millisecond
)

// HandleConfig applies the current configuration and membership to the pools.
func (s *State) HandleConfig(ctx *step.Context) {
	members := ctx.View.Members()
	owned := make(map[model.UpstreamID]bool, len(s.pools))
	configured := make(map[model.UpstreamID]bool, len(s.configured))
	for i := range ctx.Config.Services {
		service := &ctx.Config.Services[i]
		for _, upstream := range service.Upstreams {
			configured[upstream.ID] = true
			dispatchers := s.placement.Dispatchers(upstream.ID, members)
			rank := slices.Index(dispatchers, ctx.Self.Host)
			if rank < 0 || ctx.Self.State == model.Starting {
				// A starting node does not know the other members yet.
				continue
			}
			owned[upstream.ID] = true
			s.acquire(ctx, service, upstream, share{
				rank:           rank,
				dispatchers:    len(dispatchers),
				maxDispatchers: s.placement.MaxDispatchers(),
			})
		}
	}
	s.configured = configured
	for _, pool := range slices.Clone(s.pools) {
		switch {
		case !pool.owned || owned[pool.upstream.ID]:
		case configured[pool.upstream.ID]:
			s.retire(ctx, pool)
		default:
			s.release(ctx, pool)
		}
	}
	s.reportToNewRecipients(ctx)
}

// acquire makes this node a dispatcher of an upstream, or updates the upstream's
// pool if it already is one. An upstream with a new address gets a new pool.
func (s *State) acquire(ctx *step.Context, service *model.Service, upstream model.Upstream, assigned share) {
	pool := s.byUpstream[upstream.ID]
	if pool != nil && pool.upstream.Address != upstream.Address {
		s.release(ctx, pool)
		s.unregister(pool)
		pool = nil
	}
	if pool == nil {
		pool = s.addPool(ctx, upstream.ID)
	}
	takeover := !pool.owned && s.configured[upstream.ID]
	pool.owned = true
	pool.retiringUntil = 0
	pool.upstream = upstream
	pool.policy = service.Policy
	pool.share = assigned
	pool.slots = assigned.slots(upstream.Slots)
	pool.maxConnections = assigned.connections(upstream.MaxConnections)
	pool.limit.SetCeiling(pool.slots)
	if takeover {
		s.startTakeover(ctx, pool)
	}
	s.reconcile(ctx, pool)
}

// startTakeover stops sending until the upstream's status shows what the previous
// dispatcher has in flight. Until takeoverHold ends, the previous dispatcher may use
// half of the slots.
func (s *State) startTakeover(ctx *step.Context, pool *upstreamPool) {
	pool.limit.Hold(0, ctx.Now, takeoverHold)
	pool.status.due = true
	pool.setTimer(ctx, takeoverWait, takeoverTimer)
	pool.setTimer(ctx, takeoverRecheck, takeoverTimer)
	pool.setTimer(ctx, takeoverHold, takeoverTimer)
}

// takeoverSlots returns how many slots a new dispatcher may use during a takeover;
// the rest is left to the previous one.
func (p *upstreamPool) takeoverSlots() int { return p.slots - p.slots/2 }

// adjustHold adapts the hold of a takeover to the jobs of other nodes that the
// upstream reports. The hold ends early if there are none, but not before
// takeoverRecheck: the previous dispatcher may still send until it has received
// the change.
func (s *State) adjustHold(ctx *step.Context, pool *upstreamPool) {
	if !pool.owned || !pool.limit.IsHeld(ctx.Now) {
		return
	}
	others := max(0, pool.status.inFlight-len(pool.inFlight))
	held := pool.limit.HeldFor(ctx.Now)
	switch {
	case others == 0 && held >= takeoverRecheck:
		pool.limit.EndHold()
	case others <= pool.slots/2 || held >= takeoverWait:
		pool.limit.SetHeldSlots(pool.takeoverSlots())
	default:
		pool.limit.SetHeldSlots(max(0, pool.slots-others))
		pool.setTimer(ctx, takeoverRetry, takeoverTimer)
	}
}

// handleTakeoverTimer reads the upstream's status again. A missing status delays a
// takeover by at most takeoverWait.
func (s *State) handleTakeoverTimer(ctx *step.Context, pool *upstreamPool) {
	pool.status.due = true
	if pool.owned && pool.limit.HeldFor(ctx.Now) >= takeoverWait {
		pool.limit.SetHeldSlots(pool.takeoverSlots())
	}
	s.dispatchQueued(ctx, pool)
}

// addPool adds a pool for an upstream.
func (s *State) addPool(ctx *step.Context, id model.UpstreamID) *upstreamPool {
	s.nextPool++
	pool := &upstreamPool{number: s.nextPool, queue: queue.New[*job]()}
	pool.upstream.ID = id
	pool.status.platformDraining = s.platformDraining[id]
	position, _ := slices.BinarySearchFunc(s.pools, id, func(pool *upstreamPool, id model.UpstreamID) int {
		return cmp.Compare(pool.upstream.ID, id)
	})
	s.pools = slices.Insert(s.pools, position, pool)
	s.byUpstream[id] = pool
	s.byNumber[pool.number] = pool
	s.setPeriodicTimer(ctx, pool)
	return pool
}

// retire hands an upstream over to another dispatcher. During the retirement period
// this node may use the half of the slots that the new one leaves to it, for
// coordinators that do not know the new one yet; it queues no more jobs.
func (s *State) retire(ctx *step.Context, pool *upstreamPool) {
	half := pool.slots / 2
	if half == 0 {
		s.release(ctx, pool)
		return
	}
	pool.owned = false
	pool.retiringUntil = ctx.Now.Add(retirementPeriod)
	pool.limit.Hold(half, ctx.Now, retirementPeriod)
	s.refuseQueued(ctx, pool, notOwner())
	pool.setTimer(ctx, retirementPeriod, retireTimer)
}

// release stops dispatching for an upstream: queued jobs are returned to their
// coordinators as not run, and sent jobs run to completion.
func (s *State) release(ctx *step.Context, pool *upstreamPool) {
	pool.owned = false
	pool.retiringUntil = 0
	s.refuseQueued(ctx, pool, notOwner())
	s.closeExcessConnections(ctx, pool)
	s.removeIfUnused(pool)
}

// notOwner returns the result of a job for an upstream that this node does not
// dispatch for.
func notOwner() message.DispatchResult {
	return message.DispatchResult{Status: message.StatusNotOwner, Reason: model.CodeUnavailable}
}

// refuseIfDraining refuses the queued jobs if the upstream is draining.
func (s *State) refuseIfDraining(ctx *step.Context, pool *upstreamPool) {
	if pool.isDraining() {
		s.refuseQueued(ctx, pool, *refused(model.CodeUnavailable))
	}
}

// refuseQueued ends all queued jobs with the given result, which must say that they
// did not run.
func (s *State) refuseQueued(ctx *step.Context, pool *upstreamPool, result message.DispatchResult) {
	for _, e := range pool.queue.Entries() {
		s.finish(ctx, e.Value, result)
	}
}

// removeIfUnused removes a pool that this node does not own once its last connection
// has closed and its last suspect has ended.
func (s *State) removeIfUnused(pool *upstreamPool) {
	if pool.owned || pool.retiringUntil != 0 || len(pool.connections) > 0 || len(pool.disconnect.suspects) > 0 {
		return
	}
	s.unregister(pool)
	delete(s.byNumber, pool.number)
}

// unregister removes a pool from the list and from the index by upstream. Its
// connections and timers still refer to it.
func (s *State) unregister(pool *upstreamPool) {
	if s.byUpstream[pool.upstream.ID] != pool {
		return
	}
	delete(s.byUpstream, pool.upstream.ID)
	s.pools = slices.DeleteFunc(s.pools, func(other *upstreamPool) bool { return other == pool })
}
