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

// endedRequests is a reducer that ends before it replies.
type endedRequests struct{ Requests }

var errEnded = errors.New("the node has stopped")

// Order implements Requests.
func (endedRequests) Order(context.Context, event.Order) (model.Answer, error) {
	return model.Answer{}, errEnded
}

// Search implements Requests.
func (endedRequests) Search(context.Context, event.Search) (model.Answer, error) {
	return model.Answer{}, errEnded
}

// TestRequestWithoutReplyIsUnknown checks that a request that reached the reducer
// is not called "not run" when the node ends before it replies.
func TestRequestWithoutReplyIsUnknown(t *testing.T) {
	e := NewEcho("1M")
	RegisterCaller(e, endedRequests{})
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
			t.Errorf("%s: %d %+v", path, recorded.Code, got)
		}
	}
}
