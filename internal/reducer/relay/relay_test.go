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

// sortedIDs returns the upstreams in a fixed order.
func sortedIDs(w *world) []string {
	var ids []string
	for id := range w.upstreams {
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

// TestAtMostOnce checks under any mix of lost replies, refusals and failures that a
// request that must not be repeated runs once at most, that "not run" is true, and
// that no service runs a repeatable request more often than its route allows.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		repeatable := rapid.Bool().Draw(r, "repeatable")
		attempts := rapid.IntRange(1, 3).Draw(r, "attempts")
		w := newWorld(t, rapid.Uint64().Draw(r, "seed"), usual, 2)
		w.service("single", 3, 2, 20*time.Millisecond)
		for _, id := range sortedIDs(w) {
			w.upstreams[id].loseShare = rapid.Float64Range(0, 0.5).Draw(r, "lose")
			w.upstreams[id].failShare = rapid.Float64Range(0, 0.3).Draw(r, "fail")
			w.upstreams[id].shedShare = rapid.Float64Range(0, 0.5).Draw(r, "shed")
		}
		w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(repeatable, attempts)}})
		w.load("/one/x", 1500*time.Millisecond, 100, time.Second)
		w.play(4 * time.Second)
		if len(w.calls) != 0 {
			r.Fatalf("%d requests got no answer", len(w.calls))
		}
		most := attempts
		if !repeatable {
			most = 1
		}
		for _, c := range w.answers {
			if c.runs["single"] > most {
				r.Fatalf("%s ran %d times, want at most %d", c.id, c.runs["single"], most)
			}
			if c.answer.Outcome == model.NotRun && c.runs["single"] > 0 {
				r.Fatalf("%s was refused as not run and ran", c.id)
			}
		}
	})
}

// TestExtraArrivalsStayOnBudget checks that the arrivals at a service beyond the
// first of each request stay within the shared budget in every window, over all
// nodes and whatever fails.
func TestExtraArrivalsStayOnBudget(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(r *rapid.T) {
		nodes := rapid.IntRange(1, 6).Draw(r, "nodes")
		w := newWorld(t, rapid.Uint64().Draw(r, "seed"), usual, nodes)
		w.service("single", 3, 2, 20*time.Millisecond)
		for _, id := range sortedIDs(w) {
			w.upstreams[id].loseShare = rapid.Float64Range(0, 1).Draw(r, "lose")
			w.upstreams[id].shedShare = rapid.Float64Range(0, 1).Draw(r, "shed")
		}
		w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 3)}})
		w.load("/one/x", 1500*time.Millisecond, 60, window)
		w.play(window + 2*time.Second)
		arrivals := 0
		for _, u := range w.upstreams {
			arrivals += u.arrivals
		}
		asked := len(w.answers)
		if extra := float64(arrivals - asked); extra > 0.2*float64(asked)+56 {
			r.Fatalf("%.0f extra arrivals for %d requests", extra, asked)
		}
	})
}

// TestGatheredAnswer checks that parts and missing shards make up the set, that no
// signature stands twice, and that the records are the greatest, greatest first.
func TestGatheredAnswer(t *testing.T) {
	w := newWorld(t, 11, usual, 1)
	w.register(w.gatherTable(10, 5*time.Millisecond))
	for i := range 3 {
		w.replica("s4", i).failShare = 1
	}
	w.load("/wide/x", 400*time.Millisecond, 20, time.Second)
	w.play(3 * time.Second)
	if len(w.answers) == 0 {
		t.Fatal("no answers")
	}
	for _, c := range w.answers {
		g := c.answer.Gathered
		if g == nil {
			t.Fatalf("%s got %+v", c.id, c.answer)
		}
		if len(g.Signatures)+g.Missing != 10 || g.Missing != 1 {
			t.Errorf("%d signatures and %d missing", len(g.Signatures), g.Missing)
		}
		if len(slices.Compact(slices.Sorted(slices.Values(g.Signatures)))) != len(g.Signatures) {
			t.Errorf("a signature stands twice: %v", g.Signatures)
		}
		want := fmt.Sprintf("%-16s%-16s%-16s%-16s%-16s", "s9", "s8", "s7", "s6", "s5")
		if string(g.Records) != want {
			t.Errorf("records %q, want %q", g.Records, want)
		}
	}
}

