package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// HandleReply takes in an upstream's reply.
func (s *State) HandleReply(ctx *step.Context, e event.ForwardReply) {
	c := s.connections[e.Connection]
	if c == nil || c.attempt == nil || c.attempt.number != e.Attempt {
		return
	}
	l, a := c.lane, c.attempt
	s.freeConnection(ctx, c, e)
	l.removeInFlight(a)
	a.connection = nil
	if e.Load != nil {
		l.load, l.loadAt = *e.Load, ctx.Now
	}
	s.learn(ctx, l, a, e)
	if a.abandoned {
		s.finishAbandoned(a)
	} else {
		s.takeReply(ctx, a, e)
	}
	s.pump(ctx, l)
}

// freeConnection makes a connection idle again, or waits for its end.
func (s *State) freeConnection(ctx *step.Context, c *connection, e event.ForwardReply) {
	c.attempt = nil
	if c.state == ending {
		return
	}
	if e.Closing {
		c.state = ending
		return
	}
	c.state = idle
	c.expires = 0
	if e.IdleTimeout > 0 {
		c.expires = ctx.Now.Add(max(0, e.IdleTimeout-idleMargin))
	}
	if c.lane.gone || c.lane.record.Upstream.Draining {
		s.end(ctx, c)
	}
}

// learn takes in what a reply says of its upstream.
func (s *State) learn(ctx *step.Context, l *lane, a *attempt, e event.ForwardReply) {
	elapsed := ctx.Now.Sub(a.sent)
	switch e.Status {
	case event.ForwardAnswered:
		r := a.request
		s.quarantine.HandleAnswered(ctx, model.ServiceName(r.config.Name), r.print, l.record.Upstream.ID)
		s.replicas.Observe(l.record.Upstream.ID, ctx.Now, elapsed)
		if !a.abandoned {
			a.request.route.latency.Observe(elapsed)
		}
		if isCrowded(e.Load) && !a.request.isGathered() {
			l.limit.Shed(ctx.Now, a.sent, elapsed)
			l.crowded = ctx.Now
		} else {
			l.limit.Answered(ctx.Now)
		}
		l.noteOutcome(ctx.Now, false)
		l.seen.Answered++
		l.seen.TotalLatency += elapsed
	case event.ForwardNotRun:
		if isFull(e.Load) {
			l.limit.Shed(ctx.Now, a.sent, 0)
		}
		l.noteOutcome(ctx.Now, true)
	case event.ForwardMisdirected:
		ctx.Count(metricMisdirected, "")
		ctx.Log(effect.Warning, component, "another upstream has the address", upstreamFields(l)...)
		l.misdirected = ctx.Now
	default:
		if e.Status == event.ForwardInvalid {
			ctx.Count(metricInvalid, "")
		}
		l.limit.Failed(ctx.Now, a.sent)
		l.noteOutcome(ctx.Now, true)
	}
}

// isFull reports whether an upstream that refused a request says that its slots are
// taken. One that refuses with free slots fails for another reason, which fewer
// requests would not mend. One that says nothing counts as full.
func isFull(load *model.ReportedLoad) bool {
	return load == nil || load.Waiting > 0 || load.Running >= load.Slots
}

// isCrowded reports whether more requests wait at an upstream than run there. It
// answers the pattern "all nodes send more than the slots": what waits at an
// upstream can't be refused any more, so it should wait at the nodes. A part of a
// gathered request cannot be refused by itself, and is left to the upstream's queue.
func isCrowded(load *model.ReportedLoad) bool {
	return load != nil && load.Slots > 0 && load.Waiting > load.Slots
}

