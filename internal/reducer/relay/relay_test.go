package relay

import (
	"bytes"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// sortedIDs returns the IDs of the upstreams in ascending order.
func sortedIDs(sim *simulation) []string {
	var ids []string
	for id := range sim.upstreams {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// singleRoute returns a route to one service.
func singleRoute(repeatable bool, attempts int) model.Route {
	return model.Route{
		Name: "one", Host: "h", Prefix: "/one/", Service: "single", Repeatable: repeatable, MaxAttempts: attempts,
		Timeout: 1500 * time.Millisecond, TargetLatency: 250 * time.Millisecond,
	}
}

// TestAtMostOnce checks, under any mix of lost replies, refusals and failures, that a
// request that must not be repeated runs at most once, that "not run" is true, and that
// no service runs a repeatable request more often than its route allows.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		repeatable := rapid.Bool().Draw(r, "repeatable")
		attempts := rapid.IntRange(1, 3).Draw(r, "attempts")
		sim := newSimulation(t, rapid.Uint64().Draw(r, "seed"), defaultSettings, 2)
		sim.addService("single", 3, 2, 20*time.Millisecond)
		for _, id := range sortedIDs(sim) {
			sim.upstreams[id].loseShare = rapid.Float64Range(0, 0.5).Draw(r, "lose")
			sim.upstreams[id].failShare = rapid.Float64Range(0, 0.3).Draw(r, "fail")
			sim.upstreams[id].refuseShare = rapid.Float64Range(0, 0.5).Draw(r, "shed")
		}
		sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(repeatable, attempts)}})
		sim.scheduleLoad("/one/x", 1500*time.Millisecond, 100, time.Second)
		sim.advance(4 * time.Second)
		if len(sim.calls) != 0 {
			r.Fatalf("%d requests were not answered", len(sim.calls))
		}
		maxRuns := attempts
		if !repeatable {
			maxRuns = 1
		}
		for _, c := range sim.answers {
			if c.runs["single"] > maxRuns {
				r.Fatalf("%s ran %d times, want at most %d", c.id, c.runs["single"], maxRuns)
			}
			if c.answer.Outcome == model.NotRun && c.runs["single"] > 0 {
				r.Fatalf("%s was refused as not run but ran", c.id)
			}
		}
	})
}

// TestExtraAttemptsStayWithinBudget checks that the attempts that reach upstreams beyond the
// first of each request stay within the shared budget over a window, whatever the number
// of nodes and the share of failures.
func TestExtraAttemptsStayWithinBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.IntRange(1, 6).Draw(r, "nodes")
		sim := newSimulation(t, rapid.Uint64().Draw(r, "seed"), defaultSettings, nodes)
		sim.addService("single", 3, 2, 20*time.Millisecond)
		for _, id := range sortedIDs(sim) {
			sim.upstreams[id].loseShare = rapid.Float64Range(0, 1).Draw(r, "lose")
			sim.upstreams[id].refuseShare = rapid.Float64Range(0, 1).Draw(r, "shed")
		}
		sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 3)}})
		sim.scheduleLoad("/one/x", 1500*time.Millisecond, 60, window)
		sim.advance(window + 2*time.Second)
		arrivals := 0
		for _, u := range sim.upstreams {
			arrivals += u.arrivals
		}
		requests := len(sim.answers)
		if extra := float64(arrivals - requests); extra > 0.2*float64(requests)+56 {
			r.Fatalf("%.0f extra arrivals for %d requests", extra, requests)
		}
	})
}

