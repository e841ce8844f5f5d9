// Package show answers operators' questions from what the parts of the reducer
// describe of themselves.
package show

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// Answer answers the questions of one text. The operator sees only what its
// user owns, if it is limited to one.
func Answer(ctx *step.Context, operator model.OperatorName, questions []statement.Question) effect.StatementResult {
	result := effect.StatementResult{Outcome: effect.Shown, Revision: ctx.Config.Revision}
	config := statement.Visible(ctx.Config, operator)
	for _, question := range questions {
		if failure := answer(config, question, &result); failure != nil {
			return effect.StatementResult{Outcome: effect.NotAccepted, Failure: failure}
		}
	}
	return result
}

// answer adds the answer to one question.
func answer(config *model.Config, question statement.Question, result *effect.StatementResult) *model.Failure {
	show, ok := question.(*statement.Show)
	if !ok {
		return model.Failf(model.CodeInvalid, "this question has no answer yet")
	}
	if show.Subject == statement.Config {
		result.Text += statement.PrintPublic(config)
		return nil
	}
	table, failure := configTable(config, show)
	if failure != nil {
		return failure
	}
	selected, problem := show.Where.Select(table)
	if problem != nil {
		return problem.Failure()
	}
	result.Tables = append(result.Tables, selected)
	return nil
}

// configTable returns a table of the configuration.
func configTable(config *model.Config, show *statement.Show) (model.Table, *model.Failure) {
	var pattern statement.Pattern
	if show.Name != nil {
		pattern = *show.Name
	}
	switch show.Subject {
	case statement.Services:
		return statement.ServiceTable(config, pattern), nil
	case statement.Upstreams:
		return statement.UpstreamTable(config, pattern), nil
	case statement.Users:
		return statement.UserTable(config, pattern), nil
	case statement.Operators:
		return statement.OperatorTable(config, pattern), nil
	case statement.Limits:
		return statement.LimitTable(config, pattern), nil
	case statement.Convictions:
		return statement.ConvictionTable(config, pattern), nil
	default:
		return model.Table{}, model.Failf(model.CodeInvalid, "show %s has no answer yet", show.Subject)
	}
}
