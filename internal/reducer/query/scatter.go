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
	// settleMargin is kept back from a dispatcher's time, as a share of what is
	// left, so that its refusal arrives before the coordinator's deadline.
	settleMargin    = 0.05
	maxSettleMargin = 10 * time.Millisecond
)

// scatter sends the first attempts of all waiting tasks. Of a suspect request
// only one canary is sent; the rest follows when it has survived.
func (s *State) scatter(ctx *step.Context, r *request) {
	if r.probing {
		s.probe(ctx, r)
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

// startTask sends a task's first attempt, or fails it when none is possible.
func (s *State) startTask(ctx *step.Context, r *request, index int) {
	t := &r.tasks[index]
	service := r.serviceOf(t)
	policy := &service.config.Policy
	chosen := s.choose(ctx, t.replicas, replica.Criteria{})
	if chosen == nil || !s.send(ctx, r, index, chosen, firstAttempt) {
		r.settle(t, taskFailed)
		r.noteReason(model.CodeUnavailable, defaultRetryAfter)
		return
	}
	t.state = taskRunning
	if r.restarted {
		service.stats.retries.Charge(1)
	} else {
		service.stats.hedges.Deposit(hedgeLimits(policy))
		service.stats.retries.Deposit(retryLimits(policy))
	}
	if !r.suspect && !r.probing {
		s.armHedge(ctx, r, t)
	}
}

// armHedge sets the time of a task's hedge.
func (s *State) armHedge(ctx *step.Context, r *request, t *task) {
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

// choose completes a wish with the node's own situation.
func (s *State) choose(ctx *step.Context, replicas []*snapshot.Replica, wish replica.Criteria) *snapshot.Replica {
	wish.Now = ctx.Now
	wish.Domain = ctx.Self.FailureDomain
	if s.settings.RandomReplica {
		return replica.ChooseRandom(replicas, wish, ctx.Random)
	}
	return s.replicas.Choose(replicas, wish, ctx.Random)
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
		sent:       ctx.Now,
	})
	s.attempts[s.nextAttempt] = attemptRef{request: r, index: len(r.attempts) - 1}
	t := &r.tasks[index]
	t.running++
	t.sent++
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
	left -= min(time.Duration(settleMargin*float64(left)), maxSettleMargin)
	dispatch := message.Dispatch{
		Attempt:      s.attemptID(ctx, a.number),
		Upstream:     a.replica.ID,
		Kind:         r.kind,
		RequestID:    r.requestID,
		Body:         r.body,
		TimeLeft:     int64(left),
		MaxQueueWait: int64(min(service.config.Policy.QueueWait, left)),
		User:         service.config.User,
		Fingerprint:  service.print,
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

// cancel takes an attempt back if it is open. Until its result arrives it may
// have run.
func (s *State) cancel(ctx *step.Context, r *request, index int) {
	a := &r.attempts[index]
	if a.settled {
		return
	}
	s.endAttempt(r, index)
	r.ledger.MarkLost()
	service := r.serviceOf(&r.tasks[a.task])
	s.cancelled.add(a.number, cancelledAttempt{service: service.config.Name, print: service.print})
	ctx.Send(a.dispatcher, message.Cancel{Attempt: s.attemptID(ctx, a.number)})
}

// endAttempt marks an attempt as settled.
func (s *State) endAttempt(r *request, index int) {
	a := &r.attempts[index]
	a.settled = true
	r.tasks[a.task].running--
	delete(s.attempts, a.number)
	s.replicas.RecordSettled(a.replica.ID)
}
