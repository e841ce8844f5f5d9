package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// wideDomains are the failure domains of a deployment with more domains than replicas of
// a shard.
var wideDomains = []model.FailureDomain{"a", "b", "c", "d"}

// wideTarget is the target latency of the route in newWideSimulation.
const wideTarget = 120 * time.Millisecond

// newWideSimulation returns a simulation of eight nodes in four domains with three
// replicas of each shard, so that a quarter of the shards have none in a node's domain.
func newWideSimulation(t *testing.T, seed uint64, shards int, delegation bool) *simulation {
	sim := newSimulation(t, seed, defaultSettings, 8)
	for i, n := range sim.nodes {
		n.ctx.Self.FailureDomain = wideDomains[i%len(wideDomains)]
		if delegation {
			n.ctx.Self.PeerAddress = string(n.ctx.Self.Host)
		}
	}
	sim.setMembers()
	table := sim.addGatherRoute(shards, 5*time.Millisecond)
	table.Routes[0].TargetLatency = wideTarget
	for _, n := range sim.nodes {
		n.step(func(ctx *step.Context) {
			n.state.HandleRoutes(ctx, table)
			n.state.HandleUpstreams(ctx, sim.wideRegistrations(shards))
		})
	}
	// The helpers reply to their greetings.
	sim.advance(2*oneWay + time.Millisecond)
	return sim
}

// wideRegistrations returns registrations that spread three replicas of each shard over
// the four domains in turn.
func (sim *simulation) wideRegistrations(shards int) []model.Registration {
	var list []model.Registration
	for shard := range shards {
		for i := range 3 {
			id := sim.upstreamID(fmt.Sprintf("s%d", shard), i)
			list = append(list, model.Registration{
				Upstream: model.Upstream{
					ID: model.UpstreamID(id), Address: id, FailureDomain: wideDomains[(shard+i)%len(wideDomains)], Slots: 2, MaxConnections: 62,
				},
				Instance: id,
			})
		}
	}
	return list
}

// countRemote counts the requests that nodes send to upstreams of other domains.
func (sim *simulation) countRemote(count *int) {
	for _, n := range sim.nodes {
		n.onSend = func(e effect.SendForward) {
			pool := n.state.connections[e.Connection].pool
			if pool.replica.Domain != n.ctx.Self.FailureDomain {
				*count++
			}
		}
	}
}

// checkGathered checks that a gathered answer includes each of its parts once and has the
// right records.
func checkGathered(t *testing.T, c *call, shards, top int) {
	t.Helper()
	g := c.answer.Gathered
	if g == nil {
		return
	}
	if len(g.Signatures)+g.Missing != shards {
		t.Fatalf("%s: %d signatures and %d missing, want %d parts in all", c.id, len(g.Signatures), g.Missing, shards)
	}
	var records []string
	seen := make(map[string]bool)
	for _, signature := range g.Signatures {
		service, rest, _ := strings.Cut(signature, "/")
		if seen[service] || !strings.HasSuffix(rest, ":"+c.id) {
			t.Fatalf("%s: signatures %v", c.id, g.Signatures)
		}
		seen[service] = true
		records = append(records, fmt.Sprintf("%-16s", service))
	}
	slices.Sort(records)
	slices.Reverse(records)
	if want := strings.Join(records[:min(top, len(records))], ""); want != string(g.Records) {
		t.Fatalf("%s: records %q, want %q", c.id, g.Records, want)
	}
}

// runWideLoad runs a load on 24 shards and returns its statistics and the number of
// requests that crossed between domains. It also checks that no node keeps state of
// requests that have ended.
func runWideLoad(t *testing.T, delegation bool, injectFaults func(sim *simulation)) (f loadStats, remote int) {
	const shards = 24
	sim := newWideSimulation(t, 31, shards, delegation)
	sim.countRemote(&remote)
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 100, 6*time.Second)
	sim.advance(2 * time.Second)
	sim.resetAnswers()
	remote = 0
	injectFaults(sim)
	sim.advance(6 * time.Second)
	if len(sim.calls) != 0 {
		t.Fatalf("%d requests were not answered", len(sim.calls))
	}
	for _, c := range sim.answers {
		checkGathered(t, c, shards, 5)
	}
	for _, n := range sim.nodes {
		if len(n.state.delegations)+len(n.state.subqueries)+len(n.state.requests) != 0 {
			t.Errorf("%s keeps %d delegations, %d subqueries and %d requests", n.ctx.Self.Host,
				len(n.state.delegations), len(n.state.subqueries), len(n.state.requests))
		}
	}
	return sim.stats(wideTarget), remote
}

