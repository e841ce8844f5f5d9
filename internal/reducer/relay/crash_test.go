package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/blame"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Bounds of the users' rules on content that crashes upstreams.
const (
	// crashStability is the time after the third crash from which runs count as late, and
	// maxLateRuns the number of late runs that are allowed.
	crashStability = 4 * time.Second
	maxLateRuns    = 3
	// maxInnocentHold is the longest time for which content that crashes nothing may be refused
	// on all nodes while upstreams run.
	maxInnocentHold = 8 * time.Second
)

// wasBlocked reports whether any node blocked content of a route.
func (sim *simulation) wasBlocked(route *model.Route, uri string) bool {
	want := fingerprint(route, &model.ForwardRequest{Method: "GET", URI: uri}).String()
	for _, n := range sim.nodes {
		for _, l := range n.logs {
			if l.Message != "content convicted" && l.Message != "crash judged" {
				continue
			}
			condemned, matches := l.Message == "content convicted", false
			for _, f := range l.Fields {
				matches = matches || f.Name == "fingerprint" && f.Value == want
				condemned = condemned || f.Name == "condemned" && f.Value == "true"
			}
			if condemned && matches {
				return true
			}
		}
	}
	return false
}

// sendContents sends requests for a few contents, each again and again, to the nodes in turn.
func (sim *simulation) sendContents(contents int, rate float64, d time.Duration) {
	gap := time.Duration(float64(time.Second) / rate)
	for i := range int(d / gap) {
		sim.schedule(time.Duration(i)*gap, func() {
			sim.sendRequest(sim.nodes[i%len(sim.nodes)], fmt.Sprintf("/one/c%d", sim.random.IntN(contents)), 1500*time.Millisecond)
		})
	}
}

// sendAndLeave sends a request whose caller leaves after a time; zero means that it stays.
func (sim *simulation) sendAndLeave(n *node, uri string, leaveAfter time.Duration) {
	c := sim.sendRequest(n, uri, 1500*time.Millisecond)
	call := sim.lastCall
	if leaveAfter == 0 {
		return
	}
	sim.schedule(leaveAfter, func() {
		if sim.calls[callKey{n, call}] == c {
			delete(sim.calls, callKey{n, call})
			n.step(func(ctx *step.Context) { n.state.HandleCallerGone(ctx, call) })
		}
	})
}

// lateRuns returns the number of runs of a URI later than crashStability after its third crash.
func (sim *simulation) lateRuns(uri string) int {
	crashes := sim.crashTimes[uri]
	if len(crashes) < 3 {
		return 0
	}
	late := 0
	for _, at := range sim.runTimes[uri] {
		if at > crashes[2].Add(crashStability) {
			late++
		}
	}
	return late
}

// crashUpstreams ends upstreams one after the other, for a time.
func (sim *simulation) crashUpstreams(ids []string, gap, down time.Duration) {
	for i, id := range ids {
		u := sim.upstreams[id]
		sim.schedule(time.Duration(i)*gap, func() {
			if !u.down {
				restart := u.restartAfter
				u.restartAfter = down
				sim.crash(u)
				u.restartAfter = restart
			}
		})
	}
}

// TestPopularContentBlockedAfterAllUpstreamsCrashed guards against popular content that crashes
// nothing and is blocked, because requests for it were lost when all upstreams of the service
// crashed one shortly after the other.
func TestPopularContentBlockedAfterAllUpstreamsCrashed(t *testing.T) {
	for _, gap := range []time.Duration{0, 5 * time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond, 500 * time.Millisecond} {
		for _, upstreams := range []int{2, 3, 8} {
			for _, ratePerUpstream := range []float64{0.5, 10} {
				t.Run(fmt.Sprint(gap, upstreams, ratePerUpstream), func(t *testing.T) {
					const contents = 5
					sim := newSimulation(t, 81, defaultSettings, 4)
					sim.addService("single", upstreams, 3, 120*time.Millisecond)
					route := singleRoute(true, 2)
					sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{route}})
					sim.sendContents(contents, ratePerUpstream*float64(upstreams), 30*time.Second)
					sim.advance(12 * time.Second)
					sim.crashUpstreams(sortedIDs(sim), gap, 4*time.Second)
					sim.advance(20 * time.Second)
					for i := range contents {
						if uri := fmt.Sprintf("/one/c%d", i); sim.wasBlocked(&route, uri) {
							t.Errorf("%s was blocked", uri)
						}
					}
					sent, served := 0, 0
					for _, c := range sim.answers {
						if c.startedAt > sim.now.Add(-10*time.Second) {
							sent++
							if c.answer.Outcome == model.Answered {
								served++
							}
						}
					}
					if float64(served) < 0.9*float64(sent) {
						t.Errorf("%d of %d requests were served once the upstreams were back", served, sent)
					}
				})
			}
		}
	}
}

