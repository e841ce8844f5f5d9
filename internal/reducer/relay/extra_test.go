package relay

import (
	"testing"
	"time"
)

// scarceBudget is the budget of current deployments, which is refilled over a window.
var scarceBudget = Settings{ExtraAttemptBudget: 20, ExtraAttemptSlack: 56, BudgetWindow: 10 * time.Second}

// runRefusingShards runs a load on ten shards whose upstreams refuse a share of the requests
// although they have free slots. One of ten parts may be missing from an answer.
func runRefusingShards(t *testing.T, refused float64) loadStats {
	sim := newSimulation(t, 21, scarceBudget, 4)
	sim.register(sim.addGatherRoute(10, 2*time.Millisecond))
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 180, 3*time.Second)
	sim.advance(3 * time.Second)
	for _, u := range sim.upstreams {
		u.refuseShare = refused
	}
	// The slack of the calm seconds is spent before the load is counted.
	sim.scheduleLoad("/wide/y", 400*time.Millisecond, 180, 10*time.Second)
	sim.advance(10 * time.Second)
	sim.resetAnswers()
	sim.scheduleLoad("/wide/z", 400*time.Millisecond, 180, 10*time.Second)
	sim.advance(11 * time.Second)
	return sim.stats(wideRouteTarget)
}

// TestRefusingUpstreams replays upstreams that refuse requests while their health is good. The
// budget does not suffice to retry every refused part, but it does suffice for those without
// which an answer falls short of its least coverage: with a fifth refused, these are 1.4 of ten
// parts a request, and the budget is 1.7.
func TestRefusingUpstreams(t *testing.T) {
	f := runRefusingShards(t, 0.2)
	t.Logf("%+v", f)
	if f.onTime < f.requests*97/100 {
		t.Errorf("%d of %d requests were answered on time", f.onTime, f.requests)
	}
}

// TestLastUpstreamRefuses replays two shards of which one upstream each is left, which refuses
// a third of its requests although it has free slots. An answer may lack one of ten parts, so
// that every ninth request would fail if the last upstream was not asked again.
func TestLastUpstreamRefuses(t *testing.T) {
	sim := newSimulation(t, 22, scarceBudget, 4)
	sim.register(sim.addGatherRoute(10, 2*time.Millisecond))
	sim.stopReplicas("s0/u0", "s0/u1", "s1/u0", "s1/u1")
	sim.replica("s0", 2).refuseShare, sim.replica("s1", 2).refuseShare = 1.0/3, 1.0/3
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 180, 3*time.Second)
	sim.advance(3 * time.Second)
	sim.resetAnswers()
	sim.scheduleLoad("/wide/y", 400*time.Millisecond, 180, 10*time.Second)
	sim.advance(11 * time.Second)
	f := sim.stats(wideRouteTarget)
	t.Logf("%+v", f)
	if f.onTime < f.requests*97/100 {
		t.Errorf("%d of %d requests were answered on time", f.onTime, f.requests)
	}
}
