package entry

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestInheritedSubsets checks that subsets which are carried over from view to
// view are those that are worked out anew.
func TestInheritedSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Settings{SubsetSize: rapid.IntRange(1, 6).Draw(t, "size"), Dispatchers: 1}
		lasting := New(settings)
		for range rapid.IntRange(2, 8).Draw(t, "views") {
			members := drawFleet(t)
			for service := range 12 {
				name := model.ServiceName(fmt.Sprintf("service-%d", service))
				got := hostsOf(lasting.Subset(name, members))
				want := hostsOf(New(settings).Subset(name, members))
				if !slices.Equal(got, want) {
					t.Fatalf("%s: carried over %v, anew %v", name, got, want)
				}
			}
		}
	})
}

// drawFleet draws members out of twenty hosts; most of them serve.
func drawFleet(t *rapid.T) []model.Member {
	var members []model.Member
	for i := range 20 {
		fate := rapid.IntRange(0, 9).Draw(t, "fate")
		if fate == 0 {
			continue
		}
		m := model.Member{
			Host:          model.HostID(fmt.Sprintf("host-%02d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%4)),
			State:         model.Serving,
			Revision:      model.Revision(fate),
		}
		if fate == 1 {
			m.State = model.Suspected
		}
		if fate == 2 {
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

// TestRevisionsKeepSubsets checks that a view which differs in revisions alone
// leaves every subset as it was worked out.
func TestRevisionsKeepSubsets(t *testing.T) {
	members := fleetOf(100)
	s := New(Settings{SubsetSize: 4, Dispatchers: 1})
	s.Subset("counter-1", members)
	moved := slices.Clone(members)
	for i := range moved {
		moved[i].Revision = 7
	}
	if v := s.viewOf(moved); len(v.subsets) != 1 {
		t.Fatalf("%d subsets were kept, want 1", len(v.subsets))
	}
}

// BenchmarkChangedView works out the subsets of all services of a large
// configuration after one member went and came back.
func BenchmarkChangedView(b *testing.B) {
	const services = 4666
	names := make([]model.ServiceName, services)
	for i := range names {
		names[i] = model.ServiceName(fmt.Sprintf("service-%d", i))
	}
	whole := fleetOf(3300)
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
