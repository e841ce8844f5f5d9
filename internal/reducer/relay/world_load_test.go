package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// ask sends a request to a node.
func (w *world) ask(n *node, path string, timeout time.Duration) *call {
	w.next++
	id := "r" + strconv.Itoa(int(w.next))
	c := &call{id: id, started: w.now, runs: make(map[string]int)}
	w.calls[callKey{n, w.next}] = c
	request := &model.ForwardRequest{ID: id, Method: "GET", Host: "h", Path: path, URI: path, Timeout: timeout}
	n.step(func(ctx *step.Context) { n.state.HandleForward(ctx, event.Forward{Call: w.next, Request: request}) })
	return c
}

// load asks at a rate for a time, of the nodes in turn, each time for another content.
func (w *world) load(path string, timeout time.Duration, rate float64, d time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	count := int(d / gap)
	for i := range count {
		w.at(time.Duration(i)*gap, func() { w.ask(w.nodes[i%len(w.nodes)], path+strconv.Itoa(i), timeout) })
	}
}

// service adds the replicas of a service and tells the nodes.
func (w *world) service(name string, replicas, slots int, work time.Duration) {
	for i := range replicas {
		id := w.upstreamID(name, i)
		w.upstreams[id] = &upstream{id: id, service: name, slots: slots, work: work}
	}
}

// register tells all nodes of all upstreams and the routes.
func (w *world) register(table *model.RouteTable) {
	domains := []model.FailureDomain{"a", "b", "c"}
	var registrations []model.Registration
	for id, u := range w.upstreams {
		index, _ := strconv.Atoi(id[len(u.service)+2:])
		registrations = append(registrations, model.Registration{
			Upstream: model.Upstream{ID: model.UpstreamID(id), Address: id, FailureDomain: domains[index%3], Slots: u.slots, MaxConnections: 26},
			Instance: id,
		})
	}
	slices.SortFunc(registrations, func(a, b model.Registration) int {
		if a.Upstream.ID < b.Upstream.ID {
			return -1
		}
		return 1
	})
	for _, n := range w.nodes {
		n.step(func(ctx *step.Context) {
			n.state.HandleRoutes(ctx, table)
			n.state.HandleUpstreams(ctx, registrations)
		})
	}
}

// gatherTable returns one route over the given number of shards, and adds them.
func (w *world) gatherTable(shards int, work time.Duration) *model.RouteTable {
	route := model.Route{
		Name: "wide", Host: "h", Prefix: "/wide/", TopRecords: 5, MinCoverage: 89, Repeatable: true,
		MaxAttempts: 2, Timeout: 400 * time.Millisecond, TargetLatency: 80 * time.Millisecond,
	}
	for i := range shards {
		name := "s" + strconv.Itoa(i)
		w.service(name, 3, 2, work)
		route.Gather = append(route.Gather, model.ServiceName(name))
	}
	return &model.RouteTable{Version: 1, Routes: []model.Route{route}}
}

// figures sums up the answers.
type figures struct {
	asked, answered, inTarget, notRun, unknown int
	// worth is what the answers are worth: the square of the coverage, and a tenth of
	// it when late.
	worth    float64
	attempts int
	longest  time.Duration
}

// sum returns the figures of the answers that started in a span.
func (w *world) sum(target time.Duration) figures {
	var f figures
	for _, c := range w.answers {
		f.asked++
		f.attempts += c.attempts
		f.longest = max(f.longest, c.elapsed)
		switch c.answer.Outcome {
		case model.NotRun:
			f.notRun++
			continue
		case model.Unknown:
			f.unknown++
			continue
		}
		f.answered++
		worth := 1.0
		if g := c.answer.Gathered; g != nil {
			share := float64(len(g.Signatures)) / float64(len(g.Signatures)+g.Missing)
			worth = share * share
		}
		if c.elapsed > target {
			worth *= 0.1
		} else {
			f.inTarget++
		}
		f.worth += worth
	}
	f.worth /= max(1, float64(f.asked))
	return f
}

// forget drops the answers so far, such as those of a warm-up.
func (w *world) forget() { w.answers = nil }

// shareObservations lets all nodes tell each other each second what they saw, as the
// nodes of a failure domain do.
func (w *world) shareObservations() {
	sums := make(map[model.UpstreamID]model.Observation)
	for _, n := range w.nodes {
		for _, seen := range n.state.TakeObservations() {
			sum := sums[seen.Upstream]
			sum.Upstream = seen.Upstream
			sum.Add(seen)
			sums[seen.Upstream] = sum
		}
	}
	list := make([]model.Observation, 0, len(sums))
	for _, sum := range sums {
		list = append(list, sum)
	}
	for _, n := range w.nodes {
		n.step(func(ctx *step.Context) { n.state.HandleObservations(ctx, list) })
	}
	w.at(time.Second, w.shareObservations)
}
