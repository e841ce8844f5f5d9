package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Values of hugeLimit.
const (
	// hugeLimitValue is the largest integer of 64 bits.
	hugeLimitValue = "9223372036854775807"
	hugeBefore     = 5 * time.Second
	hugeAfter      = 15 * time.Second
	hugePause      = 50 * time.Millisecond
	hugeCallers    = 8
	// restartDelay is the time from the end of a process to its restart by the platform.
	restartDelay = 500 * time.Millisecond
	// The rule counts hosts whose process has ended by itself endsPerHost times.
	endsPerHost = 3
	hostsToFail = 2
)

// hugeLimit lets one of three upstreams name a very large number in the header Server-Limit of its
// replies. The platform starts each process again that ends.
func hugeLimit(f *fleet, trouble bool) (verdict, error) {
	var upstreams []*upstream
	for _, zone := range []string{"fukuoka", "kumamoto", "kagoshima"} {
		u := &upstream{service: "home-profile", zone: zone, slots: 3, work: 40 * time.Millisecond, rec: f.rec}
		if err := f.addUpstream(u); err != nil {
			return verdict{}, err
		}
		upstreams = append(upstreams, u)
	}
	route := routeConfig{Name: "r-home", Host: host, Prefix: "/home/", Service: "home-profile", Type: "idempotent", MaxAttempts: 2, TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 2}
	if err := f.configure(7, route); err != nil {
		return verdict{}, err
	}
	if err := f.startNodes("fukuoka", "fukuoka", "kumamoto", "kagoshima"); err != nil {
		return verdict{}, err
	}
	end := time.Now().Add(hugeBefore + hugeAfter)
	ends := make([]int, len(f.nodes))
	var running sync.WaitGroup
	for i, n := range f.nodes {
		running.Go(func() { ends[i] = f.superviseUntil(n, end) })
	}
	for i := range hugeCallers {
		running.Go(func() {
			for time.Now().Before(end) {
				n := f.nodes[i%len(f.nodes)]
				a := sendOnce(n, fmt.Sprintf("/home/%d", i))
				f.rec.printf("answered %s by %s: status %d, error %v", a.id, n.name, a.status, a.err)
				if a.status != http.StatusOK {
					time.Sleep(hugePause)
				}
				time.Sleep(hugePause)
			}
		})
	}
	time.Sleep(hugeBefore)
	if trouble {
		f.rec.printf("an upstream names the limit %s from now on", hugeLimitValue)
		upstreams[0].setHeader("Server-Limit", hugeLimitValue)
	}
	running.Wait()
	hosts := 0
	for _, n := range ends {
		if n >= endsPerHost {
			hosts++
		}
	}
	return verdict{broken: hosts >= hostsToFail, reason: fmt.Sprintf("processes ended by themselves %v times on the %d hosts", ends, len(ends))}, nil
}

// superviseUntil starts a process again whenever it has ended, and returns how often it has.
func (f *fleet) superviseUntil(n *node, end time.Time) int {
	ends := 0
	for {
		select {
		case <-n.exitedChannel():
			ends++
			f.rec.printf("the process of %s has ended by itself", n.name)
			time.Sleep(restartDelay)
			if err := n.start(); err != nil {
				f.rec.printf("%v", err)
				return ends
			}
		case <-time.After(time.Until(end)):
			return ends
		}
	}
}
