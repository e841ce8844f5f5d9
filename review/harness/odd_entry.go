package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Traffic and times of oddEntry.
const (
	oddCallers = 8
	oddPause   = 50 * time.Millisecond
	oddBefore  = 6 * time.Second
	oddAfter   = 12 * time.Second
)

// oddEntry lets another writer overwrite the entry of an upstream once. Its entry names another
// service and lacks the field version, so that it names no upstream to use.
func oddEntry(f *fleet, trouble bool) (verdict, error) {
	routes := []routeConfig{
		{Name: "r-home", Host: host, Prefix: "/home/", Service: "home-profile", Type: "idempotent", MaxAttempts: 2, TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 2},
		{Name: "r-inquiry", Host: host, Prefix: "/inquiry/", Service: "inquiry-book", Type: "non_idempotent", MaxAttempts: 1, TimeoutMs: 3000, TargetLatencyMs: 500, Priority: 1},
	}
	for _, r := range routes {
		for _, zone := range []string{"fukuoka", "kumamoto", "kagoshima"} {
			u := &upstream{service: r.Service, zone: zone, slots: 3, work: 40 * time.Millisecond, rec: f.rec}
			if err := f.addUpstream(u); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := f.configure(7, routes...); err != nil {
		return verdict{}, err
	}
	if err := f.startNodes("fukuoka", "fukuoka", "kumamoto", "kagoshima"); err != nil {
		return verdict{}, err
	}
	oddAt := time.Now().Add(oddBefore)
	end := oddAt.Add(oddAfter)
	var mu sync.Mutex
	prefixes := make(map[string]string)
	foreign := 0
	var callers sync.WaitGroup
	for i := range oddCallers {
		callers.Go(func() {
			n := f.nodes[i%len(f.nodes)]
			for time.Now().Before(end) {
				a, prefix, service := sendOddCall(n, i)
				f.rec.printf("sent %s to %s on %s, answered status %d, signature %q, error %v", a.id, n.name, prefix, a.status, a.signature, a.err)
				mu.Lock()
				prefixes[a.id] = prefix
				if a.status == http.StatusOK && a.signature != signature(service, a.id) {
					foreign++
				}
				mu.Unlock()
				time.Sleep(oddPause)
			}
		})
	}
	time.Sleep(time.Until(oddAt))
	if trouble {
		if err := f.writeOddEntry(f.upstreams[len(f.upstreams)-1]); err != nil {
			return verdict{}, err
		}
	}
	callers.Wait()
	return judgeRuns(f, prefixes, foreign), nil
}

// sendOddCall sends a request on one of the two routes, and returns the route's prefix and service.
func sendOddCall(n *node, i int) (a answer, prefix, service string) {
	if i%4 == 0 {
		return sendOnceAs(n, http.MethodPost, "/inquiry/book", []byte("room for one")), "/inquiry/", "inquiry-book"
	}
	return sendOnceAs(n, http.MethodGet, fmt.Sprintf("/home/%d", i), nil), "/home/", "home-profile"
}

// writeOddEntry overwrites the entry of an upstream with one that names the other service and lacks
// a field. The upstream writes its own entry again at its next heartbeat.
func (f *fleet) writeOddEntry(u *upstream) error {
	var entry map[string]any
	if err := json.Unmarshal(u.entry(), &entry); err != nil {
		return fmt.Errorf("odd entry: %w", err)
	}
	entry["service"] = "home-profile"
	delete(entry, "version")
	value, err := json.Marshal(entry)
	if err != nil {
		return fmt.Errorf("odd entry: %w", err)
	}
	f.store.Put(u.key(), value)
	f.rec.printf("another writer overwrites %s of service %s with %s", u.key(), u.service, value)
	return nil
}

// judgeRuns counts the requests that ran at a service to which their route does not lead.
func judgeRuns(f *fleet, prefixes map[string]string, foreign int) verdict {
	wrong := 0
	for _, u := range f.upstreams {
		for id := range u.allRuns() {
			prefix, sent := prefixes[id]
			if sent && strings.HasPrefix(prefix, "/home/") != (u.service == "home-profile") {
				wrong++
				f.rec.printf("ROUTE: %s was sent on %s and ran at %s of %s", id, prefix, u.instance, u.service)
			}
		}
	}
	text := fmt.Sprintf("%d requests, %d ran at a service of another route, %d successes were those of another service", len(prefixes), wrong, foreign)
	return verdict{broken: wrong > 0, reason: text}
}