// TestLargeRequestsAreNotDelegated guards against large requests that queue up for another node, or
// exceed the size of a frame and so end the stream on which the requests of all callers go.
func TestLargeRequestsAreNotDelegated(t *testing.T) {
	const shards = 24
	for _, c := range []struct {
		size      int
		delegates bool
	}{{1, true}, {maxDelegatedBytes, false}} {
		sim := newWideSimulation(t, 31, shards, true)
		n := sim.nodes[0]
		before := n.state.nextDelegation
		sim.sendRequest(n, "/wide/"+strings.Repeat("x", c.size), 400*time.Millisecond)
		sim.advance(time.Second)
		if got := n.state.nextDelegation > before; got != c.delegates {
			t.Errorf("request of %d bytes: delegated %v, want %v", c.size, got, c.delegates)
		}
		if len(sim.answers) != 1 || sim.answers[0].answer.Gathered == nil {
			t.Errorf("request of %d bytes: no gathered answer", c.size)
		}
	}
}

// TestDelegatedShards checks that delegation sends fewer requests between domains without
// worse answers, if a quarter of the shards have no replica in the node's domain.
func TestDelegatedShards(t *testing.T) {
	for name, injectFaults := range map[string]func(sim *simulation){
		"no faults": func(*simulation) {},
		"pauses":    func(sim *simulation) { schedulePauses(sim, 2400*time.Millisecond, 100*time.Millisecond) },
		"partial failures": func(sim *simulation) {
			for i := range 8 {
				sim.replica(fmt.Sprintf("s%d", i), 0).refuseShare = 0.5
				sim.replica(fmt.Sprintf("s%d", i), 1).loseShare = 0.2
			}
		},
		"frozen helper": func(sim *simulation) { sim.nodes[1].frozen = true },
	} {
		t.Run(name, func(t *testing.T) {
			direct, directRemote := runWideLoad(t, false, injectFaults)
			delegated, delegatedRemote := runWideLoad(t, true, injectFaults)
			t.Logf("direct %+v, %d remote", direct, directRemote)
			t.Logf("delegated %+v, %d remote", delegated, delegatedRemote)
			if delegatedRemote >= directRemote || name == "no faults" && delegatedRemote > 0 {
				t.Errorf("%d requests crossed between domains, %d without delegation", delegatedRemote, directRemote)
			}
			if delegated.score < direct.score-0.01 {
				t.Errorf("score %.3f, %.3f without delegation", delegated.score, direct.score)
			}
			if extra := float64(delegated.attempts)/float64(24*delegated.requests) - 1; extra > 0.2 {
				t.Errorf("%.3f extra attempts for each first attempt", extra)
			}
		})
	}
}

// TestSubqueryOfAnotherIncarnation checks that reports which do not match an open
// delegation are ignored. A report to an earlier incarnation of the node may carry a
// number that is in use again, since the numbers restart with each incarnation.
func TestSubqueryOfAnotherIncarnation(t *testing.T) {
	sim := newWideSimulation(t, 5, 24, true)
	n := sim.nodes[0]
	c := sim.sendRequest(n, "/wide/x", 400*time.Millisecond)
	if len(n.state.delegations) != 1 {
		t.Fatalf("%d delegations, want 1", len(n.state.delegations))
	}
	d := n.state.delegations[1]
	for _, m := range []message.SubqueryReport{
		{Number: 1, RequestID: "another", Answered: []message.SubqueryPart{{Index: 0, Signature: "forged"}}, Records: []byte("zzzzzzzzzzzzzzzz")},
		{Number: 1, RequestID: c.id, Answered: []message.SubqueryPart{{Index: 99, Signature: "forged"}}},
		{Number: 1, RequestID: c.id, Answered: []message.SubqueryPart{{Index: 0, Signature: "a"}, {Index: 0, Signature: "b"}}},
		{Number: 1, RequestID: c.id, Answered: []message.SubqueryPart{{Index: 0}}},
	} {
		n.step(func(ctx *step.Context) { n.state.HandleSubqueryReport(ctx, d.helper, m) })
	}
	if d.responded {
		t.Error("a report that does not match the delegation was accepted")
	}
	sim.advance(time.Second)
	checkGathered(t, c, 24, 5)
	if c.answer.Outcome != model.Answered {
		t.Errorf("got %+v", c.answer)
	}
}

// TestDelegationEndsWithCaller checks that the helpers' subqueries and their attempts end
// when the caller has gone.
func TestDelegationEndsWithCaller(t *testing.T) {
	sim := newWideSimulation(t, 6, 24, true)
	for _, u := range sim.upstreams {
		u.serviceTime = 2 * time.Second
	}
	n := sim.nodes[0]
	sim.sendRequest(n, "/wide/x", 3*time.Second)
	sim.advance(50 * time.Millisecond)
	n.step(func(ctx *step.Context) { n.state.HandleCallerGone(ctx, sim.lastCall) })
	clear(sim.calls)
	sim.advance(450 * time.Millisecond)
	for _, other := range sim.nodes {
		if len(other.state.subqueries) != 0 {
			t.Errorf("%s still runs a subquery", other.ctx.Self.Host)
		}
		for _, pool := range other.state.pools {
			if len(pool.inFlight) != 0 {
				t.Errorf("%s still has an attempt in flight at %s", other.ctx.Self.Host, pool.registration.Upstream.ID)
			}
		}
	}
}

