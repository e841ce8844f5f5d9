package runtime

import (
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/effect"
)

// writeLog writes a log line that the reducer emitted.
func writeLog(log *logrus.Logger, e effect.Log) {
	fields := make(logrus.Fields, len(e.Fields)+1)
	fields["component"] = e.Component
	for _, f := range e.Fields {
		fields[f.Name] = f.Value
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
