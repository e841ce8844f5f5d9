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
	// maxReroutes bounds the dispatchers that one attempt is offered to.
	maxReroutes = 2
	// maxCrashes is how many crashes end all repeats of a request and the rest
	// of its scatter.
	maxCrashes = 2
)

// HandleResult takes in a dispatcher's result. It is matched by the attempt's
// identifier alone; what matches no open attempt is dropped.
func (s *State) HandleResult(ctx *step.Context, from model.HostID, m message.DispatchResult) {
	s.sync(ctx)
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
		s.parts.Catalog.NoteLoad(ctx, m.Upstream, m.FreeSlots, m.Queued)
	}
	s.settleAttempt(ctx, ref.request, ref.index, m)
	s.progress(ctx, ref.request)
}

// handleLateResult takes in the result of an attempt that is no longer open:
// only a crash still matters.
func (s *State) handleLateResult(ctx *step.Context, m message.DispatchResult) {
	a, ok := s.cancelled.take(m.Attempt.Number)
	if !ok {
		ctx.Count(metricUnmatched, "late")
		return
	}
	if m.Status != message.StatusNotOwner {
		s.parts.Catalog.NoteLoad(ctx, m.Upstream, m.FreeSlots, m.Queued)
	}
	if m.Crash {
		s.parts.Quarantine.HandleCrash(ctx, a.service, a.print, m)
	}
}

// HandlePeerLost settles the attempts that were with a lost dispatcher: whether
// they ran is not known.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	s.routes.lose(host, ctx.Now)
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

// settleAttempt ends an open attempt by its result.
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
	s.noteSurvivor(ctx, r, a, m)
	if m.Status == message.StatusAnswered && s.takeAnswer(ctx, r, a, m) {
		return
	}
	s.handleFailedAttempt(ctx, r, a, m)
}

// reroute offers an attempt to another dispatcher, since the first one never
// passed it on. It reports whether there is one. The offer has a number of its
// own: a copy of the first one's result must not settle it.
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

// handleCrash takes in that an upstream crashed under an attempt. The second
// crash ends all repeats and takes back what has not run yet.
func (s *State) handleCrash(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) {
	service := r.serviceOf(&r.tasks[a.task])
	ctx.Count(metricCrashes, "")
	s.parts.Quarantine.HandleCrash(ctx, service.config.Name, service.print, m)
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
	r.reason = model.CodeQuarantined
}

// noteSurvivor tells the quarantine of a suspect that ran to its end.
func (s *State) noteSurvivor(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) {
	service := r.serviceOf(&r.tasks[a.task])
	if !service.suspect || m.Crash {
		return
	}
	if m.Status == message.StatusAnswered || m.Status == message.StatusFailed {
		service.suspect = false
		s.parts.Quarantine.HandleCompleted(ctx, service.config.Name, service.print)
	}
}

// takeAnswer merges an upstream's reply and cancels the other attempts of its
// task. It reports false when the reply is not what was asked for.
func (s *State) takeAnswer(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) bool {
	t := &r.tasks[a.task]
	if !r.keepReply(a.task, m) {
		ctx.Count(metricInvalidParts, "")
		return false
	}
	elapsed := ctx.Now.Sub(a.sent)
	r.serviceOf(t).stats.observe(t.shard, elapsed)
	s.replicas.Observe(a.replica.ID, ctx.Now, elapsed)
	r.settle(t, taskAnswered)
	if t.running > 0 {
		s.cancelTask(ctx, r, a.task)
	}
	return true
}

// keepReply keeps the reply to an order, or merges a search's part.
func (r *request) keepReply(task int, m message.DispatchResult) bool {
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

// handleFailedAttempt repeats a task that has no attempt left, or fails it.
func (s *State) handleFailedAttempt(ctx *step.Context, r *request, a *attempt, m message.DispatchResult) {
	t := &r.tasks[a.task]
	service := r.serviceOf(t)
	r.noteReason(m.Reason, time.Duration(m.RetryAfter))
	if m.Status.NotRun() && a.kind == hedgeAttempt {
		service.stats.hedges.Refund()
	}
	if m.Status == message.StatusVersionGone && !r.isOrder() {
		s.parts.Catalog.NoteVersionGone(ctx, m.Upstream, r.pin.Version())
	}
	if t.state != taskRunning || t.running > 0 {
		return
	}
	if r.mayRepeat(t, m.Status) && (s.retryElsewhere(ctx, r, a) || s.retryLater(ctx, r, t, m)) {
		return
	}
	if m.Status == message.StatusVersionGone && !r.isOrder() {
		r.versionGone = true
	}
	r.settle(t, taskFailed)
}

// mayRepeat reports whether a task may run again after an attempt that ended
// with a status.
func (r *request) mayRepeat(t *task, status message.DispatchStatus) bool {
	if r.withdrawn || r.crashes >= maxCrashes || t.sent >= maxAttempts {
		return false
	}
	if r.suspect && r.crashes > 0 {
		return false
	}
	if r.probing && r.exposed() >= maxExposed {
		return false
	}
	if status.NotRun() {
		return true
	}
	return status == message.StatusLost && r.serviceOf(t).config.Policy.Repeatable
}

// noteReason remembers why the last attempt was refused.
func (r *request) noteReason(reason model.Code, retryAfter time.Duration) {
	// A cancellation is the coordinator's own doing: it is no reason for a caller.
	if reason != "" && reason != model.CodeCancelled && r.reason != model.CodeQuarantined {
		r.reason = reason
	}
	r.retryAfter = max(r.retryAfter, retryAfter)
}
