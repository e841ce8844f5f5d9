package relay

import (
	"strconv"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// The bound on the requests to an upstream that names a limit: in each rateWindow at most
// rateTolerance times what the limit allows, and rateSlack more, from nodes that it had told
// toldBefore earlier.
const (
	toldBefore    = 500 * time.Millisecond
	rateWindow    = 4 * time.Second
	rateTolerance = 1.5
	rateSlack     = 5
)

// nameLimit lets an upstream name a limit from now on.
func (u *upstream) nameLimit(perSecond float64) {
	u.notice.RateLimited, u.notice.RateLimit = true, perSecond
}

// mostInWindow returns the largest number of arrivals at an upstream within a rateWindow that
// begins at from or later.
func (u *upstream) mostInWindow(from model.Instant) int {
	most, first := 0, 0
	for last, at := range u.arrivedAt {
		for u.arrivedAt[first] < from && first < last || at.Sub(u.arrivedAt[first]) >= rateWindow {
			first++
		}
		if at >= from {
			most = max(most, last-first+1)
		}
	}
	return most
}

// checkNamedLimits checks the bound for all upstreams that name a limit.
func (sim *simulation) checkNamedLimits(from model.Instant) {
	sim.t.Helper()
	for _, id := range sortedIDs(sim) {
		u := sim.upstreams[id]
		if !u.notice.RateLimited {
			continue
		}
		allowed := rateTolerance*u.notice.RateLimit*rateWindow.Seconds() + rateSlack
		if got := u.mostInWindow(from); float64(got) > allowed {
			sim.t.Errorf("%s got %d requests in %v at a limit of %v a second, allowed %.0f", id, got, rateWindow, u.notice.RateLimit, allowed)
		}
	}
}

// TestNamedLimitExceeded guards against an upstream that gets more requests from all nodes
// together than the limit that it names, while others of its service take any number.
func TestNamedLimitExceeded(t *testing.T) {
	sim := newSimulation(t, 71, defaultSettings, 4)
	sim.addService("single", 3, 4, 5*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	sim.scheduleLoad("/one/x", 1500*time.Millisecond, 180, 12*time.Second)
	sim.advance(time.Second)
	sim.replica("single", 0).nameLimit(30)
	sim.replica("single", 1).nameLimit(12.5)
	from := sim.now.Add(2 * time.Second)
	sim.advance(13 * time.Second)
	sim.checkNamedLimits(from)
	if served := sim.stats(250 * time.Millisecond); served.onTime < 2140 {
		t.Errorf("%d of 2160 requests were answered on time beside an upstream without a limit", served.onTime)
	}
}

// TestNamedLimitsOfShardsExceeded is like TestNamedLimitExceeded, for gathered requests to ten
// shards. Two of three upstreams of seven shards name a limit, and all of an eighth: that shard
// can be in 90 of 150 answers a second, so that the best mean worth is
// 0.6 + 0.4*0.9*0.9 = 0.924.
func TestNamedLimitsOfShardsExceeded(t *testing.T) {
	sim := newSimulation(t, 72, defaultSettings, 4)
	sim.register(sim.addGatherRoute(10, 5*time.Millisecond))
	sim.scheduleLoad("/wide/x", 400*time.Millisecond, 150, 12*time.Second)
	sim.advance(time.Second)
	for i := range 7 {
		service := "s" + strconv.Itoa(i)
		sim.replica(service, 0).nameLimit(25)
		sim.replica(service, 1).nameLimit(40)
	}
	for i := range 3 {
		sim.replica("s7", i).nameLimit(30)
	}
	from := sim.now.Add(2 * time.Second)
	sim.advance(13 * time.Second)
	sim.checkNamedLimits(from)
	if served := sim.stats(80 * time.Millisecond); served.score < 0.9 || served.notRun > 0 {
		t.Errorf("mean worth %.3f of %d answers, %d refused", served.score, served.requests, served.notRun)
	}
}

// TestSmallNamedLimitOfLargeFleet is like TestNamedLimitExceeded, for a limit that is smaller
// than the number of nodes.
func TestSmallNamedLimitOfLargeFleet(t *testing.T) {
	sim := newSimulation(t, 73, defaultSettings, 15)
	sim.addService("single", 2, 4, 5*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	sim.scheduleLoad("/one/x", 1500*time.Millisecond, 150, 14*time.Second)
	sim.advance(time.Second)
	sim.replica("single", 0).nameLimit(2)
	from := sim.now.Add(2 * time.Second)
	sim.advance(15 * time.Second)
	sim.checkNamedLimits(from)
}

// TestNamedLimitEnds checks that an upstream gets as much as before once it no longer names a
// limit.
func TestNamedLimitEnds(t *testing.T) {
	sim := newSimulation(t, 74, defaultSettings, 4)
	sim.addService("single", 1, 4, 5*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	sim.scheduleLoad("/one/x", 1500*time.Millisecond, 100, 10*time.Second)
	sim.advance(time.Second)
	only := sim.replica("single", 0)
	only.nameLimit(0)
	sim.advance(4 * time.Second)
	sim.checkNamedLimits(sim.now.Add(-2 * time.Second))
	only.notice.RateLimited = false
	sim.advance(time.Duration(forgetAfterRequests/minRateLimit) * time.Second)
	sim.scheduleLoad("/one/y", 1500*time.Millisecond, 100, 4*time.Second)
	sim.advance(time.Second)
	sim.resetAnswers()
	sim.advance(4 * time.Second)
	if served := sim.stats(250 * time.Millisecond); served.onTime < 295 {
		t.Errorf("%d of 300 requests were answered on time after the limit has ended", served.onTime)
	}
}

// TestNamedLimitExceededBySpareNodes is like TestNamedLimitExceeded, for a large fleet in which
// callers still use all nodes, although they are told to use a few only, and for a limit that is
// about what the upstream gets.
func TestNamedLimitExceededBySpareNodes(t *testing.T) {
	sim := newSimulation(t, 75, defaultSettings, 80)
	sim.addService("single", 4, 4, 20*time.Millisecond)
	sim.register(&model.RouteTable{Version: 1, Routes: []model.Route{singleRoute(true, 2)}})
	sim.setEntryNodes(15)
	sim.scheduleLoad("/one/x", 1500*time.Millisecond, 24, 24*time.Second)
	sim.advance(time.Second)
	for i := range 3 {
		sim.replica("single", i).nameLimit(2 + float64(i))
	}
	from := sim.now.Add(4 * time.Second)
	sim.advance(25 * time.Second)
	sim.checkNamedLimits(from)
	if served := sim.stats(250 * time.Millisecond); served.onTime < 560 {
		t.Errorf("%d of 576 requests were answered on time beside an upstream without a limit", served.onTime)
	}
}
