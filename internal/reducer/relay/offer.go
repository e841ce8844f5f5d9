package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// offerParts offers each part to one upstream. If all replicas of too many shards are
// down or full, so that the parts that can be offered in time do not suffice for an
// answer, it offers none, and the request is refused as not run.
func (s *State) offerParts(ctx *step.Context, r *request) {
	chosen := make([]*upstreamPool, len(r.parts))
	possible := 0
	for i := range r.parts {
		chosen[i] = s.selectPool(ctx, r, &r.parts[i], replica.Criteria{})
		if chosen[i] != nil {
			possible++
		}
	}
	sufficient := r.isSufficient(possible)
	if sufficient {
		s.delegate(ctx, r, chosen)
	}
	for i := range r.parts {
		p := &r.parts[i]
		if r.origin == nil {
			s.depositFirst(ctx, p.service)
		}
		if p.delegation != nil {
			continue
		}
		if !sufficient || chosen[i] == nil {
			r.failureCode = model.CodeOverloaded
			r.settle(p, partFailed)
			continue
		}
		p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r))
		s.offer(ctx, r, i, chosen[i], false)
		s.scheduleMove(ctx, r, p)
	}
}

// moveShare is the share of the time left to offer a request after which an attempt that
// was not sent moves to another upstream.
const moveShare = 0.5

// scheduleMove brings the hedge of a part forward if nothing of its request was sent yet,
// because the pool has no connection and the upstream may be unreachable. Without that the
// request would be refused at offerBy although other upstreams are free.
func (s *State) scheduleMove(ctx *step.Context, r *request, p *part) {
	if r.anySent || p.hedgeAt == 0 || ctx.Now >= r.offerBy || p.unsentAttempt() == nil {
		return
	}
	wait := time.Duration(moveShare * float64(r.offerBy.Sub(ctx.Now)))
	p.hedgeAt = min(p.hedgeAt, ctx.Now.Add(max(minHedgeDelay, wait)))
}

// selectPool returns the upstream pool for an attempt of a part, or nil if none can take
// it in time.
func (s *State) selectPool(ctx *step.Context, r *request, p *part, criteria replica.Criteria) *upstreamPool {
	var candidates [16]*snapshot.Replica
	replicas := candidates[:0]
	stallAfter := s.stallAge(r)
	for _, pool := range p.service.pools {
		if !p.triedUpstream(pool) {
			replicas = append(replicas, s.updateReplica(ctx, pool, stallAfter))
		}
	}
	criteria.Now = ctx.Now
	criteria.Domain = ctx.Self.FailureDomain
	criteria.TypicalLatency, _ = r.route.latency.Quantile(medianQuantile)
	for {
		best := s.replicas.Choose(replicas, criteria, ctx.Random)
		if best == nil {
			return nil
		}
		pool := s.pools[best.ID]
		if s.canReplyInTime(ctx, r, pool) {
			return pool
		}
		if pool.sendWait(ctx.Now, 1) == 0 {
			return nil
		}
		// This upstream's notices stand against it, and another may have none.
		if pool.limiter != nil {
			pool.limiter.limited = true
		}
		criteria.Tried = append(criteria.Tried, best.ID)
	}
}

// canReplyInTime reports whether a pool would send a new attempt early enough. If some
// shards have more work than slots, a part of a gathered request waits for a slot only if
// its reply can still be part of the answer. Queues then stay short, and the slots serve
// requests that are answered on time. A free slot is always early enough, so that the
// latency of a slow upstream continues to be measured.
func (s *State) canReplyInTime(ctx *step.Context, r *request, pool *upstreamPool) bool {
	wait := s.expectedWait(ctx, r, pool)
	if wait > 0 && r.isGathered() {
		wait += s.replyTime(r, pool)
	}
	return wait == 0 || ctx.Now.Add(wait) <= r.queueUntil()
}