// TestGatheredAnswer checks that parts and missing shards add up to all shards, that no
// signature occurs twice, and that the records are the largest in descending order.
func TestGatheredAnswer(t *testing.T) {
	sim := newSimulation(t, 11, defaultSettings, 1)
	sim.register(sim.addGatherRoute(10, 5*time.Millisecond))
	for i := range 3 {
		sim.replica("s4", i).failShare = 1
	}
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 20, time.Second)
	sim.advance(3 * time.Second)
	if len(sim.answers) == 0 {
		t.Fatal("no answers")
	}
	for _, c := range sim.answers {
		g := c.answer.Gathered
		if g == nil {
			t.Fatalf("%s got %+v", c.id, c.answer)
		}
		if len(g.Signatures)+g.Missing != 10 || g.Missing != 1 {
			t.Errorf("%d signatures and %d missing", len(g.Signatures), g.Missing)
		}
		if len(slices.Compact(slices.Sorted(slices.Values(g.Signatures)))) != len(g.Signatures) {
			t.Errorf("a signature occurs twice: %v", g.Signatures)
		}
		want := fmt.Sprintf("%-16s%-16s%-16s%-16s%-16s", "s9", "s8", "s7", "s6", "s5")
		if string(g.Records) != want {
			t.Errorf("records %q, want %q", g.Records, want)
		}
	}
}

// TestLargestRecords checks the merge against sorting all records.
func TestLargestRecords(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		bodies := rapid.SliceOfN(rapid.SliceOfN(rapid.ByteRange(0, 3), 0, 100), 0, 6).Draw(r, "bodies")
		limit := rapid.IntRange(0, 20).Draw(r, "limit")
		var all []string
		for _, body := range bodies {
			for i := 0; i+recordBytes <= len(body); i += recordBytes {
				all = append(all, string(body[i:i+recordBytes]))
			}
		}
		slices.Sort(all)
		slices.Reverse(all)
		var want []byte
		for _, record := range all[:min(limit, len(all))] {
			want = append(want, record...)
		}
		if got := largestRecords(bodies, limit); !bytes.Equal(got, want) {
			r.Fatalf("got %x, want %x", got, want)
		}
	})
}

// TestLongestPrefix checks that the route with the longest matching prefix is used, and
// the answer if no route matches.
func TestLongestPrefix(t *testing.T) {
	sim := newSimulation(t, 12, defaultSettings, 1)
	sim.addService("single", 1, 1, time.Millisecond)
	sim.addService("other", 1, 1, time.Millisecond)
	long := singleRoute(true, 1)
	long.Name, long.Prefix, long.Service = "long", "/one/two/", "other"
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1), long}})
	for path, service := range map[string]string{"/one/x": "single", "/one/two/x": "other", "/one/two": "single"} {
		c := sim.sendRequest(sim.nodes[0], path, time.Second)
		sim.advance(time.Second)
		if c.runs[service] != 1 {
			t.Errorf("%s ran %v, want one run of %s", path, c.runs, service)
		}
	}
	for _, path := range []string{"/", "/on", "/two/one/"} {
		c := sim.sendRequest(sim.nodes[0], path, time.Second)
		if c.answer.Failure == nil || c.answer.Failure.Code != model.CodeUnknownRoute {
			t.Errorf("%s got %+v", path, c.answer)
		}
	}
}

// TestSplitKeepsWeights checks that a split keeps its weights over a short period.
func TestSplitKeepsWeights(t *testing.T) {
	sim := newSimulation(t, 13, defaultSettings, 1)
	sim.addService("single", 1, 2, time.Millisecond)
	sim.addService("other", 1, 2, time.Millisecond)
	route := singleRoute(true, 1)
	route.Service = ""
	route.Split = []model.WeightedService{{Service: "single", Weight: 3}, {Service: "other", Weight: 1}}
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{route}})
	sim.scheduleLoad("/one/x", time.Second, 40, time.Second)
	sim.advance(2 * time.Second)
	if got := sim.replica("single", 0).runs; got != 30 {
		t.Errorf("%d of 40 requests ran at a service with three quarters of the weight, want 30", got)
	}
}

// TestRoutesNotKnownYet checks that a node without routes refuses requests as not run with
// a retry time, instead of answering that the route does not exist.
func TestRoutesNotKnownYet(t *testing.T) {
	sim := newSimulation(t, 14, defaultSettings, 1)
	c := sim.sendRequest(sim.nodes[0], "/one/x", time.Second)
	if c.answer.Outcome != model.NotRun || c.answer.Failure.Code != model.CodeUnavailable || c.answer.RetryAfter <= 0 {
		t.Errorf("got %+v", c.answer)
	}
}

