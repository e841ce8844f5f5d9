package api_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/api"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// fakeRequests records the events for the reducer and returns a fixed answer.
type fakeRequests struct {
	searches []event.Search
	orders   []event.Order
	answer   model.Answer
}

func (f *fakeRequests) Entry(context.Context, string) (effect.ReplyEntry, error) {
	return effect.ReplyEntry{Failure: model.Failf(model.CodeUnknownService, "no such service")}, nil
}

func (f *fakeRequests) Search(_ context.Context, e event.Search) (model.Answer, error) {
	f.searches = append(f.searches, e)
	return f.answer, nil
}

func (f *fakeRequests) Order(_ context.Context, e event.Order) (model.Answer, error) {
	f.orders = append(f.orders, e)
	return f.answer, nil
}

// call is an HTTP request and its expected response.
type call struct {
	name   string
	method string
	path   string
	body   string
	header map[string]string
	status int
	code   model.Code
}

// TestBadInput checks that a malformed request is refused with a typed error and the
// outcome "not run", and that it does not reach the reducer.
func TestBadInput(t *testing.T) {
	const order = "/v1/services/print-room/orders"
	const good = `{"services":["counter-1"],"query":{}}`
	long := strings.Repeat("9", 300)
	calls := []call{
		{name: "truncated JSON", path: "/v1/search", body: `{"services":`, status: 400, code: model.CodeBadRequest},
		{name: "wrong type", path: "/v1/search", body: `{"services":1,"query":{}}`, status: 400, code: model.CodeBadRequest},
		{name: "unknown field", path: "/v1/search", body: `{"services":["a"],"query":{},"x":1}`, status: 400, code: model.CodeBadRequest},
		{name: "two values", path: "/v1/search", body: good + good, status: 400, code: model.CodeBadRequest},
		{name: "no query", path: "/v1/search", body: `{"services":["a"]}`, status: 400, code: model.CodeBadRequest},
		{name: "no services", path: "/v1/search", body: `{"services":[],"query":{}}`, status: 400, code: model.CodeBadRequest},
		{name: "empty body", path: "/v1/search", status: 400, code: model.CodeBadRequest},
		{name: "long body", path: "/v1/search", body: `{"services":["` + strings.Repeat("a", 5000) + `"]}`, status: 413, code: model.CodeTooLarge},
		{name: "long order", path: order, body: `"` + strings.Repeat("a", 5000) + `"`, status: 413, code: model.CodeTooLarge},
		{name: "order that is not JSON", path: order, body: "paper", status: 400, code: model.CodeBadRequest},
		{name: "id without sequence", path: order, body: "{}", header: map[string]string{"Request-Id": "host-1-a-b"}, status: 400, code: model.CodeBadRequest},
		{name: "id with sequence zero", path: order, body: "{}", header: map[string]string{"Request-Id": "h-a-b.0"}, status: 400, code: model.CodeBadRequest},
		{name: "long id", path: order, body: "{}", header: map[string]string{"Request-Id": "h-" + long + ".1"}, status: 400, code: model.CodeBadRequest},
		{name: "timeout that is not a number", path: "/v1/search", body: good, header: map[string]string{"Request-Timeout-Ms": "soon"}, status: 400, code: model.CodeBadRequest},
		{name: "negative timeout", path: "/v1/search", body: good, header: map[string]string{"Request-Timeout-Ms": "-1"}, status: 400, code: model.CodeBadRequest},
		{name: "timeout out of range", path: "/v1/search", body: good, header: map[string]string{"Request-Timeout-Ms": long}, status: 400, code: model.CodeBadRequest},
		{name: "bad acknowledgement", path: order, body: "{}", header: map[string]string{"Request-Acknowledged": "-3"}, status: 400, code: model.CodeBadRequest},
		{name: "unknown path", path: "/v2/search", body: good, status: 404, code: model.CodeBadRequest},
		{name: "wrong method", method: http.MethodGet, path: "/v1/search", status: 405, code: model.CodeBadRequest},
		{name: "unknown service", method: http.MethodGet, path: "/v1/entry?service=x", status: 404, code: model.CodeUnknownService},
	}
	for _, c := range calls {
		t.Run(c.name, func(t *testing.T) {
			requests := &fakeRequests{}
			response := c.do(requests)
			var body struct {
				Outcome model.Outcome  `json:"outcome"`
				Error   *model.Failure `json:"error"`
			}
			if err := json.Unmarshal(response.Body.Bytes(), &body); err != nil {
				t.Fatalf("body %q: %v", response.Body, err)
			}
			if response.Code != c.status || body.Error == nil || body.Error.Code != c.code {
				t.Errorf("status %d, error %+v; want %d, %s", response.Code, body.Error, c.status, c.code)
			}
			if body.Outcome != model.NotRun {
				t.Errorf("outcome %q, want %q", body.Outcome, model.NotRun)
			}
			if len(requests.searches)+len(requests.orders) != 0 {
				t.Error("the request reached the reducer")
			}
		})
	}
}

// do sends the call to a callers' API whose bodies are limited to 4 KiB.
func (c call) do(requests api.Requests) *httptest.ResponseRecorder {
	e := api.NewEcho("4K")
	api.RegisterCaller(e, requests)
	method := c.method
	if method == "" {
		method = http.MethodPost
	}
	request := httptest.NewRequest(method, c.path, strings.NewReader(c.body))
	for name, value := range c.header {
		request.Header.Set(name, value)
	}
	response := httptest.NewRecorder()
	e.ServeHTTP(response, request)
	return response
}

// TestAnswerStatus checks the status and the Retry-After of each outcome.
func TestAnswerStatus(t *testing.T) {
	answers := []struct {
		answer     model.Answer
		status     int
		retryAfter string
	}{
		{model.Answer{Outcome: model.Answered, Coverage: &model.Coverage{Searched: 1, Total: 2, Missing: []string{"a/b"}}}, 200, ""},
		{model.Answer{Outcome: model.Unknown, Failure: model.Failf(model.CodeOutcomeLost, "lost")}, 504, ""},
		{model.Answer{Outcome: model.NotRun, Failure: model.Failf(model.CodeOverloaded, "full"), RetryAfter: 1500 * time.Millisecond}, 503, "2"},
		{model.Answer{Outcome: model.NotRun, Failure: model.Failf(model.CodeRateLimited, "limit")}, 429, "1"},
		{model.Answer{Outcome: model.NotRun, Failure: model.Failf(model.CodeUnknownService, "none")}, 404, "1"},
	}
	for _, a := range answers {
		c := call{path: "/v1/search", body: `{"services":["a"],"query":{}}`}
		response := c.do(&fakeRequests{answer: a.answer})
		if response.Code != a.status || response.Header().Get("Retry-After") != a.retryAfter {
			t.Errorf("%s: status %d, Retry-After %q; want %d, %q", a.answer.Outcome,
				response.Code, response.Header().Get("Retry-After"), a.status, a.retryAfter)
		}
	}
}
