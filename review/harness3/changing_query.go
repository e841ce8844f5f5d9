package main

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// crashingPath is the path of the request that crashes each backend that begins to run it.
	crashingPath = "vacancy/kagoshima"
	// repetitions is how often that request comes, and repeatInterval the time between two.
	repetitions    = 70
	repeatInterval = 600 * time.Millisecond
	// otherInterval is the time between two orders of an ordinary caller.
	otherInterval = 100 * time.Millisecond
	// allowedRetries is the number of retries that may reach backends later than stabilityWindow after the
	// third crash.
	allowedRetries = 3
)

// changingQuery plays a request that crashes its backends and comes again with the same path, caller and
// body, but with another query each time. Without the disruption the query stays the same.
func changingQuery(r *run) ([]string, error) {
	f := r.fleet
	if err := f.startStore(); err != nil {
		return nil, err
	}
	ran := newRuns()
	zones := []string{"fukuoka", "kumamoto", "kagoshima"}
	for i := range 15 {
		b := &backend{
			service: "inquiry-book", id: fmt.Sprintf("i-%d", i), zone: zones[i%3], slots: 3, work: 3 * orderWork, runs: ran,
			crashes: func(request *http.Request) bool { return strings.HasPrefix(request.URL.Path, orderPrefix+crashingPath) },
		}
		if err := f.addBackend(b); err != nil {
			return nil, err
		}
	}
	f.writeConfig([]map[string]any{orderRoute(map[string]any{"service": "inquiry-book"})}, []string{"inquiry-book"})
	if err := f.startNodes(zones); err != nil {
		return nil, err
	}
	time.Sleep(stabilityWindow)
	crashing, others := &callers{}, &callers{}
	ctx, cancel := context.WithCancel(context.Background())
	var ordinary sync.WaitGroup
	for i, n := range f.nodes {
		ordinary.Go(func() { sendOthers(ctx, others, n, i) })
	}
	var repeating sync.WaitGroup
	for i := range repetitions {
		query := "?sent=1"
		if r.trouble {
			query = fmt.Sprintf("?sent=%d", i+1)
		}
		repeating.Go(func() {
			k := kept{node: f.nodes[i%len(f.nodes)], callers: crashing}
			defer k.close()
			k.send(crashingPath+query, fmt.Sprintf("%d-crashing-%d", os.Getpid(), i), "one bed, from Monday")
		})
		time.Sleep(repeatInterval)
	}
	repeating.Wait()
	cancel()
	ordinary.Wait()
	reportOthers(r, others, ran)
	return checkRetries(r, crashing, ran), nil
}

// sendOthers sends ordinary orders to a node.
func sendOthers(ctx context.Context, c *callers, n *node, number int) {
	k := kept{node: n, callers: c}
	defer k.close()
	for i := 0; ctx.Err() == nil; i++ {
		id := fmt.Sprintf("%d-other-%d-%d", os.Getpid(), number, i)
		k.send(id, id, "two beds, from Tuesday")
		time.Sleep(otherInterval)
	}
}

// reportOthers records the orders of ordinary callers, and counts those that ran and were not answered by
// their backend.
func reportOthers(r *run, c *callers, ran *runs) {
	lost := 0
	for _, o := range c.outcomes {
		arrivals := ran.of(o.id)
		r.record.printf("order %s at %s: status %d (%v), run at %v", o.id, o.node, o.status, o.err, arrivals)
		if o.status != http.StatusOK && len(arrivals) > 0 {
			lost++
		}
	}
	summary := fmt.Sprintf("%d of %d orders of other callers had begun to run and got no answer of their backend", lost, len(c.outcomes))
	r.record.printf("%s", summary)
	fmt.Println(summary)
}

// checkRetries counts the retries of the crashing request that reached backends later than stabilityWindow
// after the third crash.
func checkRetries(r *run, c *callers, ran *runs) []string {
	var reached []outcome
	var crashes []arrival
	for _, o := range c.outcomes {
		arrivals := ran.of(o.id)
		r.record.printf("crashing request %s at %s: status %d (%v), run at %v", o.id, o.node, o.status, o.err, arrivals)
		crashes = append(crashes, arrivals...)
		if len(arrivals) > 0 {
			reached = append(reached, o)
		}
	}
	slices.SortFunc(crashes, func(a, b arrival) int { return cmp.Compare(a.at.UnixNano(), b.at.UnixNano()) })
	late := 0
	if len(crashes) >= 3 {
		from := crashes[2].at.Add(crashDelay + stabilityWindow)
		for _, o := range reached {
			if o.sent.After(from) {
				late++
			}
		}
	}
	summary := fmt.Sprintf("the request crashed %d backends; %d retries reached one later than allowed", len(crashes), late)
	r.record.printf("%s", summary)
	fmt.Println(summary)
	if late <= allowedRetries {
		return nil
	}
	return []string{"BUDGET " + summary}
}
