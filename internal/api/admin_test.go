package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthorntack/hawthorntack/internal/auth"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// fakeAdministration records the last statement and returns a fixed result.
type fakeAdministration struct {
	statement event.Statement
	result    effect.StatementResult
	err       error
	refused   []model.Code
}

// countRefusal records a refused call.
func (f *fakeAdministration) countRefusal(code model.Code) { f.refused = append(f.refused, code) }

func (f *fakeAdministration) Statement(_ context.Context, e event.Statement) (effect.StatementResult, error) {
	f.statement = e
	return f.result, f.err
}

func (f *fakeAdministration) Dump(context.Context) ([]byte, error) {
	return []byte(`{"state":"serving"}`), nil
}

// fakeVerifier accepts the operators root and anna without a key. For the name
// "starting" it fails as on a node that has no configuration yet.
type fakeVerifier struct{}

func (fakeVerifier) Verify(r auth.Request) (model.Operator, *model.Failure) {
	switch r.Authorization {
	case "root":
		return model.Operator{Name: "root"}, nil
	case "anna":
		return model.Operator{Name: "anna", User: "a"}, nil
	case "starting":
		return model.Operator{}, model.Failf(model.CodeUnavailable, "starting")
	default:
		return model.Operator{}, model.Failf(model.CodeUnauthenticated, "unknown operator")
	}
}

// call sends a request to an administration API whose bodies are limited to 1 KiB.
func call(a *fakeAdministration, method, path, operator, body string) *httptest.ResponseRecorder {
	e := NewEcho("1K")
	RegisterAdmin(e, AdminOptions{Administration: a, Verifier: fakeVerifier{}, Gatherer: prometheus.NewRegistry(), CountRefusal: a.countRefusal, OnLoopback: true})
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", operator)
	recorder := httptest.NewRecorder()
	e.ServeHTTP(recorder, request)
	return recorder
}

func TestStatementCarriesOperator(t *testing.T) {
	a := &fakeAdministration{result: effect.StatementResult{Outcome: effect.Accepted, Revision: 7, Change: "c"}}
	recorder := call(a, http.MethodPost, "/v1/admin/statements", "anna", `{"text":"drop user a","change_id":"c","dry_run":true}`)
	if recorder.Code != http.StatusOK || a.statement.Operator != "anna" || a.statement.Change != "c" || !a.statement.DryRun {
		t.Errorf("%d %s for %+v", recorder.Code, recorder.Body, a.statement)
	}
}

func TestAdministrationStatuses(t *testing.T) {
	change, query := `{"text":"drop user a","change_id":"c"}`, `{"text":"show users"}`
	for _, c := range []struct {
		name, method, path, operator, body string
		result                             effect.StatementResult
		err                                error
		status                             int
		outcome                            string
	}{
		{name: "no operator", method: "POST", path: "/v1/admin/statements", body: change, status: 401, outcome: "not_run"},
		{name: "malformed", method: "POST", path: "/v1/admin/statements", operator: "root", body: `{"text":`, status: 400, outcome: "not_run"},
		{name: "unknown field", method: "POST", path: "/v1/admin/statements", operator: "root", body: `{"txt":"x"}`, status: 400, outcome: "not_run"},
		{name: "body over the limit", method: "POST", path: "/v1/admin/statements", operator: "root", body: `{"text":"` + strings.Repeat("x", 2000) + `"}`, status: 413, outcome: "not_run"},
		{name: "change without reply", method: "POST", path: "/v1/admin/statements", operator: "root", body: change, err: context.DeadlineExceeded, status: 504, outcome: "unknown"},
		{name: "query without reply", method: "POST", path: "/v1/admin/statements", operator: "root", body: query, err: context.DeadlineExceeded, status: 500, outcome: "not_run"},
		{
			name: "forbidden", method: "POST", path: "/v1/admin/statements", operator: "root", body: change,
			result: effect.StatementResult{Outcome: effect.NotAccepted, Failure: model.Failf(model.CodeForbidden, "no")}, status: 403, outcome: "not_accepted",
		},
		{
			name: "unknown outcome", method: "POST", path: "/v1/admin/statements", operator: "root", body: change,
			result: effect.StatementResult{Outcome: effect.ChangeUnknown, Change: "c", Failure: model.Failf(model.CodeStoreUnavailable, "slow")}, status: 504, outcome: "unknown",
		},
		{name: "dump", method: "GET", path: "/v1/admin/state", operator: "root", status: 200},
		{name: "dump while starting", method: "GET", path: "/v1/admin/state", operator: "starting", status: 200},
		{name: "dump for an operator of one user", method: "GET", path: "/v1/admin/state", operator: "anna", status: 403, outcome: "not_run"},
		{name: "dump without operator", method: "GET", path: "/v1/admin/state", status: 401, outcome: "not_run"},
		{name: "health", method: "GET", path: "/healthz", status: 200},
		{name: "ready", method: "GET", path: "/readyz", status: 200},
		{name: "metrics", method: "GET", path: "/metrics", status: 200},
	} {
		a := &fakeAdministration{result: c.result, err: c.err}
		recorder := call(a, c.method, c.path, c.operator, c.body)
		var reply struct {
			Outcome string `json:"outcome"`
		}
		if c.outcome != "" {
			if err := json.Unmarshal(recorder.Body.Bytes(), &reply); err != nil {
				t.Errorf("%s: %v", c.name, err)
			}
		}
		if isRefused := recorder.Code == http.StatusUnauthorized; isRefused && len(a.refused) != 1 {
			t.Errorf("%s: refusals %v, want one", c.name, a.refused)
		}
		if recorder.Code != c.status || reply.Outcome != c.outcome {
			t.Errorf("%s: status %d, outcome %q; want %d, %q", c.name, recorder.Code, reply.Outcome, c.status, c.outcome)
		}
	}
}

func TestAdminRateLimit(t *testing.T) {
	e := NewEcho("1K")
	RegisterAdmin(e, AdminOptions{Administration: &fakeAdministration{}, Verifier: fakeVerifier{}, Gatherer: prometheus.NewRegistry(), CountRefusal: func(model.Code) {}})
	limited := 0
	for range 4 * adminBurst {
		recorder := httptest.NewRecorder()
		e.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/readyz", nil))
		if recorder.Code == http.StatusTooManyRequests && recorder.Header().Get("Retry-After") != "" {
			limited++
		}
	}
	if limited == 0 {
		t.Error("no call was refused with status 429")
	}
}
