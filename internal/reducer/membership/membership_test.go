package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// fixture drives one view with a manual clock.
type fixture struct {
	*State
	now    model.Instant
	config *model.Config
}

func newFixture() *fixture {
	settings := Settings{
		DigestInterval:   DefaultDigestInterval,
		SuspectAfter:     DefaultSuspectAfter,
		FailAfter:        DefaultFailAfter,
		HostListInterval: DefaultHostListInterval,
	}
	f := &fixture{State: New(settings, model.Member{Host: "self", Incarnation: 1}), config: &model.Config{}}
	f.now = model.Instant(time.Hour)
	return f
}

func (f *fixture) ctx() *step.Context {
	return &step.Context{
		Now: f.now, Random: rand.New(rand.NewPCG(1, 1)), Self: f.Self(), Config: f.config, View: f, Timers: &timer.Queue{},
	}
}

func (f *fixture) handleDigest(incarnation model.Incarnation, sequence uint64) bool {
	member := model.Member{Host: "other", Incarnation: incarnation, State: model.Serving}
	return f.HandleDigest(f.ctx(), "other", message.Digest{Member: member, Sequence: sequence})
}

func (f *fixture) advance(d time.Duration) bool {
	f.now = f.now.Add(d)
	return f.HandleTimer(f.ctx(), digestTimer)
}

func (f *fixture) wantState(t *testing.T, want model.MemberState) {
	t.Helper()
	if got, _ := f.Member("other"); got.State != want {
		t.Errorf("other is %s, want %s", got.State, want)
	}
}

func TestListedHostWithoutDigestIsNotMember(t *testing.T) {
	f := newFixture()
	f.HandleHostList(f.ctx(), event.HostList{Hosts: []model.HostEntry{{Host: "other", PeerAddress: "a"}}})
	if got := len(f.Members()); got != 1 {
		t.Errorf("%d members, want only the node itself", got)
	}
	if got, ok := f.Member("other"); !ok || got.PeerAddress != "a" {
		t.Errorf("Member = %+v, %v, want the listed address", got, ok)
	}
}

func TestUnlistedHostStaysUntilSilent(t *testing.T) {
	f := newFixture()
	f.handleDigest(1, 1)
	f.HandleHostList(f.ctx(), event.HostList{})
	f.wantState(t, model.Serving)
	f.advance(DefaultFailAfter)
	f.wantState(t, model.Failed)
	f.advance(expireAfter)
	if _, known := f.Member("other"); known {
		t.Error("a failed host that is not listed was not removed")
	}
}

func TestSuspectedHostNeedsTwoDigests(t *testing.T) {
	f := newFixture()
	f.handleDigest(1, 1)
	f.advance(DefaultSuspectAfter)
	f.wantState(t, model.Suspected)
	f.handleDigest(1, 2)
	f.wantState(t, model.Suspected)
	f.handleDigest(1, 3)
	f.wantState(t, model.Serving)
}

func TestEarlierIncarnationIsIgnored(t *testing.T) {
	f := newFixture()
	f.handleDigest(2, 1)
	if f.handleDigest(1, 9) {
		t.Error("a digest of an earlier incarnation changed the view")
	}
	if !f.IsStale("other", 1) || f.IsStale("other", 2) {
		t.Error("IsStale must be true for the earlier incarnation and false for the current one")
	}
	f.HandlePeerLost(f.ctx(), "other")
	f.wantState(t, model.Suspected)
	f.handleDigest(3, 1)
	f.wantState(t, model.Serving)
}

func TestConfiguredLeavingHosts(t *testing.T) {
	f := newFixture()
	f.handleDigest(1, 1)
	f.SetState(f.ctx(), model.Serving)
	f.config = &model.Config{LeavingHosts: []model.HostID{"other", "self"}}
	if !f.HandleConfig(f.ctx()) {
		t.Error("the view did not change")
	}
	f.wantState(t, model.Leaving)
	if got := f.Self().State; got != model.Leaving {
		t.Errorf("self is %s, want leaving", got)
	}
}

func TestRumorPrecedence(t *testing.T) {
	f := newFixture()
	f.handleDigest(1, 5)
	rumor := func(sequence uint64, state model.MemberState) {
		member := model.Member{Host: "other", Incarnation: 1, State: state}
		f.applyRumors(f.now, []message.Rumor{{Member: member, Sequence: sequence}})
		f.refreshView(f.now, f.config)
	}
	rumor(4, model.Failed)
	f.wantState(t, model.Serving)
	rumor(5, model.Suspected)
	f.wantState(t, model.Suspected)
	rumor(5, model.Serving)
	f.wantState(t, model.Suspected)
	rumor(6, model.Serving)
	f.wantState(t, model.Serving)
}

func TestHoldersRequireSameView(t *testing.T) {
	f := newFixture()
	f.handleDigest(1, 1)
	f.recordRevision(f.now, 7)
	all := message.Holders{View: f.viewHash, Bits: []byte{0xff}}
	f.mergeHolders(message.Holders{View: f.viewHash + 1, Bits: all.Bits})
	if got, _ := f.Member("other"); f.revisionOf("other") != 0 {
		t.Errorf("a set for another view was merged: %+v", got)
	}
	f.mergeHolders(all)
	if f.revisionOf("other") != 7 || f.Self().Revision != 0 {
		t.Errorf("other has %d, self %d; want 7, and nothing for the node itself", f.revisionOf("other"), f.Self().Revision)
	}
	f.handleDigest(2, 1)
	if f.revisionOf("other") != 0 {
		t.Error("a new incarnation kept the revision of the earlier one")
	}
}
