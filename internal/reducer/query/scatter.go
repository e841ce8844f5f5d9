package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// resultMarginShare is the share of the remaining time by which a dispatcher's
	// deadline precedes the coordinator's, so that its refusal arrives in time. The
	// margin is at most maxResultMargin.
	resultMarginShare = 0.05
	maxResultMargin   = 10 * time.Millisecond
)

// scatter sends the first attempts of all waiting tasks. For a suspect request it
// sends one canary only; the rest follows once the canary has not crashed its
// upstream.
func (s *State) scatter(ctx *step.Context, r *request) {
	if r.inCanaryPhase {
		s.sendCanary(ctx, r)
		return
	}
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		if r.suspect && !r.serviceOf(t).suspect {
			continue
		}
		s.startTask(ctx, r, i)
		if r.suspect && t.state == taskRunning {
			r.canary = i
			ctx.Count(metricCanaries, "")
			return
		}
	}
	if r.suspect {
		r.suspect = false
		s.scatter(ctx, r)
	}
}

// startTask sends a task's first attempt, or fails the task if it cannot be sent to
// any replica.
func (s *State) startTask(ctx *step.Context, r *request, index int) {
	t := &r.tasks[index]
	service := r.serviceOf(t)
	policy := &service.config.Policy
	chosen := s.choose(ctx, t.replicas, replica.Criteria{})
	if chosen == nil || !s.send(ctx, r, index, chosen, firstAttempt) {
		r.settle(t, taskFailed)
		r.recordFailure(model.CodeUnavailable, defaultRetryAfter)
		return
	}
	t.state = taskRunning
	if r.restarted {
		service.stats.retries.Charge(1)
	} else {
		service.stats.hedges.Deposit(hedgeLimits(policy))
		service.stats.retries.Deposit(retryLimits(policy))
	}
	if !r.suspect && !r.inCanaryPhase {
		s.scheduleHedge(ctx, r, t)
	}
}

// scheduleHedge sets when a task's hedge is sent, if its policy permits one.
func (s *State) scheduleHedge(ctx *step.Context, r *request, t *task) {
	service := r.serviceOf(t)
	policy := &service.config.Policy
	t.hedgeDelay, _ = service.stats.hedgeDelay(t.shard, policy)
	if s.settings.FixedHedgeDelay > 0 && policy.Repeatable {
		t.hedgeDelay = s.settings.FixedHedgeDelay
	}
	if t.hedgeDelay > 0 {
		t.hedgeAt = ctx.Now.Add(t.hedgeDelay)
		r.wakeAt = 0
	}
}

// choose returns a replica that meets the criteria, with the time and this node's
// failure domain filled in, or nil.
func (s *State) choose(ctx *step.Context, replicas []*snapshot.Replica, criteria replica.Criteria) *snapshot.Replica {
	criteria.Now = ctx.Now
	criteria.Domain = ctx.Self.FailureDomain
	if s.settings.RandomReplica {
		return replica.ChooseRandom(replicas, criteria, ctx.Random)
	}
	return s.replicas.Choose(replicas, criteria, ctx.Random)
}

// send sends one attempt to the upstream's dispatcher. It reports false when the
// upstream has no dispatcher.
func (s *State) send(ctx *step.Context, r *request, index int, chosen *snapshot.Replica, kind attemptKind) bool {
	host, ok := s.dispatcher(ctx, chosen.ID, "")
	if !ok {
		return false
	}
	s.nextAttempt++
	r.attempts = append(r.attempts, attempt{
		number:     s.nextAttempt,
		task:       index,
		kind:       kind,
		replica:    chosen,
		dispatcher: host,
		sentAt:     ctx.Now,
	})
	s.attempts[s.nextAttempt] = attemptRef{request: r, index: len(r.attempts) - 1}
	t := &r.tasks[index]
	t.openAttempts++
	t.sentAttempts++
	if kind == firstAttempt && !r.restarted {
		r.planned++
	} else {
		r.extra++
	}
	s.replicas.RecordSent(chosen)
	r.ledger.RecordAttempt()
	s.transmit(ctx, r, len(r.attempts)-1)
	return true
}

// transmit sends the message of an attempt.
func (s *State) transmit(ctx *step.Context, r *request, index int) {
	a := &r.attempts[index]
	t := &r.tasks[a.task]
	service := r.serviceOf(t)
	left := r.timeLeft(ctx.Now)
	left -= min(time.Duration(resultMarginShare*float64(left)), maxResultMargin)
	dispatch := message.Dispatch{
		Attempt:      s.attemptID(ctx, a.number),
		Upstream:     a.replica.ID,
		Kind:         r.kind,
		RequestID:    r.requestID,
		Body:         r.body,
		TimeLeft:     int64(left),
		MaxQueueWait: int64(min(service.config.Policy.QueueWait, left)),
		User:         service.config.User,
		Fingerprint:  service.fingerprint,
		Isolate:      service.suspect || r.crashes > 0,
		Hedge:        a.kind == hedgeAttempt,
		Repeatable:   service.config.Policy.Repeatable,
		Priority:     r.priority,
	}
	if member, known := ctx.View.Member(a.dispatcher); known {
		dispatch.DispatcherIncarnation = member.Incarnation
	}
	if !r.isOrder() {
		dispatch.Version = r.pin.Version()
		dispatch.Shards = r.pin.Target(a.task).Shards()
	}
	ctx.Send(a.dispatcher, dispatch)
}

// attemptID returns the identifier of one of this node's attempts.
func (s *State) attemptID(ctx *step.Context, number uint64) model.AttemptID {
	return model.AttemptID{Host: ctx.Self.Host, Incarnation: ctx.Self.Incarnation, Number: number}
}

// cancel cancels an attempt if it is open. Until its result arrives, whether the
// attempt ran is unknown.
func (s *State) cancel(ctx *step.Context, r *request, index int) {
	a := &r.attempts[index]
	if a.settled {
		return
	}
	s.endAttempt(r, index)
	r.ledger.MarkLost()
	service := r.serviceOf(&r.tasks[a.task])
	s.cancelled.add(a.number, cancelledAttempt{service: service.config.Name, fingerprint: service.fingerprint})
	ctx.Send(a.dispatcher, message.Cancel{Attempt: s.attemptID(ctx, a.number)})
}

// endAttempt marks an attempt as settled and removes it from the open attempts.
func (s *State) endAttempt(r *request, index int) {
	a := &r.attempts[index]
	a.settled = true
	r.tasks[a.task].openAttempts--
	delete(s.attempts, a.number)
	s.replicas.RecordSettled(a.replica.ID)
}
