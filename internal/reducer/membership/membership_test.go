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

// fixture drives one view through step.Context.
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

func (f *fixture) digest(incarnation model.Incarnation, sequence uint64) bool {
	member := model.Member{Host: "other", Incarnation: incarnation, State: model.Serving}
	return f.HandleDigest(f.ctx(), "other", message.Digest{Member: member, Sequence: sequence})
}

func (f *fixture) tick(d time.Duration) bool {
	f.now = f.now.Add(d)
	return f.HandleTimer(f.ctx(), digestTimer)
}

func (f *fixture) want(t *testing.T, want model.MemberState) {
	t.Helper()
	if got, _ := f.Member("other"); got.State != want {
		t.Errorf("other is %s, want %s", got.State, want)
	}
}

func TestListedHostThatWasNeverHeardIsNoMember(t *testing.T) {
	f := newFixture()
	f.HandleHostList(f.ctx(), event.HostList{Hosts: []model.HostEntry{{Host: "other", PeerAddress: "a"}}})
	if got := len(f.Members()); got != 1 {
		t.Errorf("%d members, want only the node itself", got)
	}
	if got, ok := f.Member("other"); !ok || got.PeerAddress != "a" {
		t.Errorf("Member = %+v, %v, want the address to reach it at", got, ok)
	}
}

func TestHostGoneFromTheListStaysWhileItIsHeard(t *testing.T) {
	f := newFixture()
	f.digest(1, 1)
	f.HandleHostList(f.ctx(), event.HostList{})
	f.want(t, model.Serving)
	f.tick(DefaultFailAfter)
	f.want(t, model.Failed)
	f.tick(forgetAfter)
	if _, known := f.Member("other"); known {
		t.Error("a failed host that is not listed was not forgotten")
	}
}

func TestSilenceAndHysteresis(t *testing.T) {
	f := newFixture()
	f.digest(1, 1)
	f.tick(DefaultSuspectAfter)
	f.want(t, model.Suspected)
	f.digest(1, 2)
	f.want(t, model.Suspected)
	f.digest(1, 3)
	f.want(t, model.Serving)
}

func TestEarlierLifeIsIgnored(t *testing.T) {
	f := newFixture()
	f.digest(2, 1)
	if f.digest(1, 9) {
		t.Error("a digest of an earlier life changed the view")
	}
	if !f.IsStale("other", 1) || f.IsStale("other", 2) {
		t.Error("IsStale must tell the earlier life from the present one")
	}
	f.HandlePeerLost(f.ctx(), "other")
	f.want(t, model.Suspected)
	f.digest(3, 1)
	f.want(t, model.Serving)
}

func TestOperatorTakesHostsOutOfService(t *testing.T) {
	f := newFixture()
	f.digest(1, 1)
	f.SetState(f.ctx(), model.Serving)
	f.config = &model.Config{LeavingHosts: []model.HostID{"other", "self"}}
	if !f.HandleConfig(f.ctx()) {
		t.Error("the view did not change")
	}
	f.want(t, model.Leaving)
	if got := f.Self().State; got != model.Leaving {
		t.Errorf("self is %s, want leaving", got)
	}
}

func TestRumorOrder(t *testing.T) {
	f := newFixture()
	f.digest(1, 5)
	rumor := func(sequence uint64, state model.MemberState) {
		member := model.Member{Host: "other", Incarnation: 1, State: state}
		f.learnRumors(f.now, []message.Rumor{{Member: member, Sequence: sequence}})
		f.refresh(f.now, f.config)
	}
	rumor(4, model.Failed)
	f.want(t, model.Serving)
	rumor(5, model.Suspected)
	f.want(t, model.Suspected)
	rumor(5, model.Serving)
	f.want(t, model.Suspected)
	rumor(6, model.Serving)
	f.want(t, model.Serving)
}

func TestHoldersNeedTheSameView(t *testing.T) {
	f := newFixture()
	f.digest(1, 1)
	f.noteRevision(f.now, 7)
	all := message.Holders{View: f.viewHash, Bits: []byte{0xff}}
	f.learnHolders(message.Holders{View: f.viewHash + 1, Bits: all.Bits})
	if got, _ := f.Member("other"); f.revisionOf("other") != 0 {
		t.Errorf("a set of another view was taken over: %+v", got)
	}
	f.learnHolders(all)
	if f.revisionOf("other") != 7 || f.Self().Revision != 0 {
		t.Errorf("other has %d, self %d; want 7, and nothing for the node itself", f.revisionOf("other"), f.Self().Revision)
	}
	f.digest(2, 1)
	if f.revisionOf("other") != 0 {
		t.Error("a new life kept the revision of the earlier one")
	}
}
