package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Shares of the disruption of repeatedRefusal.
const (
	refusedShare  = 0.40
	repeatedShare = 0.03
)

// Traffic of repeatedRefusal.
const (
	orderCallers = 8
	orderPause   = 20 * time.Millisecond
	orderBudget  = 3 * time.Second
	orderTime    = 36 * time.Second
	// The disruption comes several times, troubleTime long, every troublePeriod.
	troubleTime   = 5 * time.Second
	troublePeriod = 6 * time.Second
)

// draw returns a number from 0 to 1 that depends only on its arguments.
func draw(parts ...any) float64 { return float64(digest(fmt.Sprint(parts...))%10000) / 10000 }

// repeatedRefusal sends requests that must not run twice to a service with one upstream left. The
// upstream refuses some although it has free slots, and sends some of its replies a second time.
func repeatedRefusal(f *fleet, trouble bool) (verdict, error) {
	var mu sync.Mutex
	seen := make(map[string]int)
	u := &upstream{service: "inquiry-book", zone: "fukuoka", slots: 3, work: 40 * time.Millisecond, rec: f.rec}
	started := time.Now()
	inTrouble := func() bool { return time.Since(started)%troublePeriod < troubleTime }
	if trouble {
		u.refuses = func(id string) bool {
			mu.Lock()
			defer mu.Unlock()
			seen[id]++
			return inTrouble() && draw("refuse", id, seen[id]) < refusedShare
		}
		u.repeats = func(id string) bool {
			mu.Lock()
			defer mu.Unlock()
			return inTrouble() && draw("repeat", id, seen[id]) < repeatedShare
		}
	}
	if err := f.addUpstream(u); err != nil {
		return verdict{}, err
	}
	route := routeConfig{Name: "r-inquiry", Host: host, Prefix: "/inquiry/", Service: u.service, Type: "non_idempotent", MaxAttempts: 1, TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 1}
	if err := f.configure(7, route); err != nil {
		return verdict{}, err
	}
	if err := f.startNodes("fukuoka", "fukuoka", "kumamoto", "kagoshima"); err != nil {
		return verdict{}, err
	}
	answers := sendOrders(f)
	time.Sleep(orderBudget)
	return judgeOrders(f, u, answers), nil
}

// sendOrders sends orders from several callers, and returns the answers.
func sendOrders(f *fleet) []answer {
	var mu sync.Mutex
	var answers []answer
	var callers sync.WaitGroup
	end := time.Now().Add(orderTime)
	for i := range orderCallers {
		callers.Go(func() {
			n := f.nodes[i%len(f.nodes)]
			var c *caller
			for time.Now().Before(end) {
				time.Sleep(orderPause)
				if c == nil {
					fresh, err := dialCaller(n)
					if err != nil {
						f.rec.printf("%v", err)
						continue
					}
					c = fresh
				}
				id := newID()
				f.rec.printf("sent %s to %s", id, n.name)
				a := c.send(http.MethodPost, "/inquiry/book", id, orderBudget, []byte("room for one"))
				f.rec.printf("answered %s: status %d, error %v", id, a.status, a.err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				if a.err != nil {
					c.close()
					c = nil
				}
			}
			if c != nil {
				c.close()
			}
		})
	}
	callers.Wait()
	return answers
}

// judgeOrders checks that no order ran twice, and that none ran that was answered as not run.
func judgeOrders(f *fleet, u *upstream, answers []answer) verdict {
	twice, refusedAndRun, served := 0, 0, 0
	for _, a := range answers {
		runs := u.runsOf(a.id)
		switch a.status {
		case http.StatusOK:
			served++
		case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
			if runs > 0 {
				refusedAndRun++
				f.rec.printf("REFUSED: %s was answered %d and ran %d times", a.id, a.status, runs)
			}
		}
		if runs > 1 {
			twice++
			f.rec.printf("TWICE: %s ran %d times, answered %d", a.id, runs, a.status)
		}
	}
	text := fmt.Sprintf("%d orders, %d served, %d ran more than once, %d were answered as not run and ran", len(answers), served, twice, refusedAndRun)
	return verdict{broken: twice+refusedAndRun > 0, reason: text}
}