// takeReply settles the attempt by its reply.
func (s *State) takeReply(ctx *step.Context, a *attempt, e event.ForwardReply) {
	r := a.request
	p := &r.parts[a.part]
	switch e.Status {
	case event.ForwardAnswered:
		p.reply = e.Reply
		s.settleAttempt(ctx, a, message.StatusAnswered, "")
	case event.ForwardNotRun, event.ForwardMisdirected:
		s.settleAttempt(ctx, a, message.StatusRefused, model.CodeOverloaded)
	case event.ForwardFailed:
		if p.state == partOpen {
			p.reply = e.Reply
		}
		s.settleAttempt(ctx, a, message.StatusFailed, model.CodeUnavailable)
	default:
		s.settleAttempt(ctx, a, message.StatusFailed, model.CodeUnavailable)
	}
}

// settleAttempt ends a sent attempt that somebody waits for.
func (s *State) settleAttempt(ctx *step.Context, a *attempt, status message.DispatchStatus, reason model.Code) {
	r, index := a.request, a.part
	p := &r.parts[index]
	s.endAttempt(a)
	r.ledger.RecordResult(status)
	if status == message.StatusAnswered {
		r.settle(p, partAnswered)
		s.giveUpPart(ctx, p)
		s.progress(ctx, r)
		return
	}
	if status.NotRun() {
		p.ran--
	}
	if reason != "" {
		r.reason = reason
	}
	if p.state == partOpen && p.open == 0 && !s.retry(ctx, r, index, status) {
		r.settle(p, partFailed)
	}
	s.progress(ctx, r)
}

// maxOffers bounds the upstreams that one part is offered to, those that refused it
// included.
const maxOffers = 4

// leastRetryTime is the time below which a retry is not worth its load.
const leastRetryTime = 5 * time.Millisecond

// retry offers a part to another upstream after a failure, on the service's
// budget. It reports whether it did.
func (s *State) retry(ctx *step.Context, r *request, index int, status message.DispatchStatus) bool {
	p := &r.parts[index]
	if !status.NotRun() && !r.config.Repeatable {
		return false
	}
	if p.ran >= r.config.MaxAttempts || len(p.attempts) >= maxOffers || r.deadline.Sub(ctx.Now) < leastRetryTime {
		return false
	}
	l := s.choose(ctx, r, p, replica.Criteria{})
	if l == nil {
		return false
	}
	if !p.service.extra.Take() {
		ctx.Count(metricExtraDenied, "retry")
		return false
	}
	ctx.Count(metricRetries, "")
	p.hedgeAt = ctx.Now.Add(s.hedgeDelay(r))
	s.offer(ctx, r, index, l, false)
	return true
}

// giveUpPart gives the open attempts of a part up.
func (s *State) giveUpPart(ctx *step.Context, p *part) {
	for _, a := range p.attempts {
		s.giveUp(ctx, a)
	}
}

// abandonGrace is how long an attempt that nobody waits for may keep its
// connection: a new one costs the upstream time, and most replies come sooner.
// Longer than this the upstream would work for nobody.
const abandonGrace = 350 * time.Millisecond

// giveUp takes an attempt back, or lets its upstream finish for a moment.
func (s *State) giveUp(ctx *step.Context, a *attempt) {
	if a.settled {
		return
	}
	if a.sent == 0 {
		s.withdraw(a)
		return
	}
	ctx.Count(metricAbandoned, "")
	s.replicas.ObserveAtLeast(a.lane.record.Upstream.ID, ctx.Now, ctx.Now.Sub(a.sent))
	a.request.ledger.MarkLost()
	a.settled = true
	a.abandoned = true
	a.request.parts[a.part].open--
	after(ctx, abandonGrace, a.number, attemptTimer)
}

// finishAbandoned forgets an abandoned attempt that has ended.
func (s *State) finishAbandoned(a *attempt) {
	delete(s.attempts, a.number)
	s.replicas.RecordSettled(a.lane.record.Upstream.ID)
}

// handleAttemptTimer closes the connection of an abandoned attempt, which makes the
// upstream stop.
func (s *State) handleAttemptTimer(ctx *step.Context, number uint64) {
	a := s.attempts[number]
	if a == nil || !a.abandoned || a.connection == nil {
		return
	}
	a.lane.noteOutcome(ctx.Now, true)
	s.end(ctx, a.connection)
}