// TestCrashingContentOfCallersThatLeave guards against content that crashes each upstream that runs it
// and is never blocked, because its callers leave before the crash.
func TestCrashingContentOfCallersThatLeave(t *testing.T) {
	for _, c := range []struct {
		name              string
		leave, crashDelay time.Duration
		drops             bool
	}{
		{"before the crash", 60 * time.Millisecond, 100 * time.Millisecond, false},
		{"at once", time.Millisecond, 5 * time.Millisecond, false},
		{"long before, and the upstream goes on", 60 * time.Millisecond, 900 * time.Millisecond, false},
		{"within the grace, and the upstream drops the request later", 60 * time.Millisecond, 300 * time.Millisecond, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			const uri = "/one/bad"
			sim := newSimulation(t, 82, defaultSettings, 4)
			sim.addService("single", 15, 3, 120*time.Millisecond)
			sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
			for _, u := range sim.upstreams {
				u.crashOn, u.crashDelay, u.restartAfter, u.dropsAbandoned = uri, c.crashDelay, 2*time.Second, c.drops
			}
			sim.sendContents(4, 20, 25*time.Second)
			for k := range 100 {
				sim.schedule(4*time.Second+time.Duration(k)*180*time.Millisecond, func() { sim.sendAndLeave(sim.nodes[k%4], uri, c.leave) })
			}
			sim.advance(26 * time.Second)
			if late := sim.lateRuns(uri); late > maxLateRuns {
				t.Errorf("the request reached upstreams %d times in all, %d of them later than %v after the third crash", len(sim.runTimes[uri]), late, crashStability)
			}
		})
	}
}

// TestVerdictsOfSeveralNodesBlockOnce guards against a block that lasts several times as long because
// several nodes condemn the same content, one shortly after the other.
func TestVerdictsOfSeveralNodesBlockOnce(t *testing.T) {
	sim := newSimulation(t, 83, defaultSettings, 2)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 1)}})
	content := blame.Content{Route: "one", Fingerprint: 7}
	for i, n := range sim.nodes {
		n.step(func(ctx *step.Context) {
			n.state.blockContent(ctx, blame.Crash{Content: content, Upstream: "single/u0", Attempt: model.AttemptID{Number: uint64(i + 1)}})
		})
		sim.advance(50 * time.Millisecond)
	}
	for i, n := range sim.nodes {
		if left := n.state.quarantine.BlockedUntil(content.Route, content.Fingerprint).Sub(sim.now); left <= 0 || left > firstBlock {
			t.Errorf("node %d blocks the content for another %v, want at most %v in all", i, left, firstBlock)
		}
	}
}

// crashOrder is a random order of crashes.
type crashOrder struct {
	sim        *simulation
	route      model.Route
	contents   int
	guilty     []string
	crashDelay time.Duration
}

