package api

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// stoppedRequests is a reducer that stops before it replies.
type stoppedRequests struct{ Requests }

var errStopped = errors.New("the node has stopped")

// Order implements Requests.
func (stoppedRequests) Order(context.Context, event.Order) (model.Answer, error) {
	return model.Answer{}, errStopped
}

// Search implements Requests.
func (stoppedRequests) Search(context.Context, event.Search) (model.Answer, error) {
	return model.Answer{}, errStopped
}

// TestRequestWithoutReplyIsUnknown checks that the outcome of a request that reached the
// reducer is "unknown", not "not run", if the node stops before it replies.
func TestRequestWithoutReplyIsUnknown(t *testing.T) {
	e := NewEcho("1M")
	RegisterCaller(e, stoppedRequests{})
	bodies := map[string]string{
		"/v1/services/print-room/orders": `"card"`,
		"/v1/search":                     `{"services":["counter-1"],"query":1}`,
	}
	for path, body := range bodies {
		recorded := httptest.NewRecorder()
		e.ServeHTTP(recorded, httptest.NewRequest(http.MethodPost, path, strings.NewReader(body)))
		var got failureBody
		if err := json.Unmarshal(recorded.Body.Bytes(), &got); err != nil {
			t.Fatal(err)
		}
		if recorded.Code != http.StatusGatewayTimeout || got.Outcome != model.Unknown {
			t.Errorf("%s: status %d, body %+v", path, recorded.Code, got)
		}
	}
}
