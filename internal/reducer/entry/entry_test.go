package entry

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// drawMembers draws a membership view.
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
		serving := inState(members, model.Serving)
		if len(subset) == 0 {
			t.Fatal("no node to use")
		}
		if len(serving) > 0 && len(subset) != min(len(serving), s.settings.SubsetSize) {
			t.Fatalf("%d nodes of %d serving", len(subset), len(serving))
		}
		inDomain := make(map[model.FailureDomain]int)
		for _, m := range subset {
			if len(serving) > 0 && m.State != model.Serving {
				t.Fatalf("%s is %s", m.Host, m.State)
			}
			inDomain[m.FailureDomain]++
		}
		for _, m := range usable(members) {
			if inDomain[m.FailureDomain] == 0 && len(subset) >= len(domainsOf(usable(members))) {
				t.Fatalf("failure domain %s is left out", m.FailureDomain)
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
				t.Fatalf("%s dispatches outside of the subset", host)
			}
		}
	})
}
