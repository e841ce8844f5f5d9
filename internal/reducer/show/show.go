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
	user := userOf(ctx.Config, operator)
	for _, question := range questions {
		if failure := answer(ctx, user, question, &result); failure != nil {
			return effect.StatementResult{Outcome: effect.NotAccepted, Failure: failure}
		}
	}
	return result
}

// userOf returns the user that an operator is limited to; empty means all.
func userOf(config *model.Config, operator model.OperatorName) model.UserID {
	for i := range config.Operators {
		if config.Operators[i].Name == operator {
			return config.Operators[i].User
		}
	}
	return ""
}

// answer adds the answer to one question.
func answer(ctx *step.Context, user model.UserID, question statement.Question, result *effect.StatementResult) *model.Failure {
	show, ok := question.(*statement.Show)
	if !ok {
		return model.Failf(model.CodeInvalid, "this question has no answer yet")
	}
	if show.Subject == statement.Config {
		result.Text += statement.PrintPublic(ctx.Config)
		return nil
	}
	table, failure := configTable(ctx.Config, show, user)
	if failure != nil {
		return failure
	}
	selected, failure := show.Where.Select(table)
	if failure != nil {
		return failure
	}
	result.Tables = append(result.Tables, selected)
	return nil
}

// configTable returns a table of the configuration.
func configTable(config *model.Config, show *statement.Show, user model.UserID) (model.Table, *model.Failure) {
	var pattern statement.Pattern
	if show.Name != nil {
		pattern = *show.Name
	}
	switch show.Subject {
	case statement.Services:
		return statement.ServiceTable(config, pattern, user), nil
	case statement.Upstreams:
		return statement.UpstreamTable(config, pattern, user), nil
	case statement.Users:
		return statement.UserTable(config, pattern, user), nil
	case statement.Operators:
		return statement.OperatorTable(config, pattern, user), nil
	case statement.Limits:
		return statement.LimitTable(config, pattern, user), nil
	case statement.Convictions:
		return statement.ConvictionTable(config, pattern, user), nil
	default:
		return model.Table{}, model.Failf(model.CodeInvalid, "show %s has no answer yet", show.Subject)
	}
}
