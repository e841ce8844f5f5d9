// Package logging writes log lines without ever holding a decision up. Lines wait in
// bounded queues for one writing goroutine; what has no room or comes too often is
// counted and left out, lines of warnings last.
package logging

import (
	"bytes"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// Limits of the volume.
const (
	// queuedLines bounds the lines that wait in each queue.
	queuedLines = 2048
	// reportInterval is the time between two counts of what was left out.
	reportInterval = time.Second
	// closeTimeout bounds the writing of what waits at the end.
	closeTimeout = 200 * time.Millisecond
)

// goodNews marks the lines that may be left out by rate.
var goodNews = []byte(`"level":"info"`)

// Writer is an io.Writer of whole lines. It is safe for concurrent use and never
// blocks.
type Writer struct {
	out    io.Writer
	rate   int64
	plain  chan []byte
	urgent chan []byte
	// written counts the plain lines of the present second.
	written atomic.Int64
	dropped atomic.Int64
	stop    chan struct{}
	ended   chan struct{}
}

// NewWriter returns a writer to out that takes at most the given number of plain
// lines a second.
func NewWriter(out io.Writer, linesPerSecond int) *Writer {
	w := &Writer{
		out:    out,
		rate:   int64(linesPerSecond),
		plain:  make(chan []byte, queuedLines),
		urgent: make(chan []byte, queuedLines),
		stop:   make(chan struct{}),
		ended:  make(chan struct{}),
	}
	go w.run()
	return w
}

// Write queues one line. It always reports success: a lost line is counted.
func (w *Writer) Write(line []byte) (int, error) {
	queue := w.urgent
	if bytes.Contains(line, goodNews) {
		queue = w.plain
		if w.written.Add(1) > w.rate {
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

// Dropped returns how many lines were left out since the last count was written.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what waits, as far as a short time allows.
func (w *Writer) Close() {
	close(w.stop)
	select {
	case <-w.ended:
	case <-time.After(closeTimeout):
	}
}

// run writes the lines, urgent ones first, until the writer is closed.
func (w *Writer) run() {
	defer close(w.ended)
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case line := <-w.urgent:
			w.put(line)
			continue
		default:
		}
		select {
		case line := <-w.urgent:
			w.put(line)
		case line := <-w.plain:
			w.put(line)
		case <-ticker.C:
			w.report()
		case <-w.stop:
			w.drain()
			return
		}
	}
}

// drain writes what waits.
func (w *Writer) drain() {
	for {
		select {
		case line := <-w.urgent:
			w.put(line)
		case line := <-w.plain:
			w.put(line)
		default:
			w.report()
			return
		}
	}
}

// report begins another second and writes how many lines were left out.
func (w *Writer) report() {
	w.written.Store(0)
	if n := w.dropped.Swap(0); n > 0 {
		w.put(fmt.Appendf(nil, `{"component":"logging","level":"warning","msg":"log lines left out","lines":%d,"time":%q}`+"\n",
			n, time.Now().UTC().Format(time.RFC3339Nano)))
	}
}

// put writes one line. An output that fails has nowhere to report it.
func (w *Writer) put(line []byte) { _, _ = w.out.Write(line) }
