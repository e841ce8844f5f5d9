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

// proposer brings the node's proposals into the log, one after another, so that
// they do not race each other.
type proposer struct {
	// queue holds the proposals; only the first one is under way.
	queue []*proposal
	// outcomes remembers the proposals that were not accepted.
	outcomes []ChangeStatus
	number   uint64
}

// find returns a waiting proposal, or nil.
func (o *proposer) find(id model.ChangeID) *proposal {
	at := slices.IndexFunc(o.queue, func(p *proposal) bool { return p.change == id })
	if at < 0 {
		return nil
	}
	return o.queue[at]
}

// outcome returns what became of a proposal that was not accepted.
func (o *proposer) outcome(id model.ChangeID) (ChangeStatus, bool) {
	for _, known := range slices.Backward(o.outcomes) {
		if known.Change == id {
			return known, true
		}
	}
	return ChangeStatus{}, false
}

// propose queues a change. One that is already in the log, or under way here, is
// the same change.
func (s *State) propose(ctx *step.Context, e event.Statement, script statement.Script) {
	shared := e.Change != ""
	if !shared {
		e.Change = s.newChangeID(ctx)
	}
	if len(e.Text) > maxTextBytes {
		failure := model.Failf(model.CodeTooLarge, "the text has more than %d bytes: send it in parts", maxTextBytes)
		replyNotAccepted(ctx, e, failure)
		return
	}
	if e.DryRun {
		s.dryRun(ctx, e, script)
		return
	}
	if result, ok := s.resultOf(e.Change, e.Text); ok {
		ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: result})
		return
	}
	if p := s.proposer.find(e.Change); p != nil {
		s.join(ctx, p, e)
		return
	}
	if len(s.proposer.queue) >= maxProposals {
		replyOverloaded(ctx, e, shared)
		return
	}
	s.proposer.queue = append(s.proposer.queue, newProposal(ctx.Now, e, script, shared))
	s.startFirst(ctx)
}

// join adds a call to a proposal under way. Another text under the same
// identifier is another change, which is refused.
func (s *State) join(ctx *step.Context, p *proposal, e event.Statement) {
	if hashText(p.text) != hashText(e.Text) {
		replyNotAccepted(ctx, e, model.Failf(model.CodeConflict, "change %s is under way with another text", e.Change))
		return
	}
	p.calls = append(p.calls, e.Call)
	p.deadline = ctx.Now.Add(proposalTime)
}

// newChangeID returns an identifier that no other node or life makes.
func (s *State) newChangeID(ctx *step.Context) model.ChangeID {
	s.proposer.number++
	return model.ChangeID(fmt.Sprintf("change-%s-%s-%s", ctx.Self.Host,
		strconv.FormatUint(uint64(ctx.Self.Incarnation), 36), strconv.FormatUint(s.proposer.number, 36)))
}

// startFirst begins the first proposal of the queue if it is not under way.
func (s *State) startFirst(ctx *step.Context) {
	if len(s.proposer.queue) == 0 {
		return
	}
	if p := s.proposer.queue[0]; p.stage == stageQueued {
		s.await(ctx, p, stageReading)
	}
}

// await puts a proposal into a stage that waits for a reading which begins now.
func (s *State) await(ctx *step.Context, p *proposal, next stage) {
	p.stage = next
	p.retryAt = 0
	p.read = s.requestRead(ctx)
}

// resumeProposal reads anew for a proposal whose reading was given up.
func (s *State) resumeProposal(ctx *step.Context) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	if p.stage == stageReading || p.stage == stageSettling {
		s.await(ctx, p, p.stage)
	}
}

// proposalRead goes on with the first proposal after a reading of the log.
func (s *State) proposalRead(ctx *step.Context) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	if p.read > s.reader.finished || p.retryAt != 0 {
		return
	}
	switch p.stage {
	case stageReading:
		s.check(ctx, p)
	case stageSettling:
		s.settle(ctx, p)
	}
}