// queueUntil returns the time until which a part may wait for a slot: the part of a
// single request must be offered by offerBy, and a part of a gathered request must leave
// time for the answer with the other parts, which is due at answerBy.
func (r *request) queueUntil() model.Instant {
	if r.isGathered() {
		return r.answerBy
	}
	return r.offerBy
}

// replyTime returns the expected time from sending an attempt to its reply.
func (s *State) replyTime(r *request, pool *upstreamPool) time.Duration {
	if typical := s.replicas.Latency(pool.registration.Upstream.ID); typical != 0 {
		return typical
	}
	typical, _ := r.route.latency.Quantile(medianQuantile)
	return typical
}

// triedUpstream reports whether a part was offered to a pool's upstream, or may have been
// by a helper.
func (p *part) triedUpstream(pool *upstreamPool) bool {
	if p.delegation != nil && p.delegation.domain == pool.replica.Domain {
		return true
	}
	for _, a := range p.attempts {
		if a.pool == pool {
			return true
		}
	}
	return false
}

// expectedWait returns how long a new attempt is expected to wait in a pool's queue.
func (s *State) expectedWait(ctx *step.Context, r *request, pool *upstreamPool) time.Duration {
	wait := pool.sendWait(ctx.Now, 1)
	free := pool.freeConcurrency(ctx.Now)
	if free > 0 {
		return wait
	}
	slots := max(1, pool.currentLimit(ctx.Now))
	pause := max(0, pool.limit.PausedUntil().Sub(ctx.Now))
	return max(wait, pause+time.Duration(1-free)*s.replyTime(r, pool)/time.Duration(slots))
}

// offer queues an attempt at a pool and sends it if the pool has a free slot and
// connection.
func (s *State) offer(ctx *step.Context, r *request, index int, pool *upstreamPool, hedge bool) {
	s.nextAttempt++
	a := &attempt{number: s.nextAttempt, request: r, part: index, pool: pool, createdAt: ctx.Now, hedge: hedge}
	a.queueEntry = queue.Entry[*attempt]{Deadline: r.queueUntil(), Expiry: r.deadline, Priority: uint32(r.config.Rank), Value: a}
	p := &r.parts[index]
	p.attempts = append(p.attempts, a)
	p.openAttempts++
	s.attempts[a.number] = a
	s.replicas.RecordSent(&pool.replica)
	r.ledger.RecordAttempt()
	pool.waiting.Push(&a.queueEntry)
	s.drainQueue(ctx, pool)
}

// Quantiles of the reply times, and defaults for a route with too few samples.
const (
	medianQuantile = 0.5
	// hedgeQuantile hedges about one part in thirty. This leaves most of the shared
	// budget of a fifth to failures, and keeps traffic between domains low.
	hedgeQuantile = 0.97
	stallQuantile = 0.95
	// stallFactor separates overdue attempts from slow ones.
	stallFactor = 1.5
	// unknownHedgeShare is the hedge delay as a share of the target latency while no
	// quantile is known.
	unknownHedgeShare = 0.35
	// maxHedgeShare leaves a hedge time to reply within the target latency.
	maxHedgeShare = 0.5
	minHedgeDelay = 3 * time.Millisecond
	minStallAge   = 10 * time.Millisecond
)

// hedgeDelay returns the time from an attempt to its hedge. A replica that pauses would
// otherwise delay every request that includes its shard, since the slowest shard
// determines the latency of a gathered request.
func (s *State) hedgeDelay(r *request) time.Duration {
	target := float64(r.config.TargetLatency)
	delay, known := r.route.latency.Quantile(hedgeQuantile)
	if !known {
		delay = time.Duration(unknownHedgeShare * target)
	}
	return max(minHedgeDelay, min(delay, time.Duration(maxHedgeShare*target)))
}

