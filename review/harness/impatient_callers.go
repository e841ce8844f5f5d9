package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Traffic and times of impatientCallers.
const (
	crashingPath = "/home/666"
	// crashAfter is how long a crashing request runs before its upstream ends, and leaveAfter how
	// long its caller waits.
	crashAfter = 100 * time.Millisecond
	leaveAfter = 60 * time.Millisecond
	// crashPause is the time between two crashing requests, and upstreamRestart how long an
	// upstream that crashed is down.
	crashPause      = 180 * time.Millisecond
	upstreamRestart = 2 * time.Second
	crashTime       = 8 * time.Second
	// patientCallers stay for their answers to other requests: one in five callers leaves.
	patientCallers = 4
	// stabilityWindow is the time after the third crash from which retries count, and
	// allowedRetries the number that may reach upstreams.
	stabilityWindow = 4 * time.Second
	allowedRetries  = 3
)

// crashLog records when the crashing request began to run.
type crashLog struct {
	mu   sync.Mutex
	runs []time.Time
}

// add records one run.
func (l *crashLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs = append(l.runs, time.Now())
}

// countAfter returns the number of runs that began later than the stability window after the third
// crash.
func (l *crashLog) countAfter() (total, late int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.runs) < 3 {
		return len(l.runs), 0
	}
	from := l.runs[2].Add(crashAfter + stabilityWindow)
	for _, at := range l.runs {
		if at.After(from) {
			late++
		}
	}
	return len(l.runs), late
}

// impatientCallers repeats a request that crashes each upstream that runs it. Its caller leaves
// before the upstream crashes; without the disruption the caller waits.
func impatientCallers(f *fleet, trouble bool) (verdict, error) {
	var crashes crashLog
	for i := range 15 {
		u := &upstream{service: "home-profile", zone: []string{"fukuoka", "kumamoto", "kagoshima"}[i%3], slots: 3, work: 120 * time.Millisecond, rec: f.rec}
		u.crashes = func(path string) bool {
			if path != crashingPath {
				return false
			}
			crashes.add()
			time.AfterFunc(crashAfter, func() { f.restart(u) })
			return true
		}
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
	time.Sleep(stabilityWindow)
	end := time.Now().Add(crashTime)
	var patient sync.WaitGroup
	for i := range patientCallers {
		patient.Go(func() {
			for time.Now().Before(end) {
				a := sendOnce(f.nodes[i%len(f.nodes)], fmt.Sprintf("/home/%d", i))
				f.rec.printf("answered %s: status %d, error %v", a.id, a.status, a.err)
				time.Sleep(crashPause)
			}
		})
	}
	for k := 0; time.Now().Before(end); k++ {
		n := f.nodes[k%len(f.nodes)]
		if trouble {
			f.leave(n)
		} else {
			a := sendOnce(n, crashingPath)
			f.rec.printf("answered %s by %s: status %d, error %v", a.id, n.name, a.status, a.err)
		}
		time.Sleep(crashPause - leaveAfter)
	}
	patient.Wait()
	total, late := crashes.countAfter()
	text := fmt.Sprintf("the crashing request reached upstreams %d times, %d of them later than %v after the third crash", total, late, stabilityWindow)
	return verdict{broken: late > allowedRetries, reason: text}, nil
}

// leave sends the crashing request and closes the connection before the upstream crashes.
func (f *fleet) leave(n *node) {
	c, err := dialCaller(n)
	if err != nil {
		f.rec.printf("%v", err)
		return
	}
	defer c.close()
	id := newID()
	f.rec.printf("sent %s to %s, its caller leaves after %v", id, n.name, leaveAfter)
	if err := c.write(http.MethodGet, crashingPath, id, popularBudget, nil); err != nil {
		f.rec.printf("%v", err)
		return
	}
	time.Sleep(leaveAfter)
}

// restart crashes an upstream and starts it again after a while, as a new incarnation.
func (f *fleet) restart(u *upstream) {
	key := u.key()
	f.rec.printf("upstream %s crashes", u.instance)
	u.crash()
	time.Sleep(upstreamRestart)
	if err := u.start(); err != nil {
		f.rec.printf("%v", err)
		return
	}
	f.store.Put(u.key(), u.entry())
	time.Sleep(3*heartbeatInterval - upstreamRestart)
	f.store.Remove(key)
}

// resetOnClose makes the end of a connection a reset.
func resetOnClose(connection net.Conn) {
	if tcp, ok := connection.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
}