// TestGreatest checks the merge against sorting all records.
func TestGreatest(t *testing.T) {
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
		if got := greatest(bodies, limit); !bytes.Equal(got, want) {
			r.Fatalf("got %x, want %x", got, want)
		}
	})
}

// TestLongestPrefix checks the choice of a route, and the answer where there is
// none.
func TestLongestPrefix(t *testing.T) {
	w := newWorld(t, 12, usual, 1)
	w.service("single", 1, 1, time.Millisecond)
	w.service("other", 1, 1, time.Millisecond)
	long := singleRoute(true, 1)
	long.Name, long.Prefix, long.Service = "long", "/one/two/", "other"
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1), long}})
	for path, service := range map[string]string{"/one/x": "single", "/one/two/x": "other", "/one/two": "single"} {
		c := w.ask(w.nodes[0], path, time.Second)
		w.play(time.Second)
		if c.runs[service] != 1 {
			t.Errorf("%s ran %v, want one run of %s", path, c.runs, service)
		}
	}
	for _, path := range []string{"/", "/on", "/two/one/"} {
		c := w.ask(w.nodes[0], path, time.Second)
		if c.answer.Failure == nil || c.answer.Failure.Code != model.CodeUnknownRoute {
			t.Errorf("%s got %+v", path, c.answer)
		}
	}
}

// TestSplitKeepsWeights checks the shares of a split over a short span.
func TestSplitKeepsWeights(t *testing.T) {
	w := newWorld(t, 13, usual, 1)
	w.service("single", 1, 2, time.Millisecond)
	w.service("other", 1, 2, time.Millisecond)
	route := singleRoute(true, 1)
	route.Service = ""
	route.Split = []model.WeightedService{{Service: "single", Weight: 3}, {Service: "other", Weight: 1}}
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{route}})
	w.load("/one/x", time.Second, 40, time.Second)
	w.play(2 * time.Second)
	if got := w.replica("single", 0).runs; got != 30 {
		t.Errorf("%d of 40 ran at three quarters of the weight", got)
	}
}

// TestUnknownRoutesYet checks that a node that knows no routes says "not run" and
// when to come back, never that there is no such route.
func TestUnknownRoutesYet(t *testing.T) {
	w := newWorld(t, 14, usual, 1)
	c := w.ask(w.nodes[0], "/one/x", time.Second)
	if c.answer.Outcome != model.NotRun || c.answer.Failure.Code != model.CodeUnavailable || c.answer.RetryAfter <= 0 {
		t.Errorf("got %+v", c.answer)
	}
}

// TestCallerGone checks that the work for a caller that has left stops soon: its
// attempts' connections are closed.
func TestCallerGone(t *testing.T) {
	w := newWorld(t, 15, usual, 1)
	w.service("single", 1, 1, 3*time.Second)
	route := singleRoute(true, 1)
	route.Timeout = 10 * time.Second
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{route}})
	w.ask(w.nodes[0], "/one/x", 10*time.Second)
	w.play(100 * time.Millisecond)
	n := w.nodes[0]
	if len(n.connections) != 1 {
		t.Fatalf("%d connections", len(n.connections))
	}
	n.step(func(ctx *step.Context) { n.state.HandleCallerGone(ctx, 1) })
	w.play(500 * time.Millisecond)
	if len(n.connections) != 0 {
		t.Error("the upstream still works half a second after the caller has left")
	}
	if n.state.InFlight() != 0 || len(n.state.attempts) != 0 {
		t.Errorf("%d requests and %d attempts are left", n.state.InFlight(), len(n.state.attempts))
	}
}

// TestDeadline checks that a request ends at its route's timeout, whatever the
// caller would wait, and that no attempt is left behind.
func TestDeadline(t *testing.T) {
	w := newWorld(t, 16, usual, 1)
	w.service("single", 1, 1, 3*time.Second)
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}})
	c := w.ask(w.nodes[0], "/one/x", 10*time.Second)
	w.play(3 * time.Second)
	if c.elapsed != 1500*time.Millisecond || c.answer.Outcome != model.Unknown || c.answer.Failure.Code != model.CodeDeadline {
		t.Errorf("after %v: %+v", c.elapsed, c.answer)
	}
	if len(w.nodes[0].state.attempts) != 0 {
		t.Error("an attempt is left behind")
	}
}

