// Package logging writes log lines without blocking the caller. Lines wait in bounded
// queues for one writing goroutine. Info lines over the rate limit and lines that find
// their queue full are dropped and counted. Lines of other levels have a queue of their
// own, are not limited in rate and are written first.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits and timeouts of the writer.
const (
	// maxQueuedLines bounds the lines in each queue.
	maxQueuedLines = 2048
	// reportInterval is the time between two reports of dropped lines, and the period of
	// the rate limit.
	reportInterval = time.Second
	// closeTimeout bounds the writing of queued lines in Close.
	closeTimeout = 200 * time.Millisecond
)

// infoLevel is the JSON field that marks the lines to which the rate limit applies.
var infoLevel = []byte(`"level":"info"`)

// Writer is an io.Writer that takes one whole log line in JSON with each call. It is safe
// for concurrent use and never blocks.
type Writer struct {
	out              io.Writer
	maxInfoPerSecond int64
	info             chan []byte
	urgent           chan []byte
	// infoLines counts the info lines of the current period of the rate limit, including
	// dropped ones.
	infoLines atomic.Int64
	dropped   atomic.Int64
	stop      chan struct{}
	ended     chan struct{}
}

// NewWriter returns a writer to out that writes at most linesPerSecond lines of level
// info per second.
func NewWriter(out io.Writer, linesPerSecond int) *Writer {
	w := &Writer{
		out:              out,
		maxInfoPerSecond: int64(linesPerSecond),
		info:             make(chan []byte, maxQueuedLines),
		urgent:           make(chan []byte, maxQueuedLines),
		stop:             make(chan struct{}),
		ended:            make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line. It always reports success; dropped lines are counted.
func (w *Writer) Write(line []byte) (int, error) {
	queue := w.urgent
	if bytes.Contains(line, infoLevel) {
		queue = w.info
		if w.infoLines.Add(1) > w.maxInfoPerSecond {
			w.dropped.Add(1)
			return len(line), nil
		}
	}
	select {
	case queue <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were dropped since the last report.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close waits until the queued lines are written, but no longer than closeTimeout.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

// run writes the queued lines, urgent ones first, until the writer is closed.
func (w *Writer) run() {
	defer close(w.ended)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.urgent:
			w.writeLine(line)
			continue
		default:
		}
		select {
		case line := <-w.urgent:
			w.writeLine(line)
		case line := <-w.info:
			w.writeLine(line)
		case <-ticker.C:
			w.reportDropped()
		case <-w.stop:
			w.writeQueued()
			return
		}
	}
}

// writeQueued writes the queued lines and a last report.
func (w *Writer) writeQueued() {
	for {
		select {
		case line := <-w.urgent:
			w.writeLine(line)
		case line := <-w.info:
			w.writeLine(line)
		default:
			w.reportDropped()
			return
		}
	}
}

// reportDropped writes the number of dropped lines, if any, and starts the next period of
// the rate limit.
func (w *Writer) reportDropped() {
	w.infoLines.Store(0)
	if n := w.dropped.Swap(0); n > 0 {
		w.writeLine(fmt.Appendf(nil, `{"component":"logging","level":"warning","msg":"log lines left out","lines":%d,"time":%q}`+"\n",
			n, time.Now().UTC().Format(time.RFC3339Nano)))
	}
}

// writeLine writes one line. Errors are ignored, because there is no other place to
// report them.
func (w *Writer) writeLine(line []byte) { _, _ = w.out.Write(line) }
