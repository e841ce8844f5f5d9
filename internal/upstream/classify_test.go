package upstream

import (
	"net/http"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
)

// TestOrderBelievedNotRunByStatus guards against an order that counts as not run, and may be sent
// to another upstream, because of the status of a failure. Only NotRunHeader proves it.
func TestOrderBelievedNotRunByStatus(t *testing.T) {
	for status := 200; status < 600; status++ {
		for _, notRun := range []bool{false, true} {
			response := &http.Response{StatusCode: status, Header: http.Header{}}
			if notRun {
				response.Header.Set(NotRunHeader, "true")
			}
			want := event.UpstreamFailed
			switch {
			case status == http.StatusOK:
				want = event.UpstreamAnswered
			case status == StatusCancelled:
				want = event.UpstreamCancelled
			case notRun && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable):
				want = event.UpstreamShed
			}
			if got := classify(message.KindOrder, response); got != want {
				t.Errorf("status %d, not run %t: class %d, want %d", status, notRun, got, want)
			}
		}
	}
	gone := &http.Response{StatusCode: http.StatusGone}
	if got := classify(message.KindSearch, gone); got != event.UpstreamVersionGone {
		t.Errorf("search of a version that is gone: class %d", got)
	}
}
