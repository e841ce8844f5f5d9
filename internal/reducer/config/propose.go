package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strconv"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// proposer writes the node's proposals to the log one after another, so that they
// do not conflict with each other.
type proposer struct {
	// queue holds the undecided proposals; only the first one is in progress.
	queue []*proposal
	// outcomes holds the latest proposals that were not accepted.
	outcomes []ChangeStatus
	// lastNumber is the number in the last generated change identifier.
	lastNumber uint64
}

// find returns the queued proposal with an identifier, or nil.
func (o *proposer) find(id model.ChangeID) *proposal {
	at := slices.IndexFunc(o.queue, func(p *proposal) bool { return p.change == id })
	if at < 0 {
		return nil
	}
	return o.queue[at]
}

// outcome returns the outcome of a proposal that was not accepted.
func (o *proposer) outcome(id model.ChangeID) (ChangeStatus, bool) {
	for _, status := range slices.Backward(o.outcomes) {
		if status.Change == id {
			return status, true
		}
	}
	return ChangeStatus{}, false
}

// propose queues a change, unless a change with its identifier is already in the
// log or in progress here.
func (s *State) propose(ctx *step.Context, e event.Statement, script statement.Script) {
	mayBeResent := e.Change != ""
	if !mayBeResent {
		e.Change = s.newChangeID(ctx)
	}
	if len(e.Text) > maxTextBytes {
		failure := model.Failf(model.CodeTooLarge, "the text exceeds %d bytes: split it into several changes", maxTextBytes)
		replyNotAccepted(ctx, e, failure)
		return
	}
	if e.DryRun {
		s.dryRun(ctx, e, script)
		return
	}
	if result, ok := s.recordedResult(e.Change, e.Text); ok {
		ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: result})
		return
	}
	if p := s.proposer.find(e.Change); p != nil {
		s.joinProposal(ctx, p, e)
		return
	}
	if len(s.proposer.queue) >= maxProposals {
		replyOverloaded(ctx, e, mayBeResent)
		return
	}
	s.proposer.queue = append(s.proposer.queue, newProposal(ctx.Now, e, script, mayBeResent))
	s.startFirst(ctx)
}

// joinProposal adds a call to a proposal in progress. A different text under the
// same identifier is refused.
func (s *State) joinProposal(ctx *step.Context, p *proposal, e event.Statement) {
	if hashText(p.text) != hashText(e.Text) {
		replyNotAccepted(ctx, e, model.Failf(model.CodeConflict, "change %s is already in progress with a different text", e.Change))
		return
	}
	p.calls = append(p.calls, e.Call)
	p.deadline = ctx.Now.Add(proposalTimeout)
}

// newChangeID returns an identifier that no other node or incarnation generates.
func (s *State) newChangeID(ctx *step.Context) model.ChangeID {
	s.proposer.lastNumber++
	return model.ChangeID(fmt.Sprintf("change-%s-%s-%s", ctx.Self.Host,
		strconv.FormatUint(uint64(ctx.Self.Incarnation), 36), strconv.FormatUint(s.proposer.lastNumber, 36)))
}

// startFirst starts the first proposal of the queue unless it is in progress.
func (s *State) startFirst(ctx *step.Context) {
	if len(s.proposer.queue) == 0 {
		return
	}
	if p := s.proposer.queue[0]; p.stage == stageQueued {
		s.awaitRead(ctx, p, stageReading)
	}
}

// awaitRead moves a proposal to a stage that waits for a read that begins no
// earlier than now.
func (s *State) awaitRead(ctx *step.Context, p *proposal, next proposalStage) {
	p.stage = next
	p.retryAt = 0
	p.readNumber = s.requestRead(ctx)
}

// resumeProposal requests another read for a proposal whose read was aborted.
func (s *State) resumeProposal(ctx *step.Context) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	if p.stage == stageReading || p.stage == stageSettling {
		s.awaitRead(ctx, p, p.stage)
	}
}

// continueProposal advances the first proposal after a read of the log.
func (s *State) continueProposal(ctx *step.Context) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	if p.readNumber > s.reader.lastFinished || p.retryAt != 0 {
		return
	}
	switch p.stage {
	case stageReading:
		s.validateAndWrite(ctx, p)
	case stageSettling:
		s.resolveWrite(ctx, p)
	}
}

// validateAndWrite validates a proposal against the newest log and writes its
// entry.
func (s *State) validateAndWrite(ctx *step.Context, p *proposal) {
	if s.finishIfKnown(ctx, p) {
		return
	}
	if p.failure == nil && len(p.calls) == 0 {
		// The operator was told that the outcome is unknown, so no new write is
		// started without the operator's knowledge.
		p.failure = model.Failf(model.CodeStoreUnavailable, "the store did not answer in time")
	}
	if p.failure == nil {
		_, p.failure, p.winner = s.validate(p.text, p.script)
	}
	if p.failure != nil {
		s.refuse(ctx, p)
		return
	}
	p.target = s.history.applied() + 1
	s.writeEntry(ctx, p, purposeCreate, p.entry(ctx.Now))
}

