package entry

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// drawMembers draws 1 to 12 members with any failure domain and state.
func drawMembers(t *rapid.T) []model.Member {
	states := []model.MemberState{model.Serving, model.Starting, model.Suspected, model.Leaving}
	domains := []model.FailureDomain{"d1", "d2", "d3"}
	hosts := rapid.SliceOfNDistinct(rapid.IntRange(0, 99), 1, 12, rapid.ID[int]).Draw(t, "hosts")
	members := make([]model.Member, 0, len(hosts))
	for _, h := range hosts {
		members = append(members, model.Member{
			Host:          model.HostID(rune('A' + h)),
			FailureDomain: rapid.SampledFrom(domains).Draw(t, "domain"),
			State:         rapid.SampledFrom(states).Draw(t, "state"),
		})
	}
	return members
}

func TestSubsetPrefersServingMembersAndSpreadsThem(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		s := New(Settings{SubsetSize: rapid.IntRange(1, 6).Draw(t, "size"), Dispatchers: 1})
		subset := s.Subset("counter-1", members)
		serving := membersInState(members, model.Serving)
		if len(subset) == 0 {
			t.Fatal("empty subset")
		}
		if len(serving) > 0 && len(subset) != min(len(serving), s.settings.SubsetSize) {
			t.Fatalf("subset has %d nodes of %d serving ones", len(subset), len(serving))
		}
		inDomain := make(map[model.FailureDomain]int)
		for _, m := range subset {
			if len(serving) > 0 && m.State != model.Serving {
				t.Fatalf("subset contains %s, which is %s", m.Host, m.State)
			}
			inDomain[m.FailureDomain]++
		}
		for _, m := range usableMembers(members) {
			if inDomain[m.FailureDomain] == 0 && len(subset) >= len(domainsOf(usableMembers(members))) {
				t.Fatalf("subset has no node of failure domain %s", m.FailureDomain)
			}
		}
	})
}

// domainsOf returns the failure domains of the members.
func domainsOf(members []model.Member) map[model.FailureDomain]bool {
	out := make(map[model.FailureDomain]bool)
	for _, m := range members {
		out[m.FailureDomain] = true
	}
	return out
}

func TestDispatchersAreInTheSubset(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		s := New(Settings{SubsetSize: 3, Dispatchers: 2})
		allowed := make(map[model.HostID]bool)
		for _, m := range s.Subset("counter-1", members) {
			allowed[m.Host] = true
		}
		for _, host := range s.Dispatchers("counter-1/a", members) {
			if !allowed[host] {
				t.Fatalf("dispatcher %s is not in the subset", host)
			}
		}
	})
}

func TestKeysAreProportionalToWeights(t *testing.T) {
	members := []model.Member{{Host: "a", Weight: 1, State: model.Serving}, {Host: "b", Weight: 3, State: model.Serving}}
	v := newView(members)
	const keys = 4000
	first := 0
	for i := range keys {
		if v.members[v.rank(strconv.Itoa(i), []int{0, 1})[0].index].Host == "b" {
			first++
		}
	}
	if share := float64(first) / keys; share < 0.72 || share > 0.78 {
		t.Errorf("weight 3 of 4 got a share of %.3f of the keys", share)
	}
}

// rankedHosts ranks the members for a key, as if all of them were serving.
func rankedHosts(key string, members []model.Member) []model.HostID {
	serving := slices.Clone(members)
	all := make([]int, len(members))
	for i := range serving {
		serving[i].State = model.Serving
		all[i] = i
	}
	v := newView(serving)
	hosts := make([]model.HostID, 0, len(members))
	for _, r := range v.rank(key, all) {
		hosts = append(hosts, v.members[r.index].Host)
	}
	return hosts
}

func TestLossOfAMemberMovesOnlyItsKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := drawMembers(t)
		lost := rapid.IntRange(0, len(members)-1).Draw(t, "lost")
		key := rapid.String().Draw(t, "key")
		before := rankedHosts(key, members)
		after := rankedHosts(key, slices.Delete(slices.Clone(members), lost, lost+1))
		kept := slices.DeleteFunc(before, func(host model.HostID) bool { return host == members[lost].Host })
		if !slices.Equal(kept, after) {
			t.Fatalf("order without the lost member %v became %v", kept, after)
		}
	})
}

// entryView is a fixed membership view.
type entryView []model.Member

func (v entryView) Members() []model.Member { return v }

func (v entryView) Member(model.HostID) (model.Member, bool) { return model.Member{}, false }

// askEntry returns a node's entry reply for a service.
func askEntry(s *State, self model.Member, view entryView, service string, seed uint64) effect.ReplyEntry {
	ctx := &step.Context{
		Self:   self,
		View:   view,
		Config: &model.Config{Services: []model.Service{{Name: "counter-1"}}},
		Random: rand.New(rand.NewPCG(seed, 1)),
	}
	s.HandleEntry(ctx, event.Entry{Call: 1, Service: service})
	return ctx.Effects[0].(effect.ReplyEntry)
}

func TestEntryReplies(t *testing.T) {
	view := entryView{{Host: "a", State: model.Serving}, {Host: "b", State: model.Serving}, {Host: "c", State: model.Leaving}}
	s := New(Settings{SubsetSize: 4, Dispatchers: 1, TTL: DefaultTTL})
	first := make(map[model.HostID]int)
	for seed := range uint64(200) {
		reply := askEntry(s, view[0], view, "counter-*", seed)
		if len(reply.Addresses) != 2 || reply.Session.Number != seed+1 || reply.TTL != DefaultTTL {
			t.Fatalf("reply = %+v", reply)
		}
		first[reply.Addresses[0].Host]++
	}
	if first["a"] < 60 || first["b"] < 60 {
		t.Errorf("first addresses = %v, want both nodes about equally often", first)
	}
	if reply := askEntry(s, view[2], view, "counter-1", 1); !reply.Session.IsZero() {
		t.Errorf("a leaving node opened session %s", reply.Session)
	}
	if reply := askEntry(s, view[0], view, "nothing", 1); reply.Failure == nil || reply.Failure.Code != model.CodeUnknownService {
		t.Errorf("reply = %+v", reply)
	}
}
