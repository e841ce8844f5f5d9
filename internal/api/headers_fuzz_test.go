package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
)

// FuzzRequestHeaders checks that no header of a caller yields a timeout or an
// identifier out of bounds.
func FuzzRequestHeaders(f *testing.F) {
	f.Add("host-1-1-1.1", "100", "0")
	f.Add("", "", "")
	f.Add("x", "-1", "1e9")
	f.Add("h-1-1.1", "600001", "18446744073709551615")
	f.Fuzz(func(t *testing.T, id, timeout, acknowledged string) {
		request := httptest.NewRequest(http.MethodPost, "/", http.NoBody)
		request.Header[RequestIDHeader] = []string{id}
		request.Header[TimeoutHeader] = []string{timeout}
		request.Header[AcknowledgedHeader] = []string{acknowledged}
		c := echo.New().NewContext(request, httptest.NewRecorder())
		parsed, limit, err := requestHeaders(c)
		if err != nil {
			return
		}
		if limit < 0 || limit > maxTimeout {
			t.Fatalf("timeout %q was read as %v", timeout, limit)
		}
		if id != "" && (parsed.IsZero() || parsed.Sequence == 0) {
			t.Fatalf("identifier %q was read as %v", id, parsed)
		}
		if _, err := acknowledgedHeader(c); err == nil && acknowledged != "" && acknowledged[0] == '-' {
			t.Fatalf("acknowledged %q was accepted", acknowledged)
		}
	})
}
