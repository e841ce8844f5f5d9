package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/api"
)

// runCtl runs ctl against a server and returns the exit code, the standard output and
// the standard error.
func runCtl(server *httptest.Server, arguments ...string) (code int, output, errorOutput string) {
	var stdout, stderr bytes.Buffer
	all := append([]string{"ctl", "--admin", strings.TrimPrefix(server.URL, "http://")}, arguments...)
	code = run(all, streams{in: strings.NewReader(""), out: &stdout, err: &stderr})
	return code, stdout.String(), stderr.String()
}

// TestLostReplyToChangeIsUnknown checks that a change whose reply is lost is reported as
// unknown with its identifier, while a lost reply to a read or a dry run is a failure.
func TestLostReplyToChangeIsUnknown(t *testing.T) {
	received := make(chan api.StatementBody, 3)
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var body api.StatementBody
		raw, _ := io.ReadAll(r.Body)
		_ = json.Unmarshal(raw, &body)
		received <- body
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	code, _, errorOutput := runCtl(server, "-e", "drop user a")
	sent := <-received
	if code != exitFailed || sent.Change == "" || !strings.Contains(errorOutput, "unknown") || !strings.Contains(errorOutput, "show change "+string(sent.Change)) {
		t.Errorf("change: exit %d, %s", code, errorOutput)
	}
	for _, arguments := range [][]string{{"-e", "show users"}, {"-e", "drop user a", "--dry-run"}} {
		code, _, errorOutput = runCtl(server, arguments...)
		if code != exitFailed || strings.Contains(errorOutput, "unknown") {
			t.Errorf("%v: exit %d, %s", arguments, code, errorOutput)
		}
	}
}

func TestReplyExitCodes(t *testing.T) {
	for _, c := range []struct {
		status int
		body   string
		code   int
		want   string
	}{
		{200, `{"outcome":"accepted","revision":7,"change_id":"c"}`, exitDone, "accepted as revision 7, change c"},
		{200, `{"outcome":"dry_run"}`, exitDone, "no difference"},
		{200, `{"outcome":"shown","tables":[{"columns":["user"],"rows":[["a"]]}]}`, exitDone, "USER\na"},
		{409, `{"outcome":"not_accepted","change_id":"c","error":{"code":"conflict","message":"other"}}`, exitFailed, "not accepted: conflict: other"},
		{504, `{"outcome":"unknown","change_id":"c","error":{"code":"store_unavailable","message":"slow"}}`, exitFailed, "show change c"},
		{401, `{"outcome":"not_run","error":{"code":"unauthenticated","message":"who"}}`, exitFailed, "not accepted: unauthenticated: who"},
		{502, `<html>`, exitFailed, "unknown"},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(c.status)
			_, _ = io.WriteString(w, c.body)
		}))
		code, output, errorOutput := runCtl(server, "-e", "drop user a")
		server.Close()
		if code != c.code || !strings.Contains(output+errorOutput, c.want) {
			t.Errorf("%s: exit %d, %s%s", c.body, code, output, errorOutput)
		}
	}
}

func TestChangeIDsSortByTime(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	earlier, later := newChangeID(now), newChangeID(now.Add(time.Millisecond))
	if earlier >= later || newChangeID(now) == earlier {
		t.Errorf("identifiers %s and %s", earlier, later)
	}
}

func TestIsComplete(t *testing.T) {
	for _, c := range []struct {
		lines []string
		want  bool
	}{
		{[]string{"show users;"}, true},
		{[]string{"show users"}, false},
		{[]string{"show users", ""}, true},
		{[]string{"show users", " ; "}, true},
	} {
		if got := isComplete(c.lines[len(c.lines)-1], c.lines); got != c.want {
			t.Errorf("%q is complete: %t", c.lines, got)
		}
	}
}
