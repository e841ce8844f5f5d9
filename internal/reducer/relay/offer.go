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

// scatter offers each part to one upstream. It answers the pattern "all replicas
// of a shard are down or full": when the parts that can be offered in time do not
// suffice for an answer, none is, and the request is refused as not run.
func (s *State) scatter(ctx *step.Context, r *request) {
	chosen := make([]*lane, len(r.parts))
	possible := 0
	for i := range r.parts {
		chosen[i] = s.choose(ctx, r, &r.parts[i], replica.Criteria{})
		if chosen[i] != nil {
			possible++
		}
	}
	sufficient := r.covered(possible)
	if sufficient {
		s.delegate(ctx, r, chosen)
	}
	for i := range r.parts {
		p := &r.parts[i]
		if r.origin == nil {
			p.service.extra.Deposit(s.extraLimits())
		}
		if p.delegation != nil {
			continue
		}
		if !sufficient || chosen[i] == nil {
			r.reason = model.CodeOverloaded
			r.settle(p, partFailed)
			continue
		}
		p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r))
		s.offer(ctx, r, i, chosen[i], false)
	}
}

// choose returns the lane for an attempt of a part, or nil if none can take it in
// time.
func (s *State) choose(ctx *step.Context, r *request, p *part, wish replica.Criteria) *lane {
	var candidates [16]*snapshot.Replica
	replicas := candidates[:0]
	stallAfter := s.stallAfter(r)
	for _, l := range p.service.lanes {
		if !p.tried(l) {
			replicas = append(replicas, s.refresh(ctx, l, stallAfter))
		}
	}
	wish.Now = ctx.Now
	wish.Domain = ctx.Self.FailureDomain
	wish.TypicalLatency, _ = r.route.latency.Quantile(medianQuantile)
	best := s.replicas.Choose(replicas, wish, ctx.Random)
	if best == nil {
		return nil
	}
	l := s.lanes[best.ID]
	if !s.isInTime(ctx, r, l) {
		return nil
	}
	return l
}

// isInTime reports whether a lane would send a new attempt while that is of use. It
// answers the pattern "some shards have more work than slots": a part of a gathered
// request waits for a slot only if its reply can still be in the answer. Queues then
// stay short, and the slots go to requests that are answered on time. A free slot is
// always in time, so that a slow upstream goes on being measured.
func (s *State) isInTime(ctx *step.Context, r *request, l *lane) bool {
	wait := s.expectedWait(ctx, r, l)
	if wait > 0 && r.isGathered() {
		wait += s.replyTime(r, l)
	}
	return wait == 0 || ctx.Now.Add(wait) <= r.queueUntil()
}

// queueUntil returns until when a part may wait for a slot: a single part must be
// offered in time, and one of several must leave time for an answer with the
// others.
func (r *request) queueUntil() model.Instant {
	if r.isGathered() {
		return r.answerBy
	}
	return r.offerBy
}

// replyTime returns the time to expect from sending an attempt on a lane to its reply.
func (s *State) replyTime(r *request, l *lane) time.Duration {
	if typical := s.replicas.Latency(l.record.Upstream.ID); typical != 0 {
		return typical
	}
	typical, _ := r.route.latency.Quantile(medianQuantile)
	return typical
}

// tried reports whether a part was offered to a lane, or may have been by a helper.
func (p *part) tried(l *lane) bool {
	if p.delegation != nil && p.delegation.domain == l.replica.Domain {
		return true
	}
	for _, a := range p.attempts {
		if a.lane == l {
			return true
		}
	}
	return false
}

// expectedWait returns how long a new attempt waits on a lane until it is sent.
func (s *State) expectedWait(ctx *step.Context, r *request, l *lane) time.Duration {
	free := l.free(ctx.Now)
	if free > 0 {
		return 0
	}
	slots := max(1, l.limit.Current(ctx.Now))
	pause := max(0, l.limit.PausedUntil().Sub(ctx.Now))
	return pause + time.Duration(1-free)*s.replyTime(r, l)/time.Duration(slots)
}

// offer queues an attempt on a lane and sends it if the lane is free.
func (s *State) offer(ctx *step.Context, r *request, index int, l *lane, hedge bool) {
	s.nextAttempt++
	a := &attempt{number: s.nextAttempt, request: r, part: index, lane: l, created: ctx.Now, hedge: hedge}
	a.waiting = queue.Entry[*attempt]{Deadline: r.queueUntil(), Expiry: r.deadline, Priority: uint32(r.config.Rank), Value: a}
	p := &r.parts[index]
	p.attempts = append(p.attempts, a)
	p.open++
	s.attempts[a.number] = a
	s.replicas.RecordSent(&l.replica)
	r.ledger.RecordAttempt()
	l.waiting.Push(&a.waiting)
	s.pump(ctx, l)
}