// TestUpstreamsNotKnownYet replays the start of a node that has read the routes but not the
// upstreams. Callers must be told to return within the milliseconds that the read takes, and
// not within the time that an overloaded service would need.
func TestUpstreamsNotKnownYet(t *testing.T) {
	sim := newSimulation(t, 14, defaultSettings, 1)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}})
	c := sim.sendRequest(sim.nodes[0], "/one/x", time.Second)
	if c.answer.Outcome != model.NotRun || c.answer.Failure.Code != model.CodeUnavailable || c.answer.RetryAfter != minStartRetryAfter {
		t.Errorf("got %+v", c.answer)
	}
}

// TestCallerGone checks that upstreams soon stop working for a caller that has gone,
// because the connections of its attempts are closed.
func TestCallerGone(t *testing.T) {
	sim := newSimulation(t, 15, defaultSettings, 1)
	sim.addService("single", 1, 1, 3*time.Second)
	route := singleRoute(true, 1)
	route.Timeout = 10 * time.Second
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{route}})
	sim.sendRequest(sim.nodes[0], "/one/x", 10*time.Second)
	sim.advance(100 * time.Millisecond)
	n := sim.nodes[0]
	if len(n.connections) != 1 {
		t.Fatalf("%d connections, want 1", len(n.connections))
	}
	n.step(func(ctx *step.Context) { n.state.HandleCallerGone(ctx, 1) })
	sim.advance(500 * time.Millisecond)
	if len(n.connections) != 0 {
		t.Error("the connection is still open half a second after the caller has gone")
	}
	if n.state.InFlight() != 0 || len(n.state.attempts) != 0 {
		t.Errorf("%d requests and %d attempts remain", n.state.InFlight(), len(n.state.attempts))
	}
}

// TestDeadline checks that a request ends at its route's timeout even if the caller would
// wait longer, and that no attempt remains.
func TestDeadline(t *testing.T) {
	sim := newSimulation(t, 16, defaultSettings, 1)
	sim.addService("single", 1, 1, 3*time.Second)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}})
	c := sim.sendRequest(sim.nodes[0], "/one/x", 10*time.Second)
	sim.advance(3 * time.Second)
	if c.elapsed != 1500*time.Millisecond || c.answer.Outcome != model.Unknown || c.answer.Failure.Code != model.CodeDeadline {
		t.Errorf("after %v: %+v", c.elapsed, c.answer)
	}
	if len(sim.nodes[0].state.attempts) != 0 {
		t.Error("an attempt remains")
	}
}

// TestDraining checks that a draining upstream gets no new attempts.
func TestDraining(t *testing.T) {
	sim := newSimulation(t, 17, defaultSettings, 1)
	sim.addService("single", 2, 1, 50*time.Millisecond)
	table := &model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}}
	sim.register(table)
	n := sim.nodes[0]
	drain := func(ctx *step.Context) {
		var list []model.Registration
		for _, id := range sortedIDs(sim) {
			list = append(list, model.Registration{Instance: id, Upstream: model.Upstream{
				ID: model.UpstreamID(id), Address: id, Slots: 1, MaxConnections: 26, Draining: id == "single/u0",
			}})
		}
		n.state.HandleUpstreams(ctx, list)
	}
	n.step(drain)
	for range 5 {
		sim.sendRequest(n, "/one/x", time.Second)
		sim.advance(100 * time.Millisecond)
	}
	if got := sim.replica("single", 0).arrivals; got != 0 {
		t.Errorf("%d requests reached the draining upstream", got)
	}
}