// refuse ends a change that is not in the log. If the change may be resent, the
// refusal is written to the log, because another node may be about to write the
// change: any later entry with the same identifier is then void.
func (s *State) refuse(ctx *step.Context, p *proposal) {
	if !p.mayBeResent {
		s.finish(ctx, p, notAccepted(p, p.failure))
		return
	}
	p.target = s.history.applied() + 1
	s.writeEntry(ctx, p, purposeFence, model.LogEntry{
		Revision: p.target, Change: p.change, Operator: p.operator, Accepted: ctx.Now,
	})
}

// finishIfKnown finishes a proposal whose change is already in the log.
func (s *State) finishIfKnown(ctx *step.Context, p *proposal) bool {
	result, ok := s.recordedResult(p.change, p.text)
	if !ok {
		return false
	}
	if result.Outcome == effect.NotAccepted && p.failure != nil {
		result.Failure, result.Winner = p.failure, p.winner
	}
	s.finish(ctx, p, result)
	return true
}

// writeEntry creates the log key of the target revision.
func (s *State) writeEntry(ctx *step.Context, p *proposal, purpose callPurpose, entry model.LogEntry) {
	value, err := json.Marshal(entry)
	if err != nil {
		s.finish(ctx, p, notAccepted(p, model.Failf(model.CodeInternal, "encode log entry: %v", err)))
		return
	}
	p.stage = stageCreating
	if purpose == purposeFence {
		p.stage = stageFencing
	}
	s.calls.call(ctx, purpose, effect.CallStore{Verb: effect.StoreCreate, Key: logKey(p.target), Value: value})
}

// handleCreateResult processes the reply to a proposal's write. Only a rejected
// write is certain to have had no effect; in all other cases the log is read.
func (s *State) handleCreateResult(ctx *step.Context, e event.StoreResult) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	switch e.Status {
	case event.StoreRejected:
		s.retryLater(ctx, p, stageReading)
	case event.StoreUnknown:
		p.writePending = true
		s.awaitRead(ctx, p, stageSettling)
	default:
		s.awaitRead(ctx, p, stageSettling)
	}
}

// resolveWrite determines from the log which entry occupies the target revision. An
// empty revision is fenced if a delayed write could still create it.
func (s *State) resolveWrite(ctx *step.Context, p *proposal) {
	if s.history.applied() < p.target {
		s.resolveMissingWrite(ctx, p)
		return
	}
	p.writePending = false
	if p.target <= s.history.droppedRevision {
		s.finish(ctx, p, effect.StatementResult{
			Outcome: effect.ChangeUnknown, Change: p.change,
			Failure: model.Failf(model.CodeOutcomeLost, "the log no longer records the outcome of change %s", p.change),
		})
		return
	}
	s.validateAndWrite(ctx, p)
}

// resolveMissingWrite continues a proposal whose target revision is still empty: it
// retries the change, or fences the revision first if the write may still take
// effect.
func (s *State) resolveMissingWrite(ctx *step.Context, p *proposal) {
	if !p.writePending {
		s.retryLater(ctx, p, stageReading)
		return
	}
	ctx.Count(metricFences, "")
	s.writeEntry(ctx, p, purposeFence, model.LogEntry{Revision: p.target, Operator: p.operator, Accepted: ctx.Now})
}

// handleFenceResult reads the log after the write of a fence. It does so after a
// conflict too, because the change itself may occupy the revision. If the write was
// rejected or its result is unknown, the log is read after a wait.
func (s *State) handleFenceResult(ctx *step.Context, e event.StoreResult) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	if e.Status == event.StoreRejected || e.Status == event.StoreUnknown {
		s.retryLater(ctx, p, stageSettling)
		return
	}
	s.awaitRead(ctx, p, stageSettling)
}

// retryLater moves a proposal to a stage that begins after a random wait.
func (s *State) retryLater(ctx *step.Context, p *proposal, next proposalStage) {
	p.stage = next
	p.retryAt = ctx.Now.Add(backoff(ctx))
}

// checkProposals retries rejected writes and ends overdue calls.
func (s *State) checkProposals(ctx *step.Context) {
	if len(s.proposer.queue) > 0 {
		p := s.proposer.queue[0]
		if p.retryAt != 0 && p.retryAt <= ctx.Now {
			s.awaitRead(ctx, p, p.stage)
		}
	}
	for _, p := range slices.Clone(s.proposer.queue) {
		if p.deadline <= ctx.Now && len(p.calls) > 0 {
			s.expire(ctx, p)
		}
	}
}