// TestDraining checks that an upstream that drains gets no new work, and that work
// that waits there moves.
func TestDraining(t *testing.T) {
	w := newWorld(t, 17, usual, 1)
	w.service("single", 2, 1, 50*time.Millisecond)
	table := &model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}}
	w.register(table)
	n := w.nodes[0]
	drain := func(ctx *step.Context) {
		var list []model.Registration
		for _, id := range sortedIDs(w) {
			list = append(list, model.Registration{Instance: id, Upstream: model.Upstream{
				ID: model.UpstreamID(id), Address: id, Slots: 1, MaxConnections: 26, Draining: id == "single/u0",
			}})
		}
		n.state.HandleUpstreams(ctx, list)
	}
	n.step(drain)
	for range 5 {
		w.ask(n, "/one/x", time.Second)
		w.play(100 * time.Millisecond)
	}
	if got := w.replica("single", 0).arrivals; got != 0 {
		t.Errorf("%d requests reached the draining upstream", got)
	}
}

// TestMisdirected checks that an upstream whose address another one has taken over
// gets no second request, and that the request runs elsewhere.
func TestMisdirected(t *testing.T) {
	w := newWorld(t, 18, usual, 1)
	w.service("single", 2, 1, 10*time.Millisecond)
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(false, 1)}})
	n := w.nodes[0]
	l := n.state.lanes["single/u0"]
	l.misdirected = w.now
	for range 4 {
		c := w.ask(n, "/one/x", time.Second)
		w.play(100 * time.Millisecond)
		if c.answer.Outcome != model.Answered {
			t.Errorf("got %+v", c.answer)
		}
	}
	if got := w.replica("single", 0).arrivals; got != 0 {
		t.Errorf("%d requests reached the other upstream", got)
	}
}

// TestCrashingContent checks that content that crashes upstreams is refused after
// two crashes, that the other nodes hear of it, and that other content runs on.
func TestCrashingContent(t *testing.T) {
	w := newWorld(t, 19, usual, 1)
	w.service("single", 6, 1, 10*time.Millisecond)
	for _, u := range w.upstreams {
		u.crashOn = "/one/bad"
	}
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	n := w.nodes[0]
	for range 6 {
		w.ask(n, "/one/bad", time.Second)
		w.play(time.Second)
	}
	if crashed := countDown(w); crashed > 2 {
		t.Errorf("%d upstreams crashed", crashed)
	}
	if len(n.reports) != 2 || !n.reports[1].Blocked {
		t.Errorf("the other nodes heard %+v", n.reports)
	}
	if c := w.ask(n, "/one/bad", time.Second); c.answer.Outcome != model.NotRun || c.answer.Failure.Code != model.CodeQuarantined {
		t.Errorf("got %+v", c.answer)
	}
	c := w.ask(n, "/one/good", time.Second)
	w.play(time.Second)
	if c.answer.Outcome != model.Answered {
		t.Errorf("other content got %+v", c.answer)
	}
}

// TestConnectionsStayInShare checks that a node never holds more connections than
// its part of the upstream's limit, whatever the load.
func TestConnectionsStayInShare(t *testing.T) {
	w := newWorld(t, 20, usual, 4)
	w.register(w.gatherTable(3, 40*time.Millisecond))
	w.load("/wide/x", 400*time.Millisecond, 400, 2*time.Second)
	for range 40 {
		w.play(50 * time.Millisecond)
		for _, n := range w.nodes {
			for _, l := range n.state.lanes {
				if len(l.connections) > 26/5 {
					t.Fatalf("%d connections to one upstream", len(l.connections))
				}
			}
		}
	}
}

// TestLateReplyIsIgnored checks that the reply to an attempt that was given up
// settles nothing.
func TestLateReplyIsIgnored(t *testing.T) {
	w := newWorld(t, 21, usual, 1)
	n := w.nodes[0]
	n.step(func(ctx *step.Context) {
		n.state.HandleReply(ctx, event.ForwardReply{Connection: 99, Attempt: 7, Status: event.ForwardAnswered})
		n.state.HandleClosed(ctx, event.ConnectionClosed{Connection: 98, Attempt: model.AttemptID{Number: 7}, Written: true})
		n.state.HandleOpened(ctx, event.ConnectionOpened{Connection: 97})
		n.state.HandleTimer(ctx, 12345)
	})
	if len(n.ctx.Effects) != 0 {
		t.Errorf("effects %v", n.ctx.Effects)
	}
}

