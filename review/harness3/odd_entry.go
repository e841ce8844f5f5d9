package main

import (
	"encoding/json"
	"fmt"
	"os"
	"time"
)

const (
	// ordersPerNode is the number of orders that each node gets while another writer writes, and writes
	// the number of its entries. Each is written half an interval after the backend's own.
	ordersPerNode = 60
	writes        = 6
)

// otherCase plays a writer whose entry has a field Service, and no field service.
func otherCase(r *run) ([]string, error) {
	return oddEntry(r, func(entry map[string]any) {
		entry["Service"] = entry["service"]
		delete(entry, "service")
	})
}

// noBorn plays a writer whose entry has no field born.
func noBorn(r *run) ([]string, error) {
	return oddEntry(r, func(entry map[string]any) { delete(entry, "born") })
}

// oddEntry plays a writer that overwrites the entry of a backend with one that names another service, and
// that a function makes odd. Without the disruption nothing is overwritten.
func oddEntry(r *run, makeOdd func(entry map[string]any)) ([]string, error) {
	f := r.fleet
	if err := f.startStore(); err != nil {
		return nil, err
	}
	ran := newRuns()
	zones := []string{"fukuoka", "kumamoto", "kagoshima"}
	services := []string{"home-profile", "inquiry-book"}
	for _, service := range services {
		for i := range 7 {
			b := &backend{service: service, id: fmt.Sprintf("i-%s-%d", service, i), zone: zones[i%3], slots: 3, work: orderWork, runs: ran}
			if err := f.addBackend(b); err != nil {
				return nil, err
			}
		}
	}
	f.writeConfig([]map[string]any{
		orderRoute(map[string]any{"service": services[0]}),
		orderRoute(map[string]any{"name": "book", "prefix": "/book/", "service": services[1]}),
	}, services)
	if err := f.startNodes(zones); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow)
	if r.trouble {
		go f.overwrite(f.backends[7], services[0], makeOdd)
	}
	c := &callers{}
	sendOrders(c, f.nodes, "one", func() int { return ordersPerNode })
	return checkRoute(r, c, ran, services[0]), nil
}

// overwrite writes odd entries for a backend that name another service.
func (f *fleet) overwrite(b *backend, service string, makeOdd func(entry map[string]any)) {
	for range writes {
		entry := b.lastEntry()
		entry["service"] = service
		makeOdd(entry)
		encoded, err := json.Marshal(entry)
		if err != nil {
			f.record.printf("entry of the other writer: %v", err)
			return
		}
		f.record.printf("another writer writes %s for servers/%s", encoded, b.id)
		f.store.Put("servers/"+b.id, encoded)
		time.Sleep(heartbeatInterval)
	}
}

// checkRoute returns the orders that were run by another service than their route's.
func checkRoute(r *run, c *callers, ran *runs, service string) []string {
	var violations []string
	for _, o := range c.outcomes {
		arrivals := ran.of(o.id)
		r.record.printf("order %s at %s: status %d (%v), signed %q, run at %v", o.id, o.node, o.status, o.err, o.signature, arrivals)
		for _, a := range arrivals {
			if a.service == service {
				continue
			}
			answer := "its caller got no success"
			if o.status/100 == 2 && o.signature == signature(a.service, o.id) {
				answer = "its caller got that service's answer as a success"
			}
			violations = append(violations, fmt.Sprintf("ROUTE order %s for %s at %s was run by %s of %s; %s", o.id, service, o.node, a.backend, a.service, answer))
		}
	}
	fmt.Fprintf(os.Stdout, "%d of %d orders were run by another service\n", len(violations), len(c.outcomes))
	return violations
}
