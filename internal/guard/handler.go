package guard

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// Handler returns a handler that takes room for each request and for its answer. A request for which
// there is no room is refused with status 503.
func (g *Guard) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		if c == nil {
			next.ServeHTTP(w, r)
			return
		}
		if err := c.beginRequest(r); err != nil {
			g.reports.refused(c.at, refusedRequest)
			g.refuse(w, err)
			return
		}
		next.ServeHTTP(&answerWriter{ResponseWriter: w, connection: c}, r)
	})
}

// refuse answers a request that is refused for want of room.
func (g *Guard) refuse(w http.ResponseWriter, reason error) {
	header := w.Header()
	if noRoom, isNoRoom := reason.(*NoRoomError); isNoRoom && noRoom.RetryAfter > 0 {
		header.Set("Retry-After", g.formatRetryAfter(noRoom.RetryAfter))
	}
	header.Set("Connection", "close")
	header.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(http.StatusServiceUnavailable)
	_, _ = io.WriteString(w, reason.Error()+"\n")
}

// WholeSeconds formats a time in whole seconds, rounded up.
func WholeSeconds(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

// bufferedAnswerBytes is the size up to which an answer needs no room besides that of its request.
const bufferedAnswerBytes = 4 << 10

// answerWriter takes room for an answer while it is written.
type answerWriter struct {
	http.ResponseWriter
	connection *Connection
	started    bool
}

// Unwrap returns the writer beneath, for http.ResponseController.
func (w *answerWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// start begins the answer. If the body of the request has not been read, the connection is closed
// after the answer, because net/http would read the rest of the body first.
func (w *answerWriter) start() {
	if w.started {
		return
	}
	w.started = true
	if w.connection.bodyUnread {
		w.Header().Set("Connection", "close")
	}
	w.connection.enter(quota.Answer)
}

// WriteHeader implements http.ResponseWriter.
func (w *answerWriter) WriteHeader(status int) {
	w.start()
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter. If there is no room for the answer, it ends the connection.
func (w *answerWriter) Write(p []byte) (int, error) {
	w.start()
	c, size := w.connection, int64(len(p))
	c.unsent.Add(size)
	if size <= bufferedAnswerBytes {
		return w.ResponseWriter.Write(p)
	}
	held := size + min(size, sendQueueBytes)
	if err := c.take(held); err != nil {
		c.guard.reports.refused(c.at, refusedAnswer)
		panic(http.ErrAbortHandler)
	}
	defer c.give(held)
	return w.ResponseWriter.Write(p)
}