// TestMisdirected checks that an upstream whose address another one has taken over gets
// no attempts, and that requests run elsewhere.
func TestMisdirected(t *testing.T) {
	sim := newSimulation(t, 18, defaultSettings, 1)
	sim.addService("single", 2, 1, 10*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(false, 1)}})
	n := sim.nodes[0]
	pool := n.state.pools["single/u0"]
	pool.misdirectedAt = sim.now
	for range 4 {
		c := sim.sendRequest(n, "/one/x", time.Second)
		sim.advance(100 * time.Millisecond)
		if c.answer.Outcome != model.Answered {
			t.Errorf("got %+v", c.answer)
		}
	}
	if got := sim.replica("single", 0).arrivals; got != 0 {
		t.Errorf("%d requests reached the misdirected upstream", got)
	}
}

// TestCrashingContent checks that content which crashes upstreams is refused after two
// crashes, that the crashes are reported to the other nodes, and that other content still
// runs.
func TestCrashingContent(t *testing.T) {
	sim := newSimulation(t, 19, defaultSettings, 1)
	sim.addService("single", 6, 1, 10*time.Millisecond)
	for _, u := range sim.upstreams {
		u.crashOn = "/one/bad"
	}
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	n := sim.nodes[0]
	for range 6 {
		sim.sendRequest(n, "/one/bad", time.Second)
		sim.advance(time.Second)
	}
	if crashed := countCrashed(sim); crashed > 2 {
		t.Errorf("%d upstreams crashed, want at most 2", crashed)
	}
	if len(n.reports) != 2 || !n.reports[1].Blocked {
		t.Errorf("%+v was reported to the other nodes", n.reports)
	}
	if c := sim.sendRequest(n, "/one/bad", time.Second); c.answer.Outcome != model.NotRun || c.answer.Failure.Code != model.CodeQuarantined {
		t.Errorf("got %+v", c.answer)
	}
	c := sim.sendRequest(n, "/one/good", time.Second)
	sim.advance(time.Second)
	if c.answer.Outcome != model.Answered {
		t.Errorf("other content got %+v", c.answer)
	}
}

// TestConnectionsStayInShare checks that a node never holds more connections than its
// share of the upstream's limit under high load.
func TestConnectionsStayInShare(t *testing.T) {
	sim := newSimulation(t, 20, defaultSettings, 4)
	sim.register(sim.addGatherRoute(3, 40*time.Millisecond))
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 400, 2*time.Second)
	for range 40 {
		sim.advance(50 * time.Millisecond)
		for _, n := range sim.nodes {
			for _, pool := range n.state.pools {
				if len(pool.connections) > 26/5 {
					t.Fatalf("%d connections to one upstream", len(pool.connections))
				}
			}
		}
	}
}

// TestLateReplyIsIgnored checks that late events for unknown connections, attempts and timers
// have no effect.
func TestLateReplyIsIgnored(t *testing.T) {
	sim := newSimulation(t, 21, defaultSettings, 1)
	n := sim.nodes[0]
	n.step(func(ctx *step.Context) {
		n.state.HandleReply(ctx, event.ForwardReply{Connection: 99, Attempt: 7, Status: event.ForwardAnswered})
		n.state.HandleClosed(ctx, event.ConnectionClosed{Connection: 98, Attempt: model.AttemptID{Number: 7}, Written: true})
		n.state.HandleOpened(ctx, event.ConnectionOpened{Connection: 97})
		n.state.HandleTimer(ctx, 12345)
	})
	if len(n.ctx.Effects) != 0 {
		t.Errorf("got effects %v, want none", n.ctx.Effects)
	}
}

// TestUnreachableUpstream checks that an upstream that cannot be reached gets no
// attempts, which would wait there in vain, and is used again once it is back.
func TestUnreachableUpstream(t *testing.T) {
	sim := newSimulation(t, 23, defaultSettings, 1)
	sim.addService("single", 2, 2, 5*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(false, 1)}})
	n := sim.nodes[0]
	sim.scheduleLoad("/one/x", 300*time.Millisecond, 50, 5*time.Second)
	sim.advance(time.Second)
	sim.replica("single", 0).down = true
	for id, conn := range n.connections {
		if conn.upstream.down {
			n.closeConnection(id, conn, "reset")
		}
	}
	sim.advance(300 * time.Millisecond)
	sim.resetAnswers()
	sim.advance(2 * time.Second)
	for _, c := range sim.answers {
		if c.answer.Outcome != model.Answered || c.elapsed > 30*time.Millisecond {
			t.Errorf("%s: %s after %v", c.id, c.answer.Outcome, c.elapsed)
		}
	}
	sim.replica("single", 0).down = false
	before := sim.replica("single", 0).runs
	sim.advance(2 * time.Second)
	if sim.replica("single", 0).runs == before {
		t.Error("the upstream is not used again")
	}
}

