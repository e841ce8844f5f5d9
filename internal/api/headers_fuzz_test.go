package api

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/labstack/echo/v4"
)

// FuzzRequestHeaders checks that no request headers are parsed as a timeout out of
// range, an identifier without a sequence number or a negative acknowledgement.
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
		parsed, timeLimit, err := parseRequestHeaders(c)
		if err != nil {
			return
		}
		if timeLimit < 0 || timeLimit > maxTimeout {
			t.Fatalf("timeout %q was parsed as %v", timeout, timeLimit)
		}
		if id != "" && (parsed.IsZero() || parsed.Sequence == 0) {
			t.Fatalf("identifier %q was parsed as %v", id, parsed)
		}
		if _, err := parseAcknowledged(c); err == nil && acknowledged != "" && acknowledged[0] == '-' {
			t.Fatalf("acknowledged %q was accepted", acknowledged)
		}
	})
}
