package dispatch

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

func TestTakeoverWaitsForWorkOfThePreviousDispatcher(t *testing.T) {
	h := newHarness(t, 2)
	h.placement.hosts = []model.HostID{coordinator}
	h.configure()
	h.placement.hosts = []model.HostID{self}
	h.configure()
	h.reportedInFlight = 2
	h.connect()
	h.dispatch(nil)
	if len(h.sentAttempts()) != 0 {
		t.Fatal("sent while the previous dispatcher used all slots")
	}
	h.reportedInFlight = 1
	h.advance(takeoverRetry)
	h.connect()
	if got := h.state.byUpstream[upstreamA].inFlight; len(got) != 1 {
		t.Fatalf("%d in flight in addition to one of the previous dispatcher, want 1", len(got))
	}
}

func TestTakeoverDoesNotWaitForAStatusForever(t *testing.T) {
	h := newHarness(t, 2)
	h.placement.hosts = []model.HostID{coordinator}
	h.configure()
	h.placement.hosts = []model.HostID{self}
	h.configure()
	h.reportedInFlight = 100
	h.connect()
	h.dispatch(nil)
	h.advance(takeoverWait)
	h.connect()
	if got := h.state.byUpstream[upstreamA].inFlight; len(got) != 1 {
		t.Errorf("%d in flight although the wait is over, want 1", len(got))
	}
}

// TestHandoverNeverExceedsTheSlots hands an upstream over from one dispatcher to
// another while both receive more work than the upstream has slots.
func TestHandoverNeverExceedsTheSlots(t *testing.T) {
	for slots := 1; slots <= 5; slots++ {
		old, successor := readyHarness(t, slots), newHarness(t, slots)
		successor.placement.hosts = []model.HostID{coordinator}
		successor.configure()
		old.placement.hosts = []model.HostID{coordinator}
		old.configure()
		successor.placement.hosts = []model.HostID{self}
		successor.configure()
		successor.connect()
		for range 2 * slots {
			old.dispatch(nil)
			successor.dispatch(nil)
			successor.state.byUpstream[upstreamA].limit.Answered(successor.now)
		}
		got := len(old.state.byUpstream[upstreamA].inFlight) + len(successor.state.byUpstream[upstreamA].inFlight)
		if got > slots {
			t.Errorf("%d in flight on %d slots", got, slots)
		}
	}
}

func TestReportsToNewMembers(t *testing.T) {
	h := readyHarness(t, 1)
	h.view.members = append(h.view.members, model.Member{Host: "n3", State: model.Starting})
	h.configure()
	if !h.reportedTo("n3") || h.reportedTo(coordinator) {
		t.Errorf("effects = %+v, want a report to the new member only", h.effects)
	}
}

func TestRetiringDispatcherKeepsHalfOfTheSlotsForAWhile(t *testing.T) {
	h := readyHarness(t, 4)
	h.placement.hosts = []model.HostID{coordinator}
	h.configure()
	for range 3 {
		h.dispatch(nil)
	}
	if got := len(h.state.byUpstream[upstreamA].inFlight); got != 2 {
		t.Fatalf("%d in flight while retiring, want 2 of 4 slots", got)
	}
	if got := h.result(); got.Status != message.StatusNotOwner {
		t.Errorf("work without a free slot: %+v", got)
	}
	h.advance(retirementPeriod)
	h.dispatch(nil)
	if got := h.result(); got.Status != message.StatusNotOwner {
		t.Errorf("new work: %+v", got)
	}
}

func TestStartingNodeOpensNoConnections(t *testing.T) {
	h := newHarness(t, 2)
	h.self = model.Starting
	h.configure()
	if len(effectsOf[effect.OpenConnection](h.effects)) != 0 {
		t.Error("a node opened connections before it knew the other members")
	}
	h.self = model.Serving
	h.configure()
	if len(effectsOf[effect.OpenConnection](h.effects)) == 0 {
		t.Error("a serving node opened no connection")
	}
}

func TestRemovedUpstreamGetsNoMoreWork(t *testing.T) {
	h := readyHarness(t, 4)
	h.config = &model.Config{}
	h.configure()
	h.dispatch(nil)
	if got := h.result(); got.Status != message.StatusNotOwner {
		t.Errorf("result = %+v", got)
	}
}

func TestReportsToMembersThatMayHaveMissedThem(t *testing.T) {
	h := readyHarness(t, 1)
	h.view.members[1].State = model.Suspected
	h.configure()
	if h.reportedTo(coordinator) {
		t.Error("reported to a suspected member")
	}
	h.view.members[1].State = model.Serving
	h.configure()
	if !h.reportedTo(coordinator) {
		t.Error("no report to a member that was suspected")
	}
	h.view.members[1].Incarnation++
	h.configure()
	if !h.reportedTo(coordinator) {
		t.Error("no report to a member that has restarted")
	}
}

func TestLosingOwnershipFinishesWorkInFlight(t *testing.T) {
	h := readyHarness(t, 1)
	h.dispatch(nil)
	sent := h.sent()
	h.dispatch(nil)
	h.placement.hosts = []model.HostID{coordinator}
	h.configure()
	if got := h.result(); got.Status != message.StatusNotOwner {
		t.Errorf("queued work: %+v, want not owner", got)
	}
	for _, c := range effectsOf[effect.CloseConnection](h.effects) {
		if c.Connection == sent.Connection {
			t.Error("closed a connection with work in flight")
		}
	}
	h.reply(sent, nil)
	if got := h.result(); got.Status != message.StatusAnswered {
		t.Errorf("sent work: %+v", got)
	}
	if closed := effectsOf[effect.CloseConnection](h.effects); len(closed) == 0 {
		t.Error("idle connections were kept")
	}
}

func TestTakeoverUsesHalfOfTheSlots(t *testing.T) {
	h := newHarness(t, 4)
	h.placement.hosts = []model.HostID{coordinator}
	h.configure()
	h.placement.hosts = []model.HostID{self}
	h.configure()
	h.connect()
	pool := h.state.byUpstream[upstreamA]
	for range 4 {
		pool.limit.Answered(h.now)
	}
	if got := pool.freeSlots(h.now); got != 2 {
		t.Fatalf("%d free slots after a takeover, want 2 of 4", got)
	}
	if got := pool.freeSlots(h.now.Add(takeoverHold)); got != 4 {
		t.Errorf("%d free slots after the hold, want 4", got)
	}
}

func TestTakeoverHoldEndsWhenTheUpstreamIsUnused(t *testing.T) {
	h := newHarness(t, 4)
	h.placement.hosts = []model.HostID{coordinator}
	h.configure()
	h.placement.hosts = []model.HostID{self}
	h.configure()
	h.connect()
	pool := h.state.byUpstream[upstreamA]
	if !pool.limit.IsHeld(h.now) {
		t.Fatal("the first status after the takeover ended the hold")
	}
	h.advance(takeoverRecheck)
	h.connect()
	if pool.limit.IsHeld(h.now) {
		t.Error("the hold continues although the upstream reports no work in flight")
	}
}
