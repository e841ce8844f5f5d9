package config

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// expire answers the operator's calls at the deadline: not accepted if the change
// certainly cannot be in the log, otherwise outcome unknown.
func (s *State) expire(ctx *step.Context, p *proposal) {
	if !p.isUndecided() {
		s.finish(ctx, p, notAccepted(p, model.Failf(model.CodeStoreUnavailable,
			"the store did not answer in time; nothing was written")))
		return
	}
	p.mayBeResent = true
	p.reply(ctx, effect.StatementResult{
		Outcome: effect.ChangeUnknown,
		Change:  p.change,
		Failure: model.Failf(model.CodeStoreUnavailable,
			"the outcome is not known yet; ask later with: show change %s", p.change),
	})
}

// finish replies with the result, removes the proposal and starts the next one.
func (s *State) finish(ctx *step.Context, p *proposal, result effect.StatementResult) {
	p.reply(ctx, result)
	ctx.Count(metricChanges, string(result.Outcome))
	s.proposer.queue = slices.DeleteFunc(s.proposer.queue, func(other *proposal) bool { return other == p })
	if result.Outcome != effect.Accepted {
		s.proposer.outcomes = append(s.proposer.outcomes, ChangeStatus{
			Change: p.change, Operator: p.operator, Outcome: result.Outcome, Failure: result.Failure,
		})
		excess := max(0, len(s.proposer.outcomes)-maxOutcomes)
		s.proposer.outcomes = slices.Delete(s.proposer.outcomes, 0, excess)
	}
	s.startFirst(ctx)
}

// reply sends the result to all waiting calls.
func (p *proposal) reply(ctx *step.Context, result effect.StatementResult) {
	for _, call := range p.calls {
		ctx.Emit(effect.ReplyStatement{Call: call, Result: result})
	}
	p.calls = nil
}

// notAccepted returns the result of a change that is not in the log and can no
// longer get there.
func notAccepted(p *proposal, failure *model.Failure) effect.StatementResult {
	return effect.StatementResult{Outcome: effect.NotAccepted, Change: p.change, Failure: failure, Winner: p.winner}
}

// replyOverloaded rejects a change when the queue is full. If the change may be a
// resend, its outcome is unknown, because another node may have accepted it.
func replyOverloaded(ctx *step.Context, e event.Statement, mayBeResent bool) {
	failure := model.Failf(model.CodeOverloaded, "too many changes are queued on this node")
	if !mayBeResent {
		replyNotAccepted(ctx, e, failure)
		return
	}
	ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: effect.StatementResult{
		Outcome: effect.ChangeUnknown, Change: e.Change, Failure: failure,
	}})
}

// replyNotAccepted rejects a statement for which no proposal was created.
func replyNotAccepted(ctx *step.Context, e event.Statement, failure *model.Failure) {
	ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: effect.StatementResult{
		Outcome: effect.NotAccepted, Change: e.Change, Failure: failure,
	}})
}