// TestQuickRoutesAreNotDelegated checks that nothing is delegated if a route's target
// latency is short compared to the delay between domains.
func TestQuickRoutesAreNotDelegated(t *testing.T) {
	sim := newWideSimulation(t, 7, 24, true)
	for _, n := range sim.nodes {
		n.state.routes["wide"].config.TargetLatency = 60 * time.Millisecond
	}
	sim.sendRequest(sim.nodes[0], "/wide/x", 400*time.Millisecond)
	if len(sim.nodes[0].state.delegations) != 0 {
		t.Error("a quick route was delegated")
	}
}

// TestLostHelper checks that the parts at a lost helper are retried at upstreams
// immediately.
func TestLostHelper(t *testing.T) {
	sim := newWideSimulation(t, 8, 24, true)
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 100, time.Second)
	sim.advance(time.Second)
	n := sim.nodes[0]
	c := sim.sendRequest(n, "/wide/last", 400*time.Millisecond)
	var d *delegation
	for _, open := range n.state.delegations {
		d = open
	}
	if d == nil {
		t.Fatal("nothing was delegated")
	}
	for _, other := range sim.nodes {
		other.frozen = other.ctx.Self.Host == d.helper
	}
	n.step(func(ctx *step.Context) { n.state.HandlePeerLost(ctx, d.helper) })
	sim.advance(50 * time.Millisecond)
	if c.answer.Outcome != model.Answered || c.answer.Gathered.Missing != 0 || c.elapsed > 30*time.Millisecond {
		t.Errorf("got %+v after %v", c.answer, c.elapsed)
	}
	checkGathered(t, c, 24, 5)
}

// TestUnresponsiveHelpers replays the start of a fleet after a loss of power: the nodes of
// the other domains are listed, but the streams to them do not open yet. Parts must not be
// delegated to them, and must be once they reply.
func TestUnresponsiveHelpers(t *testing.T) {
	sim := newSimulation(t, 9, defaultSettings, 8)
	for i, n := range sim.nodes {
		n.ctx.Self.FailureDomain = wideDomains[i%len(wideDomains)]
		n.ctx.Self.PeerAddress = string(n.ctx.Self.Host)
		n.frozen = i > 0
	}
	table := sim.addGatherRoute(24, 5*time.Millisecond)
	table.Routes[0].TargetLatency = wideTarget
	n := sim.nodes[0]
	n.step(func(ctx *step.Context) {
		n.state.Start(ctx)
		n.state.HandleRoutes(ctx, table)
		n.state.HandleUpstreams(ctx, sim.wideRegistrations(24))
	})
	sim.setMembers()
	c := sim.sendRequest(n, "/wide/first", 400*time.Millisecond)
	if got := len(n.state.delegations); got != 0 {
		t.Errorf("%d subqueries were sent to helpers that had not replied", got)
	}
	sim.advance(100 * time.Millisecond)
	if c.answer.Outcome != model.Answered || c.answer.Gathered.Missing != 0 {
		t.Errorf("got %+v after %v", c.answer, c.elapsed)
	}
	for _, other := range sim.nodes {
		other.frozen = false
	}
	sim.advance(2 * greetingInterval)
	sim.sendRequest(n, "/wide/later", 400*time.Millisecond)
	if got := len(n.state.delegations); got != 1 {
		t.Errorf("%d subqueries after the helpers have replied, want 1", got)
	}
}

// TestRunsOfDelegatedParts guards against a helper that takes up a part again after it has
// reported its failure: the node that sent the subquery retries the part as well, so that it
// could run at more upstreams than the route permits. Most upstreams refuse, so that whole
// subqueries fail.
func TestRunsOfDelegatedParts(t *testing.T) {
	const shards = 24
	sim := newWideSimulation(t, 33, shards, true)
	for _, u := range sim.upstreams {
		u.refuseShare = 0.7
	}
	for _, n := range sim.nodes {
		n.onSend = func(e effect.SendForward) {
			shard := n.state.connections[e.Connection].pool.service.name
			for _, r := range n.state.subqueries {
				if r.incoming.ID == e.Request.ID && reportedPart(r, shard) {
					t.Fatalf("%s sends the part of %s after its report", n.ctx.Self.Host, shard)
				}
			}
		}
	}
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 50, 4*time.Second)
	sim.advance(5 * time.Second)
	for _, c := range sim.answers {
		for service, runs := range c.runs {
			if runs > 2 {
				t.Errorf("%s ran %d times at %s, 2 are permitted", c.id, runs, service)
			}
		}
	}
}

// reportedPart reports whether a subquery has already reported the part of a service.
func reportedPart(r *request, name model.ServiceName) bool {
	return slices.ContainsFunc(r.parts, func(p part) bool { return p.service.name == name && p.reported })
}
