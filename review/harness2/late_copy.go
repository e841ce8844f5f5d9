package main

import (
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// lateCopy is no case: it goes beyond the limits of the pages. It looks for orders that run twice when
// a copy of the last answer arrives on a connection at the very moment at which the node gives it the
// next order.
const (
	lateCopyTime    = 60 * time.Second
	lateCopyCallers = 60
	lateCopySlots   = 40
	// maxCopyDelay bounds the time from an answer to its copy.
	maxCopyDelay = 150 * time.Microsecond
)

// lateCopy has the backends send each answer twice, and counts the orders that run twice or that are
// answered 503 although they have run.
func lateCopy(d *deployment, trouble bool) (int, error) {
	var backends []*backend
	for range 3 {
		b := &backend{service: orderService, instance: "i-copy-" + newID(), zone: zoneName(0), slots: lateCopySlots}
		if trouble {
			b.answer = answerTwice
		}
		if err := d.addBackend(b); err != nil {
			return 0, err
		}
		backends = append(backends, b)
	}
	d.writeConfig(1, orderRoute())
	n, err := d.startNode(zoneName(0))
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	var sent, broken atomic.Int64
	var callers sync.WaitGroup
	end := time.Now().Add(lateCopyTime)
	for range lateCopyCallers {
		callers.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				a := ask(n.front, head(http.MethodPost, orderHost, orderPath, id, orderTimeout, "card"), http.MethodPost, 2*orderTimeout, nil)
				sent.Add(1)
				if times := runsOf(backends, id); times > 1 || times > 0 && promisesNotRun(a.status) {
					broken.Add(1)
					d.record.add("broken", "rule", "TWICE or REFUSED", "id", id, "runs", times, "answer", a.text())
				}
			}
		})
	}
	callers.Wait()
	d.record.add("orders sent", "count", sent.Load())
	return int(broken.Load()), nil
}

// answerTwice writes an answer and, a moment later, its copy.
func answerTwice(b *backend, x *exchange) bool {
	if !b.answerUsually(x) {
		return false
	}
	delay := time.Duration(rand.Int64N(int64(maxCopyDelay)))
	go func() {
		// A sleep is not exact enough.
		for start := time.Now(); time.Since(start) < delay; {
		}
		// The node has probably closed the connection.
		_, _ = io.WriteString(x.connection, b.usualAnswer(x.id))
	}()
	return true
}