// check judges a proposal against the newest log and writes it.
func (s *State) check(ctx *step.Context, p *proposal) {
	if s.finishIfKnown(ctx, p) {
		return
	}
	if p.failure == nil && len(p.calls) == 0 {
		// The operator was told that the outcome is unknown: no new attempt is made
		// behind the operator's back.
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
	s.write(ctx, p, forCreate, p.entry(ctx.Now))
}

// refuse ends a change that is not in the log. A shared change is refused in the
// log, because another node may be about to write it: whatever comes after the
// refusal is void.
func (s *State) refuse(ctx *step.Context, p *proposal) {
	if !p.shared {
		s.finish(ctx, p, notAccepted(p, p.failure))
		return
	}
	p.target = s.history.applied() + 1
	s.write(ctx, p, forFence, model.LogEntry{
		Revision: p.target, Change: p.change, Operator: p.operator, Accepted: ctx.Now,
	})
}

// finishIfKnown ends a proposal whose change is in the log.
func (s *State) finishIfKnown(ctx *step.Context, p *proposal) bool {
	result, ok := s.resultOf(p.change, p.text)
	if !ok {
		return false
	}
	if result.Outcome == effect.NotAccepted && p.failure != nil {
		result.Failure, result.Winner = p.failure, p.winner
	}
	s.finish(ctx, p, result)
	return true
}

// write creates the target's key.
func (s *State) write(ctx *step.Context, p *proposal, why purpose, entry model.LogEntry) {
	value, err := json.Marshal(entry)
	if err != nil {
		s.finish(ctx, p, notAccepted(p, model.Failf(model.CodeInternal, "encode log entry: %v", err)))
		return
	}
	p.stage = stageCreating
	if why == forFence {
		p.stage = stageFencing
	}
	s.calls.call(ctx, why, effect.CallStore{Verb: effect.StoreCreate, Key: logKey(p.target), Value: value})
}

// stepCreate takes in the reply to a proposal's write. Only a rejected write is
// known to have done nothing; for the rest the log is read.
func (s *State) stepCreate(ctx *step.Context, e event.StoreResult) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	switch e.Status {
	case event.StoreRejected:
		s.retryLater(ctx, p, stageReading)
	case event.StoreUnknown:
		p.mayLand = true
		s.await(ctx, p, stageSettling)
	default:
		s.await(ctx, p, stageSettling)
	}
}

// settle looks at who has the target's place in the log. An empty place is
// fenced: a write that was delayed could still take it.
func (s *State) settle(ctx *step.Context, p *proposal) {
	if s.history.applied() < p.target {
		s.settleAbsent(ctx, p)
		return
	}
	p.mayLand = false
	if p.target <= s.history.forgotten {
		s.finish(ctx, p, effect.StatementResult{
			Outcome: effect.ChangeUnknown, Change: p.change,
			Failure: model.Failf(model.CodeOutcomeLost, "the log no longer tells what became of change %s", p.change),
		})
		return
	}
	s.check(ctx, p)
}

// settleAbsent goes on with a write whose place is still empty.
func (s *State) settleAbsent(ctx *step.Context, p *proposal) {
	if !p.mayLand {
		s.retryLater(ctx, p, stageReading)
		return
	}
	ctx.Count(metricFences, "")
	s.write(ctx, p, forFence, model.LogEntry{Revision: p.target, Operator: p.operator, Accepted: ctx.Now})
}

// stepFence reads the log after the write of a fence, whatever its reply: the
// place may have been taken by the change itself.
func (s *State) stepFence(ctx *step.Context, e event.StoreResult) {
	if len(s.proposer.queue) == 0 {
		return
	}
	p := s.proposer.queue[0]
	if e.Status == event.StoreRejected || e.Status == event.StoreUnknown {
		s.retryLater(ctx, p, stageSettling)
		return
	}
	s.await(ctx, p, stageSettling)
}

// retryLater puts a proposal into a stage that begins after a wait.
func (s *State) retryLater(ctx *step.Context, p *proposal, next stage) {
	p.stage = next
	p.retryAt = ctx.Now.Add(backoff(ctx))
}

// stepProposals retries rejected writes and ends the calls that are overdue.
func (s *State) stepProposals(ctx *step.Context) {
	if len(s.proposer.queue) > 0 {
		p := s.proposer.queue[0]
		if p.retryAt != 0 && p.retryAt <= ctx.Now {
			s.await(ctx, p, p.stage)
		}
	}
	for _, p := range slices.Clone(s.proposer.queue) {
		if p.deadline <= ctx.Now && len(p.calls) > 0 {
			s.expire(ctx, p)
		}
	}
}
