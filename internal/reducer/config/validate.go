package config

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// dryRun replies with the difference that a change would make to the configuration
// in force on this node, or with the failure that refuses the change.
func (s *State) dryRun(ctx *step.Context, e event.Statement, script statement.Script) {
	next, failure, winner := s.validate(e.Text, script)
	if failure != nil {
		ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: effect.StatementResult{
			Outcome: effect.NotAccepted, Change: e.Change, Failure: failure, Winner: winner,
		}})
		return
	}
	ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: effect.StatementResult{
		Outcome: effect.DryRun, Revision: s.history.applied(), Text: statement.Diff(s.history.config, next),
	}})
}

// recordedResult returns the result of a change that is in the log. A different
// text under a known identifier is refused.
func (s *State) recordedResult(id model.ChangeID, text string) (effect.StatementResult, bool) {
	record, ok := s.history.findChange(id)
	if !ok {
		return effect.StatementResult{}, false
	}
	if record.Refused {
		return effect.StatementResult{Outcome: effect.NotAccepted, Change: id, Failure: record.refusal()}, true
	}
	if record.TextHash != hashText(text) {
		return effect.StatementResult{
			Outcome: effect.NotAccepted, Change: id,
			Failure: model.Failf(model.CodeConflict, "revision %d by operator %q has the same change id %s with a different text",
				record.Revision, record.Operator, id),
		}, true
	}
	return effect.StatementResult{Outcome: effect.Accepted, Revision: record.Revision, Change: id}, true
}

// validate returns the configuration after the change, or the failure that refuses
// it, and for a conflict the earlier change.
func (s *State) validate(text string, script statement.Script) (*model.Config, *model.Failure, *effect.Winner) {
	if failure, winner := s.checkBase(script.Base); failure != nil {
		return nil, failure, winner
	}
	next, failure := statement.Apply(s.history.config, script.Changes)
	if failure != nil {
		return nil, failure, nil
	}
	// The nodes apply the text, so it must be valid in the same way as the parsed
	// script.
	if _, failure := evaluate(s.history.config, text); failure != nil {
		return nil, failure, nil
	}
	if failure := s.history.checkSize(next); failure != nil {
		return nil, failure, nil
	}
	return next, nil, nil
}

// checkBase refuses a change if another change was accepted after its base
// revision, or if the base does not exist yet. Base zero matches any revision.
func (s *State) checkBase(base model.Revision) (*model.Failure, *effect.Winner) {
	if base == 0 {
		return nil, nil
	}
	if last, changed := s.history.changedSince(base); changed {
		failure := model.Failf(model.CodeConflict, "revision %d by operator %q (change %s) came after revision %d",
			last.Revision, last.Operator, last.Change, base)
		return failure, &effect.Winner{Revision: last.Revision, Operator: last.Operator, Change: last.Change}
	}
	if base > s.history.applied() {
		return model.Failf(model.CodeConflict, "revision %d does not exist yet: the newest is %d", base, s.history.applied()), nil
	}
	return nil, nil
}
