package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"sync"
	"time"
)

const (
	// Each node gets a random number of orders under the first split, from leastBefore to mostBefore,
	// and ordersAfter under the second one. Two orders to a node are orderInterval apart.
	leastBefore   = 120
	mostBefore    = 240
	ordersAfter   = 100
	orderInterval = 40 * time.Millisecond
	// orderWork is how long a backend works on an order.
	orderWork = 30 * time.Millisecond
	// stabilityWindow is the time after which calm machines are in touch.
	stabilityWindow = 4 * time.Second
	// steadyRequests is the number of requests from which the shares of a split are judged, and
	// allowedOffset how far a share may be off its weight's.
	steadyRequests = 200
	allowedOffset  = 0.2
	// trialShare is the share of the service on trial under the second split.
	trialShare = 0.01
)

// splitScale plays an operator who gives one order in a thousand to a service on trial, with weights of
// 999 and 1, and one in a hundred later, with weights of 0.99 and 0.01. Without the disruption the
// weights of the second split are 990 and 10.
func splitScale(r *run) ([]string, error) {
	f := r.fleet
	if err := f.startStore(); err != nil {
		return nil, err
	}
	ran := newRuns()
	zones := []string{"fukuoka", "kumamoto", "kagoshima"}
	services := []string{"inquiry-book", "inquiry-trial"}
	for _, service := range services {
		for i := range 7 {
			b := &backend{
				service: service, id: fmt.Sprintf("i-%s-%d", service, i), zone: zones[i%3], slots: 3, work: orderWork, runs: ran,
			}
			if err := f.addBackend(b); err != nil {
				return nil, err
			}
		}
	}
	split := func(usual, trial float64) {
		f.writeConfig([]map[string]any{orderRoute(map[string]any{
			"trafficSplit": []map[string]any{{"service": services[0], "weight": usual}, {"service": services[1], "weight": trial}},
		})}, services)
		f.record.printf("weights: %s %g, %s %g", services[0], usual, services[1], trial)
	}
	split(999, 1)
	if err := f.startNodes(zones); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow)
	c := &callers{}
	sendOrders(c, f.nodes, "before", func() int { return leastBefore + rand.IntN(mostBefore-leastBefore+1) })
	if r.trouble {
		split(1-trialShare, trialShare)
	} else {
		split(1000*(1-trialShare), 1000*trialShare)
	}
	time.Sleep(configApply + stabilityWindow)
	judgedFrom := time.Now()
	sendOrders(c, f.nodes, "after", func() int { return ordersAfter })
	return checkSplit(r, c, ran, services[1], judgedFrom), nil
}

// sendOrders sends a number of orders to each node, one after the other on a kept connection.
func sendOrders(c *callers, nodes []*node, name string, count func() int) {
	var all sync.WaitGroup
	for _, n := range nodes {
		all.Go(func() {
			k := kept{node: n, callers: c}
			defer k.close()
			for i := range count() {
				id := fmt.Sprintf("%d-%s-%s-%d", os.Getpid(), name, n.name, i)
				k.send(id, id, "one bed, from Monday")
				time.Sleep(orderInterval)
			}
		})
	}
	all.Wait()
}

// checkSplit compares the share of the orders since a time that a service has run with its weight's.
func checkSplit(r *run, c *callers, ran *runs, service string, from time.Time) []string {
	total, atService := 0, 0
	for _, o := range c.outcomes {
		arrivals := ran.of(o.id)
		r.record.printf("order %s at %s: status %d (%v), run at %v", o.id, o.node, o.status, o.err, arrivals)
		if len(arrivals) == 0 || o.sent.Before(from) {
			continue
		}
		total++
		if arrivals[0].service == service {
			atService++
		}
	}
	share := float64(atService) / float64(max(1, total))
	summary := fmt.Sprintf("%d of %d orders ran at %s, a share of %.3f where the weights say %.3f", atService, total, service, share, trialShare)
	r.record.printf("%s", summary)
	fmt.Println(summary)
	if total < steadyRequests || math.Abs(share-trialShare) <= allowedOffset {
		return nil
	}
	return []string{"CONFIG " + summary}
}
