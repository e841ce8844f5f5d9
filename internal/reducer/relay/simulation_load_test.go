package relay

import (
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// sendRequest sends a caller's request to a node.
func (sim *simulation) sendRequest(n *node, path string, timeout time.Duration) *call {
	sim.lastCall++
	id := "r" + strconv.Itoa(int(sim.lastCall))
	c := &call{id: id, path: path, startedAt: sim.now, runs: make(map[string]int)}
	sim.calls[callKey{n, sim.lastCall}] = c
	sim.callByID[id] = c
	request := &model.ForwardRequest{ID: id, Method: "GET", Host: "h", Path: path, URI: path, Timeout: timeout}
	n.step(func(ctx *step.Context) {
		n.state.HandleForward(ctx, event.Forward{Call: sim.lastCall, Request: request})
	})
	return c
}

// scheduleLoad schedules requests at a rate per second for a duration, to the nodes in
// turn and each with different content.
func (sim *simulation) scheduleLoad(path string, timeout time.Duration, rate float64, d time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	count := int(d / gap)
	for i := range count {
		sim.schedule(time.Duration(i)*gap, func() { sim.sendRequest(sim.nodes[i%len(sim.nodes)], path+strconv.Itoa(i), timeout) })
	}
}

// addService adds upstreams that are replicas of a service.
func (sim *simulation) addService(name string, replicas, slots int, serviceTime time.Duration) {
	for i := range replicas {
		id := sim.upstreamID(name, i)
		sim.upstreams[id] = &upstream{id: id, service: name, slots: slots, serviceTime: serviceTime, toldAt: make(map[*node]model.Instant)}
	}
}

// register passes the routes and the registrations of all upstreams to all nodes.
func (sim *simulation) register(table *model.RouteTable) {
	domains := []model.FailureDomain{"a", "b", "c"}
	var registrations []model.Registration
	for id, u := range sim.upstreams {
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
	for _, n := range sim.nodes {
		n.step(func(ctx *step.Context) {
			n.state.HandleRoutes(ctx, table)
			n.state.HandleUpstreams(ctx, registrations)
		})
	}
}

// addGatherRoute adds the given number of shards and returns a table with one route over
// them.
func (sim *simulation) addGatherRoute(shards int, serviceTime time.Duration) *model.RouteTable {
	route := model.Route{
		Name: "wide", Host: "h", Prefix: "/wide/", TopRecords: 5, MinCoverage: 89, Repeatable: true,
		MaxAttempts: 2, Timeout: 400 * time.Millisecond, TargetLatency: 80 * time.Millisecond,
	}
	for i := range shards {
		name := "s" + strconv.Itoa(i)
		sim.addService(name, 3, 2, serviceTime)
		route.Gather = append(route.Gather, model.ServiceName(name))
	}
	return &model.RouteTable{Version: 1, Routes: []model.Route{route}}
}

// loadStats are the statistics of the answers.
type loadStats struct {
	requests, answered, onTime, notRun, unknown int
	// score is the mean value of an answer: the square of its coverage, and a tenth of
	// that if it is late.
	score      float64
	attempts   int
	maxElapsed time.Duration
}

// stats returns the statistics of the answers since the last reset.
func (sim *simulation) stats(target time.Duration) loadStats {
	var f loadStats
	for _, c := range sim.answers {
		f.requests++
		f.attempts += c.attempts
		f.maxElapsed = max(f.maxElapsed, c.elapsed)
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
			f.onTime++
		}
		f.score += worth
	}
	f.score /= max(1, float64(f.requests))
	return f
}

// resetAnswers deletes the answers so far, such as those of a warm-up.
func (sim *simulation) resetAnswers() { sim.answers = nil }

// shareObservations combines the observations of all nodes and passes them to all nodes
// each second, as the nodes of a failure domain do.
func (sim *simulation) shareObservations() {
	sums := make(map[model.UpstreamID]model.Observation)
	for _, n := range sim.nodes {
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
	for _, n := range sim.nodes {
		n.step(func(ctx *step.Context) { n.state.HandleObservations(ctx, list) })
	}
	sim.schedule(time.Second, sim.shareObservations)
}
