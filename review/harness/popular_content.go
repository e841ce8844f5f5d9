package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Traffic and times of popularContent.
const (
	popularCallers  = 24
	popularPause    = 100 * time.Millisecond
	popularBudget   = 3 * time.Second
	popularContents = 5
	// calmBefore is the time before the crash of the upstreams, and crashToFault the time from that
	// to the final fault.
	calmBefore   = 12 * time.Second
	crashToFault = 2 * time.Second
	// crashGap is the time between the crashes of two upstreams.
	crashGap = 20 * time.Millisecond
	// upstreamsDown is how long the upstreams are down.
	upstreamsDown = 4 * time.Second
	// nodesDown is how long the nodes are down in the final fault.
	nodesDown = 1500 * time.Millisecond
	// startMargin covers the start of the processes: the nodes count as back after it.
	startMargin = time.Second
	// measureTime is how long requests are counted after the recovery time.
	measureTime = 10 * time.Second
	// neededShare is the share of requests that must be served again.
	neededShare = 0.25
)

// timedAnswer is an answer with the time at which its request was sent.
type timedAnswer struct {
	answer
	sentAt time.Time
}

// popularContent crashes all upstreams of a service while callers ask for a few popular contents,
// restarts them, and then kills all nodes.
func popularContent(f *fleet, trouble bool) (verdict, error) {
	for i := range 8 {
		u := &upstream{service: "home-profile", zone: []string{"fukuoka", "kumamoto", "kagoshima"}[i%3], slots: 3, work: 120 * time.Millisecond, rec: f.rec}
		if err := f.addUpstream(u); err != nil {
			return verdict{}, err
		}
	}
	route := routeConfig{Name: "r-home", Host: host, Prefix: "/home/", Service: "home-profile", Type: "idempotent", MaxAttempts: 2, TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 2}
	if err := f.configure(7, route); err != nil {
		return verdict{}, err
	}
	if err := f.startNodes("fukuoka", "fukuoka", "kumamoto", "kagoshima"); err != nil {
		return verdict{}, err
	}
	started := time.Now()
	faultAt := started.Add(calmBefore + crashToFault)
	backAt := faultAt.Add(nodesDown + startMargin)
	measureFrom := backAt.Add(recoverTime)
	endAt := measureFrom.Add(measureTime)
	var mu sync.Mutex
	var answers []timedAnswer
	var callers sync.WaitGroup
	for i := range popularCallers {
		callers.Go(func() {
			for k := 0; time.Now().Before(endAt); k++ {
				n := f.nodes[(i+k)%len(f.nodes)]
				a := timedAnswer{sentAt: time.Now()}
				a.answer = sendOnce(n, fmt.Sprintf("/home/%d", (i+k)%popularContents))
				f.rec.printf("answered %s by %s: status %d %q, error %v", a.id, n.name, a.status, a.body, a.err)
				mu.Lock()
				answers = append(answers, a)
				mu.Unlock()
				time.Sleep(popularPause)
			}
		})
	}
	if trouble {
		time.Sleep(time.Until(started.Add(calmBefore)))
		crashed := make(chan error, 1)
		go func() { crashed <- f.crashUpstreams(upstreamsDown) }()
		time.Sleep(time.Until(faultAt))
		if err := errors.Join(f.killNodes(route), <-crashed); err != nil {
			return verdict{}, err
		}
	}
	callers.Wait()
	before := servedShare(answers, started, faultAt)
	after := servedShare(answers, measureFrom, endAt)
	text := fmt.Sprintf("%.3f of the requests were served before the faults, %.3f later than %v after the nodes were back", before, after, recoverTime)
	return verdict{broken: before >= neededShare && after < neededShare, reason: text}, nil
}

// sendOnce sends one request over a new connection.
func sendOnce(n *node, path string) answer { return sendOnceAs(n, http.MethodGet, path, nil) }

// sendOnceAs is like sendOnce, with a method and a body.
func sendOnceAs(n *node, method, path string, body []byte) answer {
	id := newID()
	c, err := dialCaller(n)
	if err != nil {
		return answer{id: id, err: err}
	}
	defer c.close()
	return c.send(method, path, id, popularBudget, body)
}

// servedShare returns the share of the requests sent in a time that got a complete success.
func servedShare(answers []timedAnswer, from, to time.Time) float64 {
	sent, served := 0, 0
	for _, a := range answers {
		if a.sentAt.Before(from) || !a.sentAt.Before(to) {
			continue
		}
		sent++
		if a.status == http.StatusOK {
			served++
		}
	}
	return float64(served) / float64(max(1, sent))
}

// crashUpstreams ends all upstreams one shortly after the other, and starts them again after a while. Their
// entries expire after three heartbeats.
func (f *fleet) crashUpstreams(down time.Duration) error {
	var keys []string
	for _, u := range f.upstreams {
		keys = append(keys, u.key())
	}
	f.rec.printf("all %d upstreams crash", len(f.upstreams))
	for _, u := range f.upstreams {
		u.crash()
		time.Sleep(crashGap)
	}
	time.Sleep(3 * heartbeatInterval)
	for _, key := range keys {
		f.store.Remove(key)
	}
	time.Sleep(down - 3*heartbeatInterval)
	for _, u := range f.upstreams {
		if err := u.start(); err != nil {
			return err
		}
		f.store.Put(u.key(), u.entry())
	}
	f.rec.printf("all upstreams are back")
	return nil
}

// killNodes kills all nodes right after a configuration was acknowledged, and starts them again.
func (f *fleet) killNodes(routes ...routeConfig) error {
	if err := f.configure(9, routes...); err != nil {
		return err
	}
	f.rec.printf("all %d nodes are killed", len(f.nodes))
	for _, n := range f.nodes {
		n.signal(syscall.SIGKILL)
	}
	for _, n := range f.nodes {
		<-n.exitedChannel()
	}
	time.Sleep(nodesDown)
	for _, n := range f.nodes {
		if err := n.start(); err != nil {
			return err
		}
	}
	f.rec.printf("all nodes are started again")
	return nil
}