// TestUnreachableUpstream checks that an upstream that cannot be reached gets no
// attempts, which would wait there in vain, and is used again once it is back.
func TestUnreachableUpstream(t *testing.T) {
	w := newWorld(t, 23, usual, 1)
	w.service("single", 2, 2, 5*time.Millisecond)
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(false, 1)}})
	n := w.nodes[0]
	w.load("/one/x", 300*time.Millisecond, 50, 5*time.Second)
	w.play(time.Second)
	w.replica("single", 0).down = true
	for id, l := range n.connections {
		if l.upstream.down {
			n.closed(id, l, "reset")
		}
	}
	w.play(300 * time.Millisecond)
	w.forget()
	w.play(2 * time.Second)
	for _, c := range w.answers {
		if c.answer.Outcome != model.Answered || c.elapsed > 30*time.Millisecond {
			t.Errorf("%s: %s after %v", c.id, c.answer.Outcome, c.elapsed)
		}
	}
	w.replica("single", 0).down = false
	before := w.replica("single", 0).runs
	w.play(2 * time.Second)
	if w.replica("single", 0).runs == before {
		t.Error("the upstream is not used again")
	}
}

// TestBodyLimit checks that a body over the operators' limit is refused as not run.
func TestBodyLimit(t *testing.T) {
	w := newWorld(t, 24, usual, 1)
	w.service("single", 1, 1, time.Millisecond)
	w.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}, Limits: model.RequestLimits{BodyBytes: 3}})
	n := w.nodes[0]
	for body, refused := range map[string]bool{"abc": false, "abcd": true} {
		w.next++
		key := callKey{n, w.next}
		c := &call{id: body, started: w.now, runs: make(map[string]int)}
		w.calls[key] = c
		request := &model.ForwardRequest{ID: body, Method: "POST", Host: "h", Path: "/one/x", URI: "/one/x", Body: []byte(body)}
		n.step(func(ctx *step.Context) { n.state.HandleForward(ctx, event.Forward{Call: w.next, Request: request}) })
		w.play(100 * time.Millisecond)
		if got := c.answer.Failure != nil && c.answer.Failure.Code == model.CodeTooLarge; got != refused {
			t.Errorf("%q: %+v", body, c.answer)
		}
	}
}

// TestPopularContentIsNotConvicted checks that content which callers ask for all the
// time, and which is lost with several upstreams at once when a failure domain fails, is
// served on.
func TestPopularContentIsNotConvicted(t *testing.T) {
	w := newWorld(t, 8, usual, 4)
	w.register(w.gatherTable(10, 7500*time.Microsecond))
	for i := range 720 {
		w.at(time.Duration(i)*5*time.Millisecond, func() { w.ask(w.nodes[i%4], "/wide/popular", 400*time.Millisecond) })
	}
	w.at(2*time.Second, func() { w.leave(w.upstreamID("s0", 0), w.upstreamID("s1", 0), w.upstreamID("s2", 0)) })
	w.at(3*time.Second, func() { w.leave(w.upstreamID("s0", 1), w.upstreamID("s1", 1)) })
	w.play(4 * time.Second)
	for _, c := range w.answers {
		if c.answer.Outcome != model.Answered {
			t.Fatalf("%s got %+v", c.id, c.answer.Failure)
		}
	}
}

// TestCrashesOfOneShard checks that content which crashes the upstreams of one shard only
// is convicted, though other shards answer it.
func TestCrashesOfOneShard(t *testing.T) {
	w := newWorld(t, 21, usual, 1)
	w.register(w.gatherTable(4, 5*time.Millisecond))
	for i := range 3 {
		w.replica("s2", i).crashOn = "/wide/bad"
	}
	for range 3 {
		w.ask(w.nodes[0], "/wide/bad", 400*time.Millisecond)
		w.play(time.Second)
	}
	if crashed := countDown(w); crashed != 2 {
		t.Errorf("%d upstreams crashed, want 2", crashed)
	}
	if c := w.ask(w.nodes[0], "/wide/bad", 400*time.Millisecond); c.answer.Failure == nil || c.answer.Failure.Code != model.CodeQuarantined {
		t.Errorf("got %+v", c.answer)
	}
}

// countDown counts the upstreams that are down.
func countDown(w *world) int {
	count := 0
	for _, u := range w.upstreams {
		if u.down {
			count++
		}
	}
	return count
}
