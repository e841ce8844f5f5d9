// Package show answers operators' show and explain statements from the descriptions
// that the components of the reducer provide. An operator that is limited to a user
// sees only what belongs to that user.
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

// Log is this node's view of the configuration log.
type Log interface {
	// HostRevisions returns the known configuration revision of each host.
	HostRevisions(now model.Instant) []membership.HostRevision
	// Change returns the status of a change, and false if it is not known.
	Change(id model.ChangeID) (config.ChangeStatus, bool)
	// History returns the retained log entries, oldest first.
	History() []model.LogEntry
	// Ready reports whether the configuration is recent enough to serve requests.
	Ready() bool
}

// Admission describes the requests that the node has admitted.
type Admission interface {
	Describe() admission.Description
}

// Coordinator describes the searches and orders in progress.
type Coordinator interface {
	Describe(ctx *step.Context) query.Description
	Explain(ctx *step.Context, service model.ServiceName) (query.Explanation, *model.Failure)
}

// Sessions describes the callers' sessions.
type Sessions interface {
	Describe(now model.Instant) session.Description
}

// Quarantine describes the contents that are suspected or blocked for crashing
// upstreams.
type Quarantine interface {
	Describe(now model.Instant) quarantine.Description
}

// Dispatcher describes this node's connections to upstreams.
type Dispatcher interface {
	Describe(now model.Instant) dispatch.Description
}

// Dependencies lists the components whose descriptions the answers are built from.
type Dependencies struct {
	Log         Log
	Coordinator Coordinator
	Sessions    Sessions
	Quarantine  Quarantine
	Dispatcher  Dispatcher
	Admission   Admission
}

// Answerer answers show and explain statements.
type Answerer struct {
	deps Dependencies
}

// New returns an Answerer that queries the given components.
func New(deps Dependencies) *Answerer { return &Answerer{deps: deps} }

// request is the context in which the show and explain statements of one text are
// answered.
type request struct {
	*step.Context
	operator model.OperatorName
	// user is the user that the operator is limited to, or empty if there is no limit.
	user model.UserID
	// visible is the part of the configuration that the operator may see.
	visible *model.Config
}

// Answer answers the show and explain statements of one text. If one of them fails, the
// result contains only the failure.
func (a *Answerer) Answer(ctx *step.Context, operator model.OperatorName, questions []statement.Question) effect.StatementResult {
	if !statement.MayOperate(ctx.Config, operator) {
		failure := model.Failf(model.CodeForbidden, "there is no operator %q", operator)
		return effect.StatementResult{Outcome: effect.NotAccepted, Failure: failure}
	}
	r := &request{
		Context:  ctx,
		operator: operator,
		user:     statement.UserOf(ctx.Config, operator),
		visible:  statement.Visible(ctx.Config, operator),
	}
	result := effect.StatementResult{Outcome: effect.Shown, Revision: ctx.Config.Revision}
	for _, question := range questions {
		if failure := a.answer(r, question, &result); failure != nil {
			return effect.StatementResult{Outcome: effect.NotAccepted, Failure: failure}
		}
	}
	return result
}

// answer adds the answer to one statement to the result.
func (a *Answerer) answer(r *request, question statement.Question, result *effect.StatementResult) *model.Failure {
	switch question := question.(type) {
	case *statement.Show:
		return a.show(r, question, result)
	case *statement.Explain:
		return a.explain(r, model.ServiceName(question.Service), result)
	default:
		return model.Failf(model.CodeInternal, "unsupported statement %T", question)
	}
}

// show adds the answer to a show statement to the result.
func (a *Answerer) show(r *request, show *statement.Show, result *effect.StatementResult) *model.Failure {
	if show.Subject == statement.Config {
		result.Text += statement.PrintPublic(r.visible)
		return nil
	}
	table, failure := a.table(r, show)
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
func (a *Answerer) table(r *request, show *statement.Show) (model.Table, *model.Failure) {
	pattern := patternOf(show)
	switch show.Subject {
	case statement.Services:
		return statement.ServiceTable(r.visible, pattern), nil
	case statement.Upstreams:
		return statement.UpstreamTable(r.visible, pattern), nil
	case statement.Users:
		return statement.UserTable(r.visible, pattern), nil
	case statement.Operators:
		return statement.OperatorTable(r.visible, pattern), nil
	case statement.Limits:
		return statement.LimitTable(r.visible, pattern), nil
	case statement.Convictions:
		return a.blockTable(r, pattern), nil
	default:
		return a.liveTable(r, show)
	}
}

// liveTable returns a table of the node's current state or view of the cluster.
func (a *Answerer) liveTable(r *request, show *statement.Show) (model.Table, *model.Failure) {
	switch show.Subject {
	case statement.InForce:
		return a.inForceTable(r, show)
	case statement.ChangeState:
		return a.changeTable(show)
	case statement.History:
		return a.historyTable(r), nil
	case statement.Members:
		return a.memberTable(r, patternOf(show)), nil
	case statement.Sessions:
		return a.sessionTable(r), nil
	case statement.Budgets:
		return a.budgetTable(r, patternOf(show)), nil
	default:
		return model.Table{}, model.Failf(model.CodeInternal, "unsupported show subject %s", show.Subject)
	}
}

// patternOf returns the name pattern of a show statement, or statement.All if it has
// none.
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
