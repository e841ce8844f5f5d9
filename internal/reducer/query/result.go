package query

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// maxAttempts bounds the attempts of one task, hedges included.
	maxAttempts = 4
	// maxReroutes is how many times one attempt is sent to another dispatcher because
	// the previous one does not own the upstream.
	maxReroutes = 2
	// maxCrashes is the number of upstream crashes at which a request is stopped:
	// nothing of it is retried or sent any more.
	maxCrashes = 2
)

// HandleResult processes a dispatcher's result. It finds the open attempt by its
// identifier and checks that the dispatcher and the upstream are those of the
// attempt. handleLateResult processes the result of a cancelled attempt. Any other
// result is counted and dropped.
func (s *State) HandleResult(ctx *step.Context, from model.HostID, m message.DispatchResult) {
	s.applyConfig(ctx)
	if m.Attempt != s.attemptID(ctx, m.Attempt.Number) {
		ctx.Count(metricUnmatched, "foreign")
		return
	}
	ref, ok := s.attempts[m.Attempt.Number]
	if !ok {
		s.handleLateResult(ctx, m)
		return
	}
	a := &ref.request.attempts[ref.index]
	if a.dispatcher != from || a.replica.ID != m.Upstream {
		ctx.Count(metricUnmatched, "crossed")
		return
	}
	if m.Status != message.StatusNotOwner {
		s.deps.Catalog.UpdateLoad(ctx, m.Upstream, m.FreeSlots, m.Queued)
	}
	s.settleAttempt(ctx, ref.request, ref.index, m)
	s.progress(ctx, ref.request)
}

// handleLateResult processes the result of a cancelled attempt. It uses only the
// reported load and a crash.
func (s *State) handleLateResult(ctx *step.Context, m message.DispatchResult) {
	a, ok := s.cancelled.take(m.Attempt.Number)
	if !ok {
		ctx.Count(metricUnmatched, "late")
		return
	}
	if m.Status != message.StatusNotOwner {
		s.deps.Catalog.UpdateLoad(ctx, m.Upstream, m.FreeSlots, m.Queued)
	}
	if m.Crash {
		s.deps.Quarantine.HandleCrash(ctx, a.service, a.fingerprint, m)
	}
}

