package relay

import (
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// noticeDelay is the time in which an upstream's notice reaches each node of a simulation
// under load.
const noticeDelay = 200 * time.Millisecond

// TestWorkForLeavingUpstreamDuringRegistryOutage guards against requests to an upstream whose
// replies state that it is leaving, while the registry's view of a node is too old to show it.
func TestWorkForLeavingUpstreamDuringRegistryOutage(t *testing.T) {
	sim := newSimulation(t, 61, defaultSettings, 3)
	sim.addService("single", 3, 2, 10*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	sim.scheduleLoad("/one/x", 1500*time.Millisecond, 100, 4*time.Second)
	sim.advance(time.Second)
	leaving := sim.replica("single", 0)
	leaving.notice.Leaving = true
	sim.advance(noticeDelay)
	before := leaving.arrivals
	sim.advance(4 * time.Second)
	if late := leaving.arrivals - before; late > 0 {
		t.Errorf("%d requests reached an upstream later than %v after its notice", late, noticeDelay)
	}
	if served := sim.stats(250 * time.Millisecond); served.onTime < 395 {
		t.Errorf("%d of 400 requests were answered on time beside two other upstreams", served.onTime)
	}
}

// TestWaitingWorkMovesFromLeavingUpstream guards against requests that wait on a node for a
// slot of an upstream and are sent after its notice.
func TestWaitingWorkMovesFromLeavingUpstream(t *testing.T) {
	sim := newSimulation(t, 62, defaultSettings, 1)
	sim.addService("single", 2, 1, 40*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(false, 1)}})
	sim.advance(time.Second)
	sim.replica("single", 0).notice.Leaving = true
	for range 5 {
		sim.sendRequest(sim.nodes[0], "/one/x", 1500*time.Millisecond)
	}
	sim.advance(2 * time.Second)
	// One request in the slot and one that is pipelined may be there before the first reply.
	if got := sim.replica("single", 0).arrivals; got > 1+pipelinedAttempts {
		t.Errorf("%d requests reached the leaving upstream, want those sent before its first reply only", got)
	}
	for _, c := range sim.answers {
		if c.answer.Outcome == model.Unknown {
			t.Errorf("%s: %+v", c.id, c.answer)
		}
	}
}

// TestWorkWithinRetryAfter guards against requests to an upstream that has refused one and named
// a time for which it wants none, beside others of its service.
func TestWorkWithinRetryAfter(t *testing.T) {
	const retryAfter = 3 * time.Second
	sim := newSimulation(t, 63, defaultSettings, 3)
	sim.addService("single", 3, 2, 10*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	sim.scheduleLoad("/one/x", 1500*time.Millisecond, 100, 8*time.Second)
	sim.advance(time.Second)
	refusing := sim.replica("single", 0)
	refusing.refuseShare, refusing.notice.RetryAfter = 1, retryAfter
	sim.advance(noticeDelay)
	before := refusing.arrivals
	sim.advance(retryAfter - 2*noticeDelay)
	if late := refusing.arrivals - before; late > 0 {
		t.Errorf("%d requests reached the upstream later than %v after it had asked for none", late, noticeDelay)
	}
	refusing.refuseShare = 0
	before = refusing.runs
	sim.advance(5 * time.Second)
	if refusing.runs == before {
		t.Error("no request ran after the end of the time")
	}
	if served := sim.stats(250 * time.Millisecond); served.onTime < 790 {
		t.Errorf("%d of 800 requests were answered on time beside two other upstreams", served.onTime)
	}
}

// TestServiceThatAsksForNoWork checks that requests are refused at once while all upstreams want
// none, and that callers are told to return after that.
func TestServiceThatAsksForNoWork(t *testing.T) {
	const retryAfter = 2 * time.Second
	sim := newSimulation(t, 64, defaultSettings, 1)
	sim.addService("single", 2, 2, 10*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 3)}})
	sim.advance(time.Second)
	for i := range 2 {
		sim.replica("single", i).refuseShare, sim.replica("single", i).notice.RetryAfter = 1, retryAfter
	}
	sim.sendRequest(sim.nodes[0], "/one/x", 1500*time.Millisecond)
	sim.advance(noticeDelay)
	for i := range 2 {
		if got := sim.replica("single", i).arrivals; got != 1 {
			t.Fatalf("upstream %d got %d requests, want the one that it refused", i, got)
		}
	}
	c := sim.sendRequest(sim.nodes[0], "/one/y", 1500*time.Millisecond)
	left := retryAfter - noticeDelay
	if c.answer.Outcome != model.NotRun || c.answer.RetryAfter < left-noticeDelay {
		t.Errorf("got %+v, want a refusal at once with a retry time of about %v", c.answer, left)
	}
}

// TestLapsedRegistrationForgetsNotice guards against requests to an upstream that leaves or wants
// none, after its registration has lapsed and come back.
func TestLapsedRegistrationForgetsNotice(t *testing.T) {
	sim := newSimulation(t, 65, defaultSettings, 1)
	sim.addService("single", 3, 2, 10*time.Millisecond)
	table := &model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}}
	sim.register(table)
	sim.scheduleLoad("/one/x", 1500*time.Millisecond, 100, 4*time.Second)
	sim.advance(time.Second)
	leaving, refusing := sim.replica("single", 0), sim.replica("single", 1)
	leaving.notice.Leaving = true
	refusing.refuseShare, refusing.notice.RetryAfter = 1, time.Minute
	sim.advance(time.Second)
	for id, u := range sim.upstreams {
		if u != sim.replica("single", 2) {
			delete(sim.upstreams, id)
		}
	}
	sim.register(table)
	sim.advance(100 * time.Millisecond)
	sim.upstreams[leaving.id], sim.upstreams[refusing.id] = leaving, refusing
	sim.register(table)
	before := leaving.arrivals + refusing.arrivals
	sim.advance(3 * time.Second)
	if late := leaving.arrivals + refusing.arrivals - before; late > 0 {
		t.Errorf("%d requests reached upstreams after their notices, once they were registered again", late)
	}
}
