package dispatch

import (
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

func TestTakeoverWaitsForWhatThePreviousDispatcherHasInFlight(t *testing.T) {
	b := newBench(t, 2)
	b.placement.hosts = []model.HostID{coordinator}
	b.configure()
	b.placement.hosts = []model.HostID{self}
	b.configure()
	b.reported = 2
	b.connect()
	b.dispatch(nil)
	if len(b.sentAttempts()) != 0 {
		t.Fatal("sent while the previous dispatcher uses all slots")
	}
	b.reported = 1
	b.advance(takeoverRetry)
	b.connect()
	if got := b.state.byUpstream[upstreamA].inFlight; len(got) != 1 {
		t.Fatalf("%d in flight beside one of the previous dispatcher, want 1", len(got))
	}
}

func TestTakeoverDoesNotWaitForAStatusForever(t *testing.T) {
	b := newBench(t, 2)
	b.placement.hosts = []model.HostID{coordinator}
	b.configure()
	b.placement.hosts = []model.HostID{self}
	b.configure()
	b.reported = 100
	b.connect()
	b.dispatch(nil)
	b.advance(takeoverWait)
	b.connect()
	if got := b.state.byUpstream[upstreamA].inFlight; len(got) != 1 {
		t.Errorf("%d in flight though the wait is over, want 1", len(got))
	}
}

// TestHandoverNeverExceedsTheSlots gives an upstream from one dispatcher to
// another while both are flooded.
func TestHandoverNeverExceedsTheSlots(t *testing.T) {
	for slots := 1; slots <= 5; slots++ {
		old, heir := ready(t, slots), newBench(t, slots)
		heir.placement.hosts = []model.HostID{coordinator}
		heir.configure()
		old.placement.hosts = []model.HostID{coordinator}
		old.configure()
		heir.placement.hosts = []model.HostID{self}
		heir.configure()
		heir.connect()
		for range 2 * slots {
			old.dispatch(nil)
			heir.dispatch(nil)
			heir.state.byUpstream[upstreamA].limit.Answered(heir.now)
		}
		got := len(old.state.byUpstream[upstreamA].inFlight) + len(heir.state.byUpstream[upstreamA].inFlight)
		if got > slots {
			t.Errorf("%d in flight on %d slots", got, slots)
		}
	}
}

func TestReportsToNewMembers(t *testing.T) {
	b := ready(t, 1)
	b.view.members = append(b.view.members, model.Member{Host: "n3", State: model.Starting})
	b.configure()
	if !b.hasTo("n3") || b.hasTo(coordinator) {
		t.Errorf("effects = %+v, want a report to the new member only", b.effects)
	}
}

func TestRetiringDispatcherKeepsHalfOfTheSlotsForAWhile(t *testing.T) {
	b := ready(t, 4)
	b.placement.hosts = []model.HostID{coordinator}
	b.configure()
	for range 3 {
		b.dispatch(nil)
	}
	if got := len(b.state.byUpstream[upstreamA].inFlight); got != 2 {
		t.Fatalf("%d in flight while retiring, want 2 of 4 slots", got)
	}
	if got := b.result(); got.Status != message.StatusNotOwner {
		t.Errorf("work without a free slot: %+v", got)
	}
	b.advance(retirement)
	b.dispatch(nil)
	if got := b.result(); got.Status != message.StatusNotOwner {
		t.Errorf("new work: %+v", got)
	}
}

func TestStartingNodeDispatchesForNothing(t *testing.T) {
	b := newBench(t, 2)
	b.self = model.Starting
	b.configure()
	if len(of[effect.OpenConnection](b.effects)) != 0 {
		t.Error("a node opened connections before it knew the others")
	}
	b.self = model.Serving
	b.configure()
	if len(of[effect.OpenConnection](b.effects)) == 0 {
		t.Error("a serving node opened no connection")
	}
}

func TestRemovedUpstreamGetsNoMoreWork(t *testing.T) {
	b := ready(t, 4)
	b.config = &model.Config{}
	b.configure()
	b.dispatch(nil)
	if got := b.result(); got.Status != message.StatusNotOwner {
		t.Errorf("result = %+v", got)
	}
}

func TestReportsToMembersThatMayHaveMissedThem(t *testing.T) {
	b := ready(t, 1)
	b.view.members[1].State = model.Suspected
	b.configure()
	if b.hasTo(coordinator) {
		t.Error("reported to a suspected member")
	}
	b.view.members[1].State = model.Serving
	b.configure()
	if !b.hasTo(coordinator) {
		t.Error("no report to a member that was suspected")
	}
	b.view.members[1].Incarnation++
	b.configure()
	if !b.hasTo(coordinator) {
		t.Error("no report to a member that has started again")
	}
}

func TestLosingOwnershipFinishesWhatIsInFlight(t *testing.T) {
	b := ready(t, 1)
	b.dispatch(nil)
	sent := b.sent()
	b.dispatch(nil)
	b.placement.hosts = []model.HostID{coordinator}
	b.configure()
	if got := b.result(); got.Status != message.StatusNotOwner {
		t.Errorf("queued work: %+v, want not owner", got)
	}
	for _, c := range of[effect.CloseConnection](b.effects) {
		if c.Connection == sent.Connection {
			t.Error("closed a connection with work in flight")
		}
	}
	b.reply(sent, nil)
	if got := b.result(); got.Status != message.StatusAnswered {
		t.Errorf("sent work: %+v", got)
	}
	if closed := of[effect.CloseConnection](b.effects); len(closed) == 0 {
		t.Error("idle connections were kept")
	}
}

func TestTakeoverKeepsToHalfOfTheSlots(t *testing.T) {
	b := newBench(t, 4)
	b.placement.hosts = []model.HostID{coordinator}
	b.configure()
	b.placement.hosts = []model.HostID{self}
	b.configure()
	b.connect()
	lane := b.state.byUpstream[upstreamA]
	for range 4 {
		lane.limit.Answered(b.now)
	}
	if got := lane.freeSlots(b.now); got != 2 {
		t.Fatalf("%d free slots after a takeover, want 2 of 4", got)
	}
	if got := lane.freeSlots(b.now.Add(takeoverHold)); got != 4 {
		t.Errorf("%d free slots after the hold, want 4", got)
	}
}

func TestTakeoverHoldEndsWhenTheUpstreamIsUnused(t *testing.T) {
	b := newBench(t, 4)
	b.placement.hosts = []model.HostID{coordinator}
	b.configure()
	b.placement.hosts = []model.HostID{self}
	b.configure()
	b.connect()
	lane := b.state.byUpstream[upstreamA]
	if !lane.limit.IsHeld(b.now) {
		t.Fatal("the status of the first moment ended the hold")
	}
	b.advance(takeoverProbe)
	b.connect()
	if lane.limit.IsHeld(b.now) {
		t.Error("the hold goes on though the upstream reports no work")
	}
}
