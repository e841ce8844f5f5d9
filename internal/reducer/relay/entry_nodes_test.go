package relay

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// setEntryNodes tells all nodes that callers use only the first ones.
func (sim *simulation) setEntryNodes(count int) {
	members := make([]model.Member, len(sim.nodes))
	for i, n := range sim.nodes {
		members[i] = n.ctx.Self
	}
	for _, n := range sim.nodes {
		n.step(func(ctx *step.Context) {
			n.state.SetMembers(ctx, members, members[:count])
			n.state.Start(ctx)
		})
	}
}

// quickTarget is the target latency of a route whose answers are small.
const quickTarget = 40 * time.Millisecond

// runFewRequests runs a load of one request a second for each node of a large fleet. The
// requests fan out to ten shards whose replicas pause, and whose idle connections end after
// a second. It returns the statistics of the answers.
func runFewRequests(t *testing.T, entryNodes int) loadStats {
	sim := newSimulation(t, 11, defaultSettings, 40)
	sim.idleTimeout = 1500 * time.Millisecond
	table := sim.addGatherRoute(10, 2500*time.Microsecond)
	table.Routes[0].TargetLatency = quickTarget
	sim.register(table)
	sim.setEntryNodes(entryNodes)
	schedulePauses(sim, 2400*time.Millisecond, 100*time.Millisecond)
	sim.nodes = sim.nodes[:entryNodes]
	sim.scheduleLoad("/wide/x", 250*time.Millisecond, 40, 9*time.Second)
	sim.advance(4 * time.Second)
	sim.resetAnswers()
	sim.advance(6 * time.Second)
	return sim.stats(quickTarget)
}

// TestFewRequestsInLargeFleet replays the load of a large fleet: one request a second for
// each node. Sent to a few entry nodes instead, the requests find open connections and
// nodes that know when a hedge is due.
func TestFewRequestsInLargeFleet(t *testing.T) {
	spread, subset := runFewRequests(t, 40), runFewRequests(t, 8)
	t.Logf("over all nodes %+v", spread)
	t.Logf("over eight nodes %+v", subset)
	if subset.score <= spread.score || subset.score < 0.95 {
		t.Errorf("score %.3f over all nodes, %.3f over eight, want 0.95", spread.score, subset.score)
	}
}

// TestSharesOfConnections checks that the nodes together open no more connections than an
// upstream accepts, and that entry nodes get most of them.
func TestSharesOfConnections(t *testing.T) {
	for _, c := range []struct{ accepted, entry, others int }{
		{195, 15, 103}, {62, 9, 15}, {70, 12, 19}, {26, 4, 0}, {195, 64, 100}, {26, 1, 0},
	} {
		entry := sharing{entryNodes: c.entry, otherNodes: c.others, isEntry: true}
		other := sharing{entryNodes: c.entry, otherNodes: c.others}
		total := c.entry*entry.connections(c.accepted) + c.others*other.connections(c.accepted)
		if total > c.accepted {
			t.Errorf("%+v: %d connections in all", c, total)
		}
		if c.others > 0 && entry.connections(c.accepted) < other.connections(c.accepted) {
			t.Errorf("%+v: an entry node has %d connections", c, entry.connections(c.accepted))
		}
		slack := float64(c.entry)*entry.slackShare() + float64(c.others)*other.slackShare()
		if slack > 1+1e-9 {
			t.Errorf("%+v: the shares of the slack add up to %g", c, slack)
		}
	}
}

// TestEntryNodeConnectsAhead guards against the first requests after a start, or after a
// new version of the index, that wait for handshakes: an entry node connects to upstreams
// before requests come, another node does not, and neither does a node that has just
// started and may not know the others yet.
func TestEntryNodeConnectsAhead(t *testing.T) {
	sim := newSimulation(t, 12, defaultSettings, 6)
	sim.register(sim.addGatherRoute(10, time.Millisecond))
	sim.setEntryNodes(3)
	sim.advance(2 * time.Second)
	for i, n := range sim.nodes {
		if got, want := len(n.connections), map[bool]int{true: 30, false: 0}[i < 3]; got != want {
			t.Errorf("node %d has %d connections, want %d", i, got, want)
		}
	}
	alone := newSimulation(t, 13, defaultSettings, 1)
	alone.register(alone.addGatherRoute(10, time.Millisecond))
	alone.setEntryNodes(1)
	alone.advance(aloneDelay - warmIdleInterval)
	if got := len(alone.nodes[0].connections); got != 0 {
		t.Errorf("a node that has just started has %d connections", got)
	}
	alone.advance(2 * time.Second)
	if got := len(alone.nodes[0].connections); got != 30 {
		t.Errorf("a node without others has %d connections, want 30", got)
	}
}

// startWithLostReplies returns a simulation of a large fleet in which one node learns the
// upstreams before it learns whether callers use it, as after a loss of power. The first
// replica of each shard loses its replies.
func startWithLostReplies(t *testing.T, isEntry bool) (*simulation, *node) {
	settings := Settings{ExtraAttemptBudget: 20, ExtraAttemptSlack: 630, BudgetWindow: 10 * time.Second}
	sim := newSimulation(t, 21, settings, 118)
	n := sim.nodes[0]
	members := make([]model.Member, len(sim.nodes))
	for i, other := range sim.nodes {
		members[i] = other.ctx.Self
	}
	entry := members[1:16]
	n.step(func(ctx *step.Context) { n.state.SetMembers(ctx, members, entry) })
	sim.nodes = sim.nodes[:1]
	sim.register(sim.addGatherRoute(10, time.Millisecond))
	if isEntry {
		entry = members[:15]
		n.step(func(ctx *step.Context) { n.state.SetMembers(ctx, members, entry) })
	}
	for shard := range 10 {
		sim.replica(fmt.Sprintf("s%d", shard), 0).loseShare = 1
	}
	return sim, n
}

// TestSlackOfNodeThatHasJustStarted guards against an entry node that is granted the
// initial slack of another node, because it learns the upstreams first: it could not retry
// or hedge for the first seconds after a loss of power.
func TestSlackOfNodeThatHasJustStarted(t *testing.T) {
	sim, n := startWithLostReplies(t, true)
	c := sim.sendRequest(n, "/wide/x", 400*time.Millisecond)
	sim.advance(400 * time.Millisecond)
	if c.answer.Outcome != model.Answered || c.answer.Gathered.Missing != 0 {
		t.Errorf("got %+v after %v", c.answer, c.elapsed)
	}
}

// TestEarnedExtraAttemptsInLargeFleet guards against nodes whose share of the slack is
// below one attempt: with callers that hold an earlier entry reply they must still be able
// to use the extra attempts that their own requests earn.
func TestEarnedExtraAttemptsInLargeFleet(t *testing.T) {
	_, n := startWithLostReplies(t, false)
	svc := n.state.ensureService("s0")
	taken := 0
	const requests = 100
	n.step(func(ctx *step.Context) {
		for range requests {
			n.state.depositFirst(ctx, svc)
			if n.state.takeExtra(ctx, svc, false) {
				taken++
			}
		}
	})
	if limit := n.state.extraLimits(); float64(taken) > limit.Share.Of(requests)+limit.Burst || taken < requests/10 {
		t.Errorf("%d extra attempts for %d requests, want a share of %v", taken, requests, limit.Share)
	}
}
