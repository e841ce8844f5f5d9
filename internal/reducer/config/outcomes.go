package config

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// expire ends the operator's calls with what is true at the deadline.
func (s *State) expire(ctx *step.Context, p *proposal) {
	if !p.isUndecided() {
		s.finish(ctx, p, notAccepted(p, model.Failf(model.CodeStoreUnavailable,
			"the store did not answer in time; nothing was written")))
		return
	}
	p.shared = true
	p.reply(ctx, effect.StatementResult{
		Outcome: effect.ChangeUnknown,
		Change:  p.change,
		Failure: model.Failf(model.CodeStoreUnavailable,
			"the outcome is not known yet; ask later with: show change %s", p.change),
	})
}

// finish ends a proposal and begins the next one.
func (s *State) finish(ctx *step.Context, p *proposal, result effect.StatementResult) {
	p.reply(ctx, result)
	ctx.Count(metricChanges, string(result.Outcome))
	s.proposer.queue = slices.DeleteFunc(s.proposer.queue, func(other *proposal) bool { return other == p })
	if result.Outcome != effect.Accepted {
		s.proposer.outcomes = append(s.proposer.outcomes, ChangeStatus{
			Change: p.change, Operator: p.operator, Outcome: result.Outcome, Failure: result.Failure,
		})
		excess := max(0, len(s.proposer.outcomes)-keptOutcomes)
		s.proposer.outcomes = slices.Delete(s.proposer.outcomes, 0, excess)
	}
	s.startFirst(ctx)
}

// reply ends the operator's calls.
func (p *proposal) reply(ctx *step.Context, result effect.StatementResult) {
	for _, call := range p.calls {
		ctx.Emit(effect.ReplyStatement{Call: call, Result: result})
	}
	p.calls = nil
}

// notAccepted is the result of a change that is not in the log and can no longer
// get there.
func notAccepted(p *proposal, failure *model.Failure) effect.StatementResult {
	return effect.StatementResult{Outcome: effect.NotAccepted, Change: p.change, Failure: failure, Winner: p.winner}
}

// replyOverloaded refuses a change that finds the queue full. Of a shared one
// another node may know more.
func replyOverloaded(ctx *step.Context, e event.Statement, shared bool) {
	failure := model.Failf(model.CodeOverloaded, "too many changes wait on this node")
	if !shared {
		replyNotAccepted(ctx, e, failure)
		return
	}
	ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: effect.StatementResult{
		Outcome: effect.ChangeUnknown, Change: e.Change, Failure: failure,
	}})
}

// replyNotAccepted refuses a statement that never became a proposal.
func replyNotAccepted(ctx *step.Context, e event.Statement, failure *model.Failure) {
	ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: effect.StatementResult{
		Outcome: effect.NotAccepted, Change: e.Change, Failure: failure,
	}})
}