// TestBodyLimit checks that a body over the operators' limit is refused.
func TestBodyLimit(t *testing.T) {
	sim := newSimulation(t, 24, defaultSettings, 1)
	sim.addService("single", 1, 1, time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}, Limits: model.RequestLimits{BodyBytes: 3}})
	n := sim.nodes[0]
	for body, refused := range map[string]bool{"abc": false, "abcd": true} {
		sim.lastCall++
		key := callKey{n, sim.lastCall}
		c := &call{id: body, startedAt: sim.now, runs: make(map[string]int)}
		sim.calls[key] = c
		request := &model.ForwardRequest{ID: body, Method: "POST", Host: "h", Path: "/one/x", URI: "/one/x", Body: []byte(body)}
		n.step(func(ctx *step.Context) {
			n.state.HandleForward(ctx, event.Forward{Call: sim.lastCall, Request: request})
		})
		sim.advance(100 * time.Millisecond)
		if got := c.answer.Failure != nil && c.answer.Failure.Code == model.CodeTooLarge; got != refused {
			t.Errorf("%q: %+v", body, c.answer)
		}
	}
}

// TestPopularContentIsNotBlocked guards against blocking content that is requested
// frequently. Such content is in flight at several upstreams when a failure domain fails,
// so all of these losses look like crashes that it caused.
func TestPopularContentIsNotBlocked(t *testing.T) {
	sim := newSimulation(t, 8, defaultSettings, 4)
	sim.register(sim.addGatherRoute(10, 7500*time.Microsecond))
	for i := range 720 {
		sim.schedule(time.Duration(i)*5*time.Millisecond, func() { sim.sendRequest(sim.nodes[i%4], "/wide/popular", 400*time.Millisecond) })
	}
	sim.schedule(2*time.Second, func() { sim.stopReplicas(sim.upstreamID("s0", 0), sim.upstreamID("s1", 0), sim.upstreamID("s2", 0)) })
	sim.schedule(3*time.Second, func() { sim.stopReplicas(sim.upstreamID("s0", 1), sim.upstreamID("s1", 1)) })
	sim.advance(4 * time.Second)
	for _, c := range sim.answers {
		if c.answer.Outcome != model.Answered {
			t.Fatalf("%s got %+v", c.id, c.answer.Failure)
		}
	}
}

// TestCrashesOfOneShard checks that content which crashes the upstreams of only one shard
// is blocked, although other shards answer it.
func TestCrashesOfOneShard(t *testing.T) {
	sim := newSimulation(t, 21, defaultSettings, 1)
	sim.register(sim.addGatherRoute(4, 5*time.Millisecond))
	for i := range 3 {
		sim.replica("s2", i).crashOn = "/wide/bad"
	}
	for range 3 {
		sim.sendRequest(sim.nodes[0], "/wide/bad", 400*time.Millisecond)
		sim.advance(time.Second)
	}
	if crashed := countCrashed(sim); crashed != 2 {
		t.Errorf("%d upstreams crashed, want 2", crashed)
	}
	if c := sim.sendRequest(sim.nodes[0], "/wide/bad", 400*time.Millisecond); c.answer.Failure == nil || c.answer.Failure.Code != model.CodeQuarantined {
		t.Errorf("got %+v", c.answer)
	}
}

// countCrashed returns the number of upstreams that are down.
func countCrashed(sim *simulation) int {
	count := 0
	for _, u := range sim.upstreams {
		if u.down {
			count++
		}
	}
	return count
}