// drawCrashOrder draws an order of crashes: of single upstreams, a failure domain or all of them,
// with and without content that crashes upstreams, whose callers stay or leave.
func drawCrashOrder(r *rapid.T, t *testing.T) *crashOrder {
	milliseconds := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(r, label)) * time.Millisecond
	}
	o := &crashOrder{route: singleRoute(true, rapid.IntRange(1, 3).Draw(r, "attempts"))}
	o.sim = newSimulation(t, rapid.Uint64().Draw(r, "seed"), defaultSettings, rapid.IntRange(1, 4).Draw(r, "nodes"))
	upstreams := rapid.IntRange(3, 12).Draw(r, "upstreams")
	o.sim.addService("single", upstreams, 3, milliseconds(10, 150, "service time"))
	o.sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{o.route}})
	// Entry nodes keep a connection to each upstream.
	for _, n := range o.sim.nodes {
		n.step(func(ctx *step.Context) { n.state.Start(ctx) })
	}
	o.contents = rapid.IntRange(1, 6).Draw(r, "contents")
	o.sim.sendContents(o.contents, float64(rapid.IntRange(10, 80).Draw(r, "rate")), crashOrderTime)
	o.crashDelay = milliseconds(1, 800, "crash delay")
	restart := milliseconds(1000, 3000, "restart")
	drops := rapid.Bool().Draw(r, "drops abandoned requests")
	for _, u := range o.sim.upstreams {
		u.crashOn, u.crashDelay, u.restartAfter, u.dropsAbandoned = "/one/bad", o.crashDelay, restart, drops
	}
	for i := range rapid.IntRange(0, 2).Draw(r, "guilty") {
		uri := fmt.Sprintf("/one/bad%d", i)
		o.guilty = append(o.guilty, uri)
		pace := milliseconds(150, 1500, "pace")
		leave := milliseconds(1, 900, "leave")
		leaveShare := rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(r, "leave share")
		for k := range int(guiltyTime / pace) {
			o.sim.schedule(guiltyFrom+time.Duration(k)*pace, func() {
				after := leave
				if o.sim.random.Float64() >= leaveShare {
					after = 0
				}
				o.sim.sendAndLeave(o.sim.nodes[k%len(o.sim.nodes)], uri, after)
			})
		}
	}
	for range rapid.IntRange(0, 3).Draw(r, "natural crashes") {
		ids := rapid.Permutation(sortedIDs(o.sim)).Draw(r, "order")
		ids = ids[:rapid.IntRange(1, len(ids)).Draw(r, "crashed")]
		gap, down := milliseconds(0, 2000, "gap"), milliseconds(500, 4000, "down")
		o.sim.schedule(milliseconds(1000, 12000, "crash at"), func() { o.sim.crashUpstreams(ids, gap, down) })
	}
	return o
}

// Times of a crash order.
const (
	crashOrderTime = 40 * time.Second
	guiltyFrom     = 2 * time.Second
	guiltyTime     = 20 * time.Second
)

// longestHold returns the longest time in which all requests for a content were refused for their
// content, by any node.
func (o *crashOrder) longestHold(uri string) time.Duration {
	answers := slices.Clone(o.sim.answers)
	slices.SortFunc(answers, func(a, b *call) int { return int(a.startedAt - b.startedAt) })
	longest, from := time.Duration(0), model.Instant(0)
	for _, c := range answers {
		if c.path != uri {
			continue
		}
		if f := c.answer.Failure; f == nil || f.Code != model.CodeQuarantined {
			from = 0
			continue
		}
		if from == 0 {
			from = c.startedAt
		}
		longest = max(longest, c.startedAt.Sub(from))
	}
	return longest
}

// TestBlameInAnyCrashOrder guards against both wrong inferences from crashes: content that crashes
// nothing is refused for long, or content that crashes upstreams reaches them again and again.
func TestBlameInAnyCrashOrder(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		o := drawCrashOrder(r, t)
		o.sim.advance(crashOrderTime + 3*time.Second)
		for i := range o.contents {
			uri := fmt.Sprintf("/one/c%d", i)
			if held := o.longestHold(uri); held > maxInnocentHold {
				r.Errorf("%s crashed nothing and was refused for %v", uri, held)
			}
		}
		for _, uri := range o.guilty {
			if late := o.sim.lateRuns(uri); late > maxLateRuns {
				r.Errorf("%s reached upstreams %d times later than %v after its third crash: %s", uri, late, crashStability, o.runTimes(uri))
			}
		}
	})
}

// runTimes lists when a URI ran, in seconds since the start.
func (o *crashOrder) runTimes(uri string) string {
	var b strings.Builder
	for _, at := range o.sim.runTimes[uri] {
		fmt.Fprintf(&b, "%.2f ", at.Sub(model.Instant(1000*time.Second)).Seconds())
	}
	return b.String()
}
