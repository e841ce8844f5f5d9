package relay

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestRequestRunsTwiceAfterRepeatedRefusal guards against a request that is sent again to the
// upstream that refused it, over the connection on which a late copy of the refusal is taken for
// the second reply: the upstream runs it, and the node sends it once more or answers "not run".
func TestRequestRunsTwiceAfterRepeatedRefusal(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		sim := newSimulation(t, rapid.Uint64().Draw(r, "seed"), defaultSettings, 2)
		sim.addService("single", rapid.IntRange(1, 3).Draw(r, "upstreams"), 3, 20*time.Millisecond)
		for _, id := range sortedIDs(sim) {
			sim.upstreams[id].refuseShare = rapid.Float64Range(0, 0.6).Draw(r, "refuse")
			sim.upstreams[id].repeatShare = rapid.Float64Range(0, 1).Draw(r, "repeat")
			sim.upstreams[id].loseShare = rapid.Float64Range(0, 0.1).Draw(r, "lose")
		}
		attempts := rapid.IntRange(1, 3).Draw(r, "attempts")
		repeatable := rapid.Bool().Draw(r, "repeatable")
		sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(repeatable, attempts)}})
		sim.scheduleLoad("/one/x", 1500*time.Millisecond, 100, time.Second)
		sim.advance(4 * time.Second)
		if !repeatable {
			attempts = 1
		}
		for _, c := range sim.answers {
			if c.runs["single"] > attempts {
				r.Fatalf("%s ran %d times, want at most %d", c.id, c.runs["single"], attempts)
			}
			if c.answer.Outcome == model.NotRun && c.runs["single"] > 0 {
				r.Fatalf("%s was refused as not run but ran", c.id)
			}
		}
	})
}

// TestResendWithoutRoomForConnection checks that a part that is offered to the same upstream again
// gets a new connection when the pool has as many as it may, and that others need not wait for it.
func TestResendWithoutRoomForConnection(t *testing.T) {
	sim := newSimulation(t, 71, defaultSettings, 1)
	sim.addService("single", 1, 3, 20*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(false, 1)}})
	n := sim.nodes[0]
	for _, pool := range n.state.pools {
		pool.maxConnections = 1
	}
	u := sim.replica("single", 0)
	u.refuseShare = 1
	c := sim.sendRequest(n, "/one/x", 1500*time.Millisecond)
	sim.schedule(handshake+4*oneWay, func() { u.refuseShare = 0 })
	sim.advance(time.Second)
	if c.answer.Outcome != model.Answered || c.runs["single"] != 1 || u.arrivals != 2 {
		t.Errorf("got %+v after %d runs and %d arrivals", c.answer, c.runs["single"], u.arrivals)
	}
}