// HandlePeerLost settles the attempts sent to a lost dispatcher as lost, since it
// is unknown whether they ran.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	s.routes.markLost(host, ctx.Now)
	var numbers []uint64
	for number, ref := range s.attempts {
		if ref.request.attempts[ref.index].dispatcher == host {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	for _, number := range numbers {
		ref, ok := s.attempts[number]
		if !ok {
			continue
		}
		a := &ref.request.attempts[ref.index]
		m := message.DispatchResult{Upstream: a.replica.ID, Status: message.StatusLost, Reason: model.CodeUnavailable}
		s.settleAttempt(ctx, ref.request, ref.index, m)
		s.progress(ctx, ref.request)
	}
}

// settleAttempt ends an open attempt with its result, unless it can be rerouted.
func (s *State) settleAttempt(ctx *step.Context, r *request, index int, m message.DispatchResult) {
	a := &r.attempts[index]
	if m.Status == message.StatusNotOwner && s.reroute(ctx, r, index) {
		return
	}
	s.endAttempt(r, index)
	r.ledger.RecordResult(m.Status)
	if m.Crash {
		s.handleCrash(ctx, r, a, m)
	}
	s.reportCompleted(ctx, r, a, m)
	if m.Status == message.StatusAnswered && s.acceptAnswer(ctx, r, a, m) {
		return
	}
	s.handleFailedAttempt(ctx, r, a, m)
}

// reroute sends an attempt to another dispatcher after a dispatcher that does not
// own the upstream returned it. It reports false if there is no other dispatcher. The
// attempt gets a new number, so that a duplicate of the first dispatcher's result
// does not settle it.
func (s *State) reroute(ctx *step.Context, r *request, index int) bool {
	a := &r.attempts[index]
	if a.reroutes >= maxReroutes {
		return false
	}
	host, ok := s.dispatcher(ctx, a.replica.ID, a.dispatcher)
	if !ok {
		return false
	}
	delete(s.attempts, a.number)
	s.nextAttempt++
	a.number = s.nextAttempt
	s.attempts[a.number] = attemptRef{request: r, index: index}
	a.reroutes++
	a.dispatcher = host
	ctx.Count(metricReroutes, "")
	s.transmit(ctx, r, index)
	return true
}

// handleCrash records that an upstream crashed while running an attempt. After
// maxCrashes it cancels all open attempts and fails the remaining tasks.
func (s *State) handleCrash(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) {
	service := r.serviceOf(&r.tasks[a.task])
	ctx.Count(metricCrashes, "")
	s.deps.Quarantine.HandleCrash(ctx, service.config.Name, service.fingerprint, m)
	r.crashes++
	if r.crashes < maxCrashes {
		return
	}
	for i := range r.attempts {
		s.cancel(ctx, r, i)
	}
	for i := range r.tasks {
		r.settle(&r.tasks[i], taskFailed)
	}
	r.failureCode = model.CodeQuarantined
}

// reportCompleted notifies the quarantine that suspect content ran without a crash.
func (s *State) reportCompleted(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) {
	service := r.serviceOf(&r.tasks[a.task])
	if !service.suspect || m.Crash {
		return
	}
	if m.Status == message.StatusAnswered || m.Status == message.StatusFailed {
		service.suspect = false
		s.deps.Quarantine.HandleCompleted(ctx, service.config.Name, service.fingerprint)
	}
}

// acceptAnswer stores an upstream's reply and cancels the other attempts of its
// task. It reports false if the reply is invalid.
func (s *State) acceptAnswer(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) bool {
	t := &r.tasks[a.task]
	if !r.storeReply(a.task, m) {
		ctx.Count(metricInvalidParts, "")
		return false
	}
	elapsed := ctx.Now.Sub(a.sentAt)
	r.serviceOf(t).stats.observe(t.shard, elapsed)
	s.replicas.Observe(a.replica.ID, ctx.Now, elapsed)
	r.settle(t, taskAnswered)
	if t.openAttempts > 0 {
		s.cancelTask(ctx, r, a.task)
	}
	return true
}

// storeReply stores the reply to an order or merges a part of a search. It reports
// false if the reply does not match the request.
func (r *request) storeReply(task int, m message.DispatchResult) bool {
	if r.isOrder() {
		if len(m.Rows) != 1 {
			return false
		}
		r.orderReply = m.Rows[0]
		return true
	}
	part, err := r.pin.Part(task, m.Version, m.RowShards, m.Rows)
	if err != nil {
		return false
	}
	return r.merge.Add(part) == nil
}

// cancelTask cancels the open attempts of a task.
func (s *State) cancelTask(ctx *step.Context, r *request, task int) {
	for i := range r.attempts {
		if r.attempts[i].task == task {
			s.cancel(ctx, r, i)
		}
	}
}

// handleFailedAttempt retries a task that has no other open attempt, or fails it.
func (s *State) handleFailedAttempt(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) {
	t := &r.tasks[a.task]
	service := r.serviceOf(t)
	r.recordFailure(m.Reason, time.Duration(m.RetryAfter))
	if m.Status.NotRun() && a.kind == hedgeAttempt {
		service.stats.hedges.Refund()
	}
	if m.Status == message.StatusVersionGone && !r.isOrder() {
		s.deps.Catalog.RemoveVersion(ctx, m.Upstream, r.pin.Version())
	}
	if t.state != taskRunning || t.openAttempts > 0 {
		return
	}
	if r.canRetry(t, m.Status) && (s.retryElsewhere(ctx, r, a) || s.retryLater(ctx, r, t, m)) {
		return
	}
	if m.Status == message.StatusVersionGone && !r.isOrder() {
		r.versionGone = true
	}
	r.settle(t, taskFailed)
}

// canRetry reports whether a task may be sent again after an attempt ended with the
// given status.
func (r *request) canRetry(t *task, status message.DispatchStatus) bool {
	if r.withdrawn || r.crashes >= maxCrashes || t.sentAttempts >= maxAttempts {
		return false
	}
	if r.suspect && r.crashes > 0 {
		return false
	}
	if r.inCanaryPhase && r.exposedUpstreams() >= maxExposedUpstreams {
		return false
	}
	if status.NotRun() {
		return true
	}
	return status == message.StatusLost && r.serviceOf(t).config.Policy.Repeatable
}

// recordFailure stores the code of a failed attempt and the longest retry delay.
func (r *request) recordFailure(code model.Code, retryAfter time.Duration) {
	// The coordinator cancels attempts itself, so a cancellation is no reason to
	// report to a caller.
	if code != "" && code != model.CodeCancelled && r.failureCode != model.CodeQuarantined {
		r.failureCode = code
	}
	r.retryAfter = max(r.retryAfter, retryAfter)
}
