package show

import (
	"strings"
	"testing"
	"time"

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

// fakeNode implements Log and Sessions for a cluster of three hosts and a log of three
// changes.
type fakeNode struct{}

func (fakeNode) HostRevisions(model.Instant) []membership.HostRevision {
	return []membership.HostRevision{
		{Host: "h1", FailureDomain: "d1", State: model.Serving, Revision: 3},
		{Host: "h2", FailureDomain: "d2", State: model.Serving, Revision: 1, Lag: 2, Age: 1500 * time.Millisecond},
		{Host: "h3", FailureDomain: "d2", State: model.Starting, Lag: 3, Age: -1},
	}
}

func (fakeNode) Change(id model.ChangeID) (config.ChangeStatus, bool) {
	if id != "c2" {
		return config.ChangeStatus{}, false
	}
	return config.ChangeStatus{Change: id, Operator: "anna", Outcome: effect.Accepted, Revision: 2, Accepted: 1}, true
}

func (fakeNode) History() []model.LogEntry {
	return []model.LogEntry{
		{Revision: 1, Change: "c1", Operator: "root", Text: "create user a; create service one for a"},
		{Revision: 2, Change: "c2", Operator: "anna", Text: "alter service o* set rate 5"},
		{Revision: 3, Change: "c3", Operator: "root", Text: "alter service two set rate 5"},
	}
}

func (fakeNode) Ready() bool { return true }

func (fakeNode) Describe(model.Instant) session.Description {
	return session.Description{Homes: []session.HomeDescription{{Host: "h1", Sessions: 2}}}
}

// fakeCoordinator implements Coordinator with the budgets of two services.
type fakeCoordinator struct{}

func (fakeCoordinator) Describe(*step.Context) query.Description {
	return query.Description{Services: []query.ServiceDescription{{Service: "one", HedgeTokens: 1.5}, {Service: "two"}}}
}

func (fakeCoordinator) Explain(_ *step.Context, name model.ServiceName) (query.Explanation, *model.Failure) {
	return query.Explanation{Service: name, Version: 7, Searchable: 1, Shards: make([]query.ShardExplanation, 2)}, nil
}

// fakeQuarantine implements Quarantine with one blocked content for each of two services.
type fakeQuarantine struct{}

func (fakeQuarantine) Describe(model.Instant) quarantine.Description {
	return quarantine.Description{Blocks: []quarantine.BlockDescription{
		{Service: "one", Fingerprint: "0f", Crashes: 2}, {Service: "two", Fingerprint: "0e"},
	}}
}

// fakeAdmission implements Admission without admitted requests.
type fakeAdmission struct{}

func (fakeAdmission) Describe() admission.Description { return admission.Description{Limit: 10} }

// fakeDispatcher implements Dispatcher for one upstream.
type fakeDispatcher struct{}

func (fakeDispatcher) Describe(model.Instant) dispatch.Description {
	return dispatch.Description{Upstreams: []dispatch.UpstreamDescription{{Upstream: "one/u"}}}
}

// ask returns the result of a text that an operator submits.
func ask(t *testing.T, operator model.OperatorName, text string) effect.StatementResult {
	t.Helper()
	script, failure := statement.Parse(text)
	if failure != nil {
		t.Fatal(failure)
	}
	answerer := New(Dependencies{Log: fakeNode{}, Coordinator: fakeCoordinator{}, Sessions: fakeNode{}, Quarantine: fakeQuarantine{}, Dispatcher: fakeDispatcher{}, Admission: fakeAdmission{}})
	ctx := &step.Context{Now: 1 << 60, Self: model.Member{Host: "h1", State: model.Leaving}, Config: &model.Config{
		Revision:  3,
		Users:     []model.User{{ID: "a"}, {ID: "b"}},
		Operators: []model.Operator{{Name: "anna", User: "a"}, {Name: "root"}},
		Services:  []model.Service{{Name: "one", User: "a"}, {Name: "two", User: "b"}},
	}}
	return answerer.Answer(ctx, operator, script.Questions)
}

// columnCells returns the cells of one column of the first table, joined by "|".
func columnCells(t *testing.T, result effect.StatementResult, column string) string {
	t.Helper()
	if len(result.Tables) == 0 {
		t.Fatalf("no table: %+v", result)
	}
	table := result.Tables[0]
	for i, name := range table.Columns {
		if name != column {
			continue
		}
		var out []string
		for _, row := range table.Rows {
			out = append(out, row[i])
		}
		return strings.Join(out, "|")
	}
	t.Fatalf("no column %s in %v", column, table.Columns)
	return ""
}

func TestAnswers(t *testing.T) {
	for _, c := range []struct {
		operator model.OperatorName
		text     string
		column   string
		want     string
	}{
		{"root", "show services", "service", "one|two"},
		{"anna", "show services", "service", "one"},
		{"root", "show services where user = b and upstreams < 1", "service", "two"},
		{"root", "show services o*", "service", "one"},
		{"anna", "show users", "user", "a"},
		{"root", "show inforce", "age", "0s|1.5s|never"},
		{"root", "show inforce where lag > 0", "host", "h2|h3"},
		{"root", "show inforce service one", "in_force", "yes|no|no"},
		{"root", "show inforce service one", "service_revision", "2|2|2"},
		{"root", "show inforce service two", "service_revision", "3|3|3"},
		{"root", "show history", "change", "c3|c2|c1"},
		{"anna", "show history", "change", "c2"},
		{"root", "show change c2", "outcome", "accepted"},
		{"root", "show change c9", "outcome", "not_known"},
		{"anna", "show budgets", "hedge_tokens", "1.5"},
		{"root", "show sessions", "sessions", "2"},
		{"root", "explain one", "now", "no|7|at the latest after 0s|after 0s|no|no|1"},
		{"anna", "show convictions", "fingerprint", "0f"},
		{"root", "show convictions", "source", "evidence|evidence"},
	} {
		if got := columnCells(t, ask(t, c.operator, c.text), c.column); got != c.want {
			t.Errorf("%s asks %q: %s is %s, want %s", c.operator, c.text, c.column, got, c.want)
		}
	}
}

func TestRejectedQuestions(t *testing.T) {
	for _, c := range []struct {
		operator model.OperatorName
		text     string
		code     model.Code
	}{
		{"anna", "explain two", model.CodeUnknownService},
		{"anna", "show inforce service two", model.CodeUnknownService},
		{"root", "explain three", model.CodeUnknownService},
		{"root", "show change", model.CodeInvalid},
		{"root", "show services where colour = red", model.CodeInvalid},
	} {
		result := ask(t, c.operator, c.text)
		if result.Failure == nil || result.Failure.Code != c.code || result.Outcome != effect.NotAccepted {
			t.Errorf("%s asks %q: %+v, want %s", c.operator, c.text, result, c.code)
		}
	}
}
