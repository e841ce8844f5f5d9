package runtime

import (
	"bytes"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/effect"
)

// TestLogLinesAreShort guards against log lines as long as callers make the identifiers of their
// requests: thousands of them may wait to be written.
func TestLogLinesAreShort(t *testing.T) {
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	log.SetFormatter(&logrus.JSONFormatter{})
	writeLog(log, effect.Log{Component: "relay", Message: "answered", Fields: []effect.Field{
		{Name: "request", Value: strings.Repeat("x", 1<<20)}, {Name: "route", Value: "short"},
	}})
	if got := out.Len(); got > 2*maxLogValueBytes {
		t.Errorf("a line of %d bytes", got)
	}
	if !strings.Contains(out.String(), `"route":"short"`) {
		t.Errorf("a short value is changed: %s", out.String())
	}
}
