package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// refusalOrders is the number of cards that are ordered, and refusalInterval the time between two.
	refusalOrders   = 400
	refusalInterval = 40 * time.Millisecond
	// failedOfFive is the number of requests in five that the backend in trouble fails.
	failedOfFive = 2
)

// falseRefusal has one backend fail part of the orders after it has run them, with a status of its
// own, 503, in a signed answer without Not-Executed. It counts the orders that are answered with a
// status which promises that they have not run.
func falseRefusal(d *deployment, trouble bool) (int, error) {
	backends, err := d.addPress()
	if err != nil {
		return 0, err
	}
	if trouble {
		backends[0].answer = failSome()
	}
	d.writeConfig(1, orderRoute())
	n, err := d.startNode(zoneName(0))
	if err != nil {
		return 0, err
	}
	time.Sleep(settleTime)
	var orders sync.WaitGroup
	var broken atomic.Int64
	for i := range refusalOrders {
		orders.Go(func() {
			card := fmt.Sprintf("card %d", i)
			id := newID()
			a := d.order(n, id, card)
			if !promisesNotRun(a.status) {
				return
			}
			if times := runsOf(backends, id); times > 0 {
				broken.Add(1)
				d.record.add("broken", "rule", "REFUSED", "id", id, "status", a.status, "runs", times)
			}
			// A requester sends the order again after such a promise.
			d.order(n, newID(), card)
		})
		time.Sleep(refusalInterval)
	}
	orders.Wait()
	return int(broken.Load()), nil
}

// failSome returns an answer function that fails failedOfFive requests in five after their run.
func failSome() func(*backend, *exchange) bool {
	var mu sync.Mutex
	count := 0
	return func(b *backend, x *exchange) bool {
		mu.Lock()
		count++
		fails := count%5 < failedOfFive
		mu.Unlock()
		if !fails {
			return b.answerUsually(x)
		}
		return x.write("HTTP/1.1 503 Service Unavailable\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nInstance-Load: %s\r\nContent-Length: 0\r\n\r\n",
			x.id, b.signature(x.id), b.load())
	}
}

// promisesNotRun reports whether a status promises that a request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// runsOf returns how often backends ran a request.
func runsOf(backends []*backend, id string) int {
	total := 0
	for _, b := range backends {
		total += b.count(id)
	}
	return total
}
