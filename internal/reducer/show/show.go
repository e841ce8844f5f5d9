// Package show answers operators' questions from what the parts of the reducer
// describe of themselves. An operator that is limited to a user sees only what
// belongs to that user.
package show

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission"
	"github.com/hawthorntack/hawthorntack/internal/reducer/config"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
	"github.com/hawthorntack/hawthorntack/internal/reducer/membership"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/session"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// Log is the configuration log as this node knows it.
type Log interface {
	// InForceView returns what is known of each host's configuration.
	InForceView(now model.Instant) []membership.HostRevision
	// Change returns what is known of a change.
	Change(id model.ChangeID) (config.ChangeStatus, bool)
	// History returns the kept entries, oldest first.
	History() []model.LogEntry
	// Ready reports whether the configuration is recent enough to work with.
	Ready() bool
}

// Admission describes what the node has taken on.
type Admission interface {
	Describe() admission.Description
}

// Coordinator describes the searches and orders under way.
type Coordinator interface {
	Describe(ctx *step.Context) query.Description
	Explain(ctx *step.Context, service model.ServiceName) (query.Explanation, *model.Failure)
}

// Sessions describes the callers' sessions.
type Sessions interface {
	Describe(now model.Instant) session.Description
}

// Quarantine describes the contents that crash upstreams.
type Quarantine interface {
	Describe(now model.Instant) quarantine.Description
}

// Dispatcher describes this node's connections to upstreams.
type Dispatcher interface {
	Describe(now model.Instant) dispatch.Description
}

// Parts are the parts that answers come from.
type Parts struct {
	Log         Log
	Coordinator Coordinator
	Sessions    Sessions
	Quarantine  Quarantine
	Dispatcher  Dispatcher
	Admission   Admission
}

// Answerer answers questions from the parts.
type Answerer struct {
	parts Parts
}

// New returns an answerer.
func New(parts Parts) *Answerer { return &Answerer{parts: parts} }

// asked is one text of questions.
type asked struct {
	*step.Context
	operator model.OperatorName
	// user is the user that the operator is limited to; empty means all.
	user model.UserID
	// visible is the part of the configuration that the operator may see.
	visible *model.Config
}

// Answer answers the questions of one text.
func (a *Answerer) Answer(ctx *step.Context, operator model.OperatorName, questions []statement.Question) effect.StatementResult {
	if !statement.MayOperate(ctx.Config, operator) {
		failure := model.Failf(model.CodeForbidden, "there is no operator %q", operator)
		return effect.StatementResult{Outcome: effect.NotAccepted, Failure: failure}
	}
	q := &asked{
		Context:  ctx,
		operator: operator,
		user:     statement.UserOf(ctx.Config, operator),
		visible:  statement.Visible(ctx.Config, operator),
	}
	result := effect.StatementResult{Outcome: effect.Shown, Revision: ctx.Config.Revision}
	for _, question := range questions {
		if failure := a.answer(q, question, &result); failure != nil {
			return effect.StatementResult{Outcome: effect.NotAccepted, Failure: failure}
		}
	}
	return result
}

// answer adds the answer to one question.
func (a *Answerer) answer(q *asked, question statement.Question, result *effect.StatementResult) *model.Failure {
	switch question := question.(type) {
	case *statement.Show:
		return a.show(q, question, result)
	case *statement.Explain:
		return a.explain(q, model.ServiceName(question.Service), result)
	default:
		return model.Failf(model.CodeInternal, "no answer to %T", question)
	}
}

// show adds the answer to a show statement.
func (a *Answerer) show(q *asked, show *statement.Show, result *effect.StatementResult) *model.Failure {
	if show.Subject == statement.Config {
		result.Text += statement.PrintPublic(q.visible)
		return nil
	}
	table, failure := a.table(q, show)
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

// table returns the table that a show statement asks for.
func (a *Answerer) table(q *asked, show *statement.Show) (model.Table, *model.Failure) {
	pattern := patternOf(show)
	switch show.Subject {
	case statement.Services:
		return statement.ServiceTable(q.visible, pattern), nil
	case statement.Upstreams:
		return statement.UpstreamTable(q.visible, pattern), nil
	case statement.Users:
		return statement.UserTable(q.visible, pattern), nil
	case statement.Operators:
		return statement.OperatorTable(q.visible, pattern), nil
	case statement.Limits:
		return statement.LimitTable(q.visible, pattern), nil
	case statement.Convictions:
		return a.convictions(q, pattern), nil
	default:
		return a.liveTable(q, show)
	}
}

// liveTable returns a table of what the node believes or does now.
func (a *Answerer) liveTable(q *asked, show *statement.Show) (model.Table, *model.Failure) {
	switch show.Subject {
	case statement.InForce:
		return a.inForce(q, show)
	case statement.ChangeState:
		return a.change(show)
	case statement.History:
		return a.history(q), nil
	case statement.Members:
		return a.members(q, patternOf(show)), nil
	case statement.Sessions:
		return a.sessions(q), nil
	case statement.Budgets:
		return a.budgets(q, patternOf(show)), nil
	default:
		return model.Table{}, model.Failf(model.CodeInternal, "no table of %s", show.Subject)
	}
}

// patternOf returns the pattern of a show statement; all names without one.
func patternOf(show *statement.Show) statement.Pattern {
	switch {
	case show.Name != nil:
		return *show.Name
	case show.Service != nil:
		return statement.Pattern(*show.Service)
	default:
		return statement.All
	}
}
