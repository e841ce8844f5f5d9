package guard

import (
	"fmt"
	"log"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/hawthorntack/hawthorntack/internal/metrics"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

const component = "guard"

// Reasons for which clients are refused.
const (
	refusedConnection  = "connection_room"
	refusedHead        = "head_room"
	refusedRequest     = "request_room"
	refusedBody        = "body_room"
	refusedAnswer      = "answer_room"
	refusedHeadSize    = "head_size"
	refusedBodySize    = "body_size"
	refusedBodyTimeout = "body_timeout"
	refusedBrokenBody  = "body_broken"
)

// reportInterval is the shortest time between two log lines of one kind.
const reportInterval = time.Second

// reports counts refused and evicted clients. At most one log line of each kind is written in a
// reportInterval; it states how many there were since the last one.
type reports struct {
	log     *logrus.Entry
	metrics *metrics.Clients

	mu sync.Mutex
	// counts holds a count for each kind of line.
	counts map[string]*reportCount
}

// reportCount counts what the next log line of a kind reports.
type reportCount struct {
	unreported int
	lastLine   time.Time
}

// newReports registers the metrics.
func newReports(log *logrus.Logger, registry prometheus.Registerer, usage func() []quota.Usage) *reports {
	return &reports{
		log:     log.WithField("component", component),
		metrics: metrics.NewClients(registry, usage),
		counts:  make(map[string]*reportCount),
	}
}

// refused reports a refused connection or request.
func (r *reports) refused(at quota.Listener, reason string) {
	r.metrics.Refused(at, reason)
	r.write("clients refused", logrus.Fields{"listener": at.String(), "reason": reason})
}

// evicted reports the connection of a slow client that is closed for want of room.
func (r *reports) evicted(at quota.Listener, phase quota.Phase) {
	r.metrics.Evicted(at, phase)
	r.write("slow clients evicted", logrus.Fields{"listener": at.String(), "phase": phase.String()})
}

// write writes a log line of a kind, which its text and fields tell, unless the last one is too recent.
func (r *reports) write(text string, fields logrus.Fields) {
	if number := r.count(fmt.Sprint(text, fields), time.Now()); number > 0 {
		r.log.WithFields(fields).WithField("count", number).Warn(text)
	}
}

// count counts an event of a kind. It returns the number of events that a line is to report, or zero if
// no line is due.
func (r *reports) count(kind string, now time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.counts[kind]
	if c == nil {
		c = &reportCount{}
		r.counts[kind] = c
	}
	c.unreported++
	if now.Sub(c.lastLine) < reportInterval {
		return 0
	}
	number := c.unreported
	c.unreported, c.lastLine = 0, now
	return number
}

// serverLog returns the log of the HTTP servers. Their lines become lines of the process.
func (r *reports) serverLog() *log.Logger { return log.New(serverLogWriter{r}, "", 0) }

// serverLogWriter writes the lines of an HTTP server.
type serverLogWriter struct{ reports *reports }

// maxServerLineBytes bounds a line, which may quote what a client has sent.
const maxServerLineBytes = 400

// Write implements io.Writer.
func (w serverLogWriter) Write(line []byte) (int, error) {
	const text = "message of an HTTP server"
	if number := w.reports.count(text, time.Now()); number > 0 {
		message := string(line[:min(len(line), maxServerLineBytes)])
		w.reports.log.WithFields(logrus.Fields{"message": message, "count": number}).Warn(text)
	}
	return len(line), nil
}