// Quantiles of the replies' times, and what stands in for them while too few are
// known.
const (
	medianQuantile = 0.5
	// hedgeQuantile sends a second attempt for about one part in thirty, which leaves
	// most of the shared budget of a fifth to failures, and few bytes between domains.
	hedgeQuantile = 0.97
	stallQuantile = 0.95
	// stallFactor tells an attempt that is overdue from one that is merely slow.
	stallFactor = 1.5
	// unknownHedgeShare of the target latency is the delay while no quantile is
	// known.
	unknownHedgeShare = 0.35
	// longestHedgeShare leaves a hedge the time to reply within the target.
	longestHedgeShare = 0.5
	shortestHedge     = 3 * time.Millisecond
	shortestStall     = 10 * time.Millisecond
)

// hedgeDelay returns the time from an attempt to its hedge. It answers the pattern
// "one replica pauses": the tail of a wide request is the slowest of its shards.
func (s *State) hedgeDelay(r *request) time.Duration {
	target := float64(r.config.TargetLatency)
	delay, known := r.route.latency.Quantile(hedgeQuantile)
	if !known {
		delay = time.Duration(unknownHedgeShare * target)
	}
	return max(shortestHedge, min(delay, time.Duration(longestHedgeShare*target)))
}

// stallAfter returns the age of an attempt from which its upstream counts as
// paused.
func (s *State) stallAfter(r *request) time.Duration {
	slow, known := r.route.latency.Quantile(stallQuantile)
	if !known {
		slow = time.Duration(unknownHedgeShare * float64(r.config.TargetLatency))
	}
	return max(shortestStall, time.Duration(stallFactor*float64(slow)))
}

// hedge offers a part to a second upstream with a free slot, on the service's
// budget. An attempt that has not been sent is moved instead, which costs nothing.
func (s *State) hedge(ctx *step.Context, r *request, index int) {
	p := &r.parts[index]
	p.hedgeAt = 0
	if p.state != partOpen || p.open == 0 {
		return
	}
	if !r.config.Repeatable && p.ran > 0 || p.ran >= r.config.MaxAttempts {
		return
	}
	p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r))
	s.noteLateHelper(ctx, p.delegation)
	waiting := p.unsent()
	l := s.choose(ctx, r, p, replica.Criteria{RequireFreeSlot: true})
	if l == nil {
		return
	}
	if waiting != nil {
		s.takeBack(waiting)
		s.offer(ctx, r, index, l, false)
		return
	}
	if p.service.isCrowded(ctx.Now) || !p.service.extra.Take() {
		ctx.Count(metricExtraDenied, "hedge")
		return
	}
	ctx.Count(metricHedges, "")
	s.noteSlow(ctx, p)
	s.offer(ctx, r, index, l, true)
}

// noteSlow lets the choice of replicas know how long the open attempts have taken.
func (s *State) noteSlow(ctx *step.Context, p *part) {
	for _, a := range p.attempts {
		if !a.settled && a.sent != 0 {
			s.replicas.ObserveAtLeast(a.lane.record.Upstream.ID, ctx.Now, ctx.Now.Sub(a.sent))
		}
	}
}

// unsent returns an attempt that waits for its lane, or nil.
func (p *part) unsent() *attempt {
	for _, a := range p.attempts {
		if !a.settled && a.sent == 0 {
			return a
		}
	}
	return nil
}

// withdraw settles an attempt that was not sent.
func (s *State) withdraw(a *attempt) {
	a.lane.waiting.Remove(&a.waiting)
	s.endAttempt(a)
	a.request.ledger.RecordResult(message.StatusCancelled)
}

// takeBack withdraws an attempt without placing its part anew.
func (s *State) takeBack(a *attempt) {
	s.withdraw(a)
	// The lane may be offered the part again: it has seen nothing of it.
	p := &a.request.parts[a.part]
	for i, other := range p.attempts {
		if other == a {
			p.attempts = append(p.attempts[:i], p.attempts[i+1:]...)
			break
		}
	}
}

// settleUnsent takes back an attempt whose lane cannot send it, and places its part
// anew.
func (s *State) settleUnsent(ctx *step.Context, a *attempt, reason model.Code) {
	r, index := a.request, a.part
	s.withdraw(a)
	p := &r.parts[index]
	r.reason = reason
	if p.state == partOpen && p.open == 0 {
		if l := s.choose(ctx, r, p, replica.Criteria{}); l != nil {
			s.offer(ctx, r, index, l, a.hedge)
			return
		}
		r.settle(p, partFailed)
	}
	s.progress(ctx, r)
}

// endAttempt marks an attempt as settled.
func (s *State) endAttempt(a *attempt) {
	a.settled = true
	a.request.parts[a.part].open--
	delete(s.attempts, a.number)
	s.replicas.RecordSettled(a.lane.record.Upstream.ID)
}