// stallAge returns the age of an attempt above which its upstream is considered stalled.
func (s *State) stallAge(r *request) time.Duration {
	slow, known := r.route.latency.Quantile(stallQuantile)
	if !known {
		slow = time.Duration(unknownHedgeShare * float64(r.config.TargetLatency))
	}
	return max(minStallAge, time.Duration(stallFactor*float64(slow)))
}

// hedge offers a part to a second upstream with a free slot, within the service's budget.
// An attempt that has not been sent is moved instead, which does not use the budget.
func (s *State) hedge(ctx *step.Context, r *request, index int) {
	p := &r.parts[index]
	p.hedgeAt = 0
	if p.state != partOpen || p.openAttempts == 0 {
		return
	}
	if !r.config.Repeatable && p.possibleRuns > 0 || p.possibleRuns >= r.config.MaxAttempts || s.blame.IsHeld(ctx.Now, r.content()) {
		return
	}
	p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r))
	s.pauseLateHelper(ctx, p.delegation)
	waiting := p.unsentAttempt()
	pool := s.selectPool(ctx, r, p, replica.Criteria{RequireFreeSlot: true})
	if pool == nil {
		return
	}
	if waiting != nil {
		s.cancelOffer(waiting)
		s.offer(ctx, r, index, pool, false)
		s.scheduleMove(ctx, r, p)
		return
	}
	if p.service.isOverloaded(ctx.Now) || !s.takeExtra(ctx, p.service, false) {
		ctx.Count(metricExtraDenied, "hedge")
		return
	}
	ctx.Count(metricHedges, "")
	s.observeOpenAttempts(ctx, p)
	s.offer(ctx, r, index, pool, true)
}

// observeOpenAttempts reports the elapsed times of a part's open attempts to replica
// selection as lower bounds of the upstreams' latencies.
func (s *State) observeOpenAttempts(ctx *step.Context, p *part) {
	for _, a := range p.attempts {
		if !a.settled && a.sentAt != 0 {
			s.replicas.ObserveAtLeast(a.pool.registration.Upstream.ID, ctx.Now, ctx.Now.Sub(a.sentAt))
		}
	}
}

// unsentAttempt returns an attempt that waits in its pool's queue, or nil.
func (p *part) unsentAttempt() *attempt {
	for _, a := range p.attempts {
		if !a.settled && a.sentAt == 0 {
			return a
		}
	}
	return nil
}

// cancelUnsent removes an attempt that was not sent from its queue and settles it.
func (s *State) cancelUnsent(a *attempt) {
	a.pool.waiting.Remove(&a.queueEntry)
	s.markSettled(a)
	a.request.ledger.RecordResult(message.StatusCancelled)
}

// cancelOffer cancels an unsent attempt without offering its part again.
func (s *State) cancelOffer(a *attempt) {
	s.cancelUnsent(a)
	// The upstream has not received the attempt, so the part may be offered to it again.
	p := &a.request.parts[a.part]
	for i, other := range p.attempts {
		if other == a {
			p.attempts = append(p.attempts[:i], p.attempts[i+1:]...)
			break
		}
	}
}

// reassignUnsent cancels an attempt that its pool cannot send, and offers its part to
// another upstream.
func (s *State) reassignUnsent(ctx *step.Context, a *attempt, reason model.Code) {
	r, index := a.request, a.part
	s.cancelUnsent(a)
	p := &r.parts[index]
	r.failureCode = reason
	if p.state == partOpen && p.openAttempts == 0 {
		if pool := s.selectPool(ctx, r, p, replica.Criteria{}); pool != nil {
			s.offer(ctx, r, index, pool, a.hedge)
			return
		}
		r.settle(p, partFailed)
	}
	s.progress(ctx, r)
}

// markSettled marks an attempt as settled and deletes it.
func (s *State) markSettled(a *attempt) {
	a.settled = true
	a.request.parts[a.part].openAttempts--
	delete(s.attempts, a.number)
	s.replicas.RecordSettled(a.pool.registration.Upstream.ID)
}
