package runtime

import (
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/effect"
)

// maxLogValueBytes bounds a value in a log line. Identifiers of requests are as long as callers make
// them, and many lines may wait to be written.
const maxLogValueBytes = 256

// shorten returns a value within maxLogValueBytes, marked if it is cut.
func shorten(value string) string {
	if len(value) <= maxLogValueBytes {
		return value
	}
	return value[:maxLogValueBytes] + "..."
}

// writeLog writes a log line that the reducer emitted.
func writeLog(log *logrus.Logger, e effect.Log) {
	fields := make(logrus.Fields, len(e.Fields)+1)
	fields["component"] = e.Component
	for _, f := range e.Fields {
		fields[f.Name] = shorten(f.Value)
	}
	entry := log.WithFields(fields)
	switch e.Severity {
	case effect.Error:
		entry.Error(e.Message)
	case effect.Warning:
		entry.Warn(e.Message)
	default:
		entry.Info(e.Message)
	}
}
