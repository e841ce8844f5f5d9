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
