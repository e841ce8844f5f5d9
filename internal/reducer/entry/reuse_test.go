package entry

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestReusedSubsets checks that subsets reused from view to view equal those that are
// computed anew.
func TestReusedSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{SubsetSize: rapid.IntRange(1, 6).Draw(t, "size"), Dispatchers: 1}
		reusing := New(settings)
		for range rapid.IntRange(2, 8).Draw(t, "views") {
			members := drawFleet(t)
			for service := range 12 {
				name := model.ServiceName(fmt.Sprintf("service-%d", service))
				got := hostsOf(reusing.Subset(name, members))
				want := hostsOf(New(settings).Subset(name, members))
				if !slices.Equal(got, want) {
					t.Fatalf("%s: reused subset %v, computed anew %v", name, got, want)
				}
			}
		}
	})
}

// drawFleet draws members from twenty hosts; most of them are serving.
func drawFleet(t *rapid.T) []model.Member {
	var members []model.Member
	for i := range 20 {
		kind := rapid.IntRange(0, 9).Draw(t, "kind")
		if kind == 0 {
			continue
		}
		m := model.Member{
			Host:          model.HostID(fmt.Sprintf("host-%02d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%4)),
			State:         model.Serving,
			Revision:      model.Revision(kind),
		}
		if kind == 1 {
			m.State = model.Suspected
		}
		if kind == 2 {
			m.Weight = 3
		}
		members = append(members, m)
	}
	return members
}

// hostsOf returns the members' hosts.
func hostsOf(members []model.Member) []model.HostID {
	var hosts []model.HostID
	for _, m := range members {
		hosts = append(hosts, m.Host)
	}
	return hosts
}

// TestRevisionsKeepSubsets checks that a view whose members differ only in their
// revisions keeps the computed subsets.
func TestRevisionsKeepSubsets(t *testing.T) {
	members := makeMembers(100)
	s := New(Settings{SubsetSize: 4, Dispatchers: 1})
	s.Subset("counter-1", members)
	updated := slices.Clone(members)
	for i := range updated {
		updated[i].Revision = 7
	}
	if v := s.viewOf(updated); len(v.subsets) != 1 {
		t.Fatalf("%d subsets kept, want 1", len(v.subsets))
	}
}

// BenchmarkChangedView measures the subsets of all services of a large configuration
// after one member was removed or added.
func BenchmarkChangedView(b *testing.B) {
	const services = 4666
	names := make([]model.ServiceName, services)
	for i := range names {
		names[i] = model.ServiceName(fmt.Sprintf("service-%d", i))
	}
	whole := makeMembers(3300)
	without := slices.Delete(slices.Clone(whole), 1000, 1001)
	s := New(Settings{SubsetSize: DefaultSubsetSize, Dispatchers: DefaultDispatchers})
	views := [2][]model.Member{whole, without}
	for i := 0; b.Loop(); i++ {
		v := s.viewOf(views[i%2])
		for _, name := range names {
			v.subset(name, DefaultSubsetSize)
		}
	}
}
