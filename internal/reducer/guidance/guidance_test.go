package guidance

import (
	"fmt"
	"testing"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

const start = model.Instant(1000 * time.Second)

// fleet returns serving nodes: in each domain, strong hosts with the weight 80 and weak
// ones with the weight 48.
func fleet(strong, weak int, domains ...model.FailureDomain) []model.Member {
	var members []model.Member
	for _, domain := range domains {
		for i := range strong + weak {
			weight := 80
			if i >= strong {
				weight = 48
			}
			members = append(members, model.Member{
				Host: model.HostID(fmt.Sprintf("%s%02d", domain, i)), FailureDomain: domain, Weight: weight, State: model.Serving,
			})
		}
	}
	return members
}

// everywhere holds the same number of upstreams in each of three domains.
var everywhere = map[model.FailureDomain]int{"a": 90, "b": 90, "c": 90}

// hosts returns the hosts of the subset, by domain.
func hosts(s *State) map[model.FailureDomain]map[model.HostID]bool {
	found := make(map[model.FailureDomain]map[model.HostID]bool)
	for _, member := range s.Subset() {
		if found[member.FailureDomain] == nil {
			found[member.FailureDomain] = make(map[model.HostID]bool)
		}
		found[member.FailureDomain][member.Host] = true
	}
	return found
}

// withLoad returns a copy of the members in which those of the subset report a load.
func withLoad(members []model.Member, s *State, load int) []model.Member {
	inSubset := hosts(s)
	out := make([]model.Member, len(members))
	for i, member := range members {
		member.Load = 0
		if inSubset[member.FailureDomain][member.Host] {
			member.Load = load
		}
		out[i] = member
	}
	return out
}

// without returns the members for which keep is true.
func without(members []model.Member, keep func(i int, member model.Member) bool) []model.Member {
	var out []model.Member
	for i, member := range members {
		if keep(i, member) {
			out = append(out, member)
		}
	}
	return out
}

// TestSmallFleetIsUsedWhole guards against callers of a small deployment that know too
// few nodes: with four nodes, all of them serve callers.
func TestSmallFleetIsUsedWhole(t *testing.T) {
	s := New()
	members := append(fleet(1, 0, "a", "b"), fleet(2, 0, "c")...)
	s.Update(start, members, everywhere)
	if len(s.Subset()) != 4 {
		t.Errorf("%d nodes of 4", len(s.Subset()))
	}
}

// TestSubsetIsNearUpstreams guards against traffic between failure domains: callers are
// sent to the strongest nodes of the domains that hold the upstreams.
func TestSubsetIsNearUpstreams(t *testing.T) {
	s := New()
	s.Update(start, fleet(3, 20, "a", "b", "c", "d", "e"), map[model.FailureDomain]int{"a": 91, "b": 91, "c": 91, "d": 1, "e": 1})
	found := hosts(s)
	if len(found) != 3 || len(found["a"]) != minNodesPerDomain || len(found["d"])+len(found["e"]) != 0 {
		t.Errorf("subset %v", found)
	}
	for _, member := range s.Subset() {
		if member.Weight != 80 {
			t.Errorf("the weak host %s is used before strong ones", member.Host)
		}
	}
}

// TestNoUpstreamsKnown guards against an empty subset while the registry shows no
// upstreams, or none near a serving node.
func TestNoUpstreamsKnown(t *testing.T) {
	s := New()
	s.Update(start, fleet(1, 5, "a", "b"), nil)
	if len(s.Subset()) < minNodes {
		t.Errorf("%d nodes without upstreams", len(s.Subset()))
	}
	s.Update(start, fleet(1, 5, "a", "b"), map[model.FailureDomain]int{"z": 9})
	if len(s.Subset()) < minNodes {
		t.Errorf("%d nodes with upstreams elsewhere", len(s.Subset()))
	}
	s.Update(start, append(fleet(1, 5, "a", "b"), fleet(2, 0, "c")...), map[model.FailureDomain]int{"c": 9})
	if len(s.Subset()) < minNodes {
		t.Errorf("%d nodes, of which two are near the upstreams", len(s.Subset()))
	}
	s.Update(start, nil, everywhere)
	if len(s.Subset()) != 0 {
		t.Errorf("subset %v without nodes", s.Subset())
	}
}

// TestFleetStartsTogether guards against a subset that stays large after the start of a
// fleet, because the first node that served knew no others.
func TestFleetStartsTogether(t *testing.T) {
	s := New()
	members := fleet(3, 20, "a", "b", "c")
	s.Update(start, members[:1], everywhere)
	if len(s.Subset()) != 1 {
		t.Errorf("%d nodes, want the only one", len(s.Subset()))
	}
	s.Update(start.Add(time.Second), members, everywhere)
	if len(s.Subset()) != 3*minNodesPerDomain {
		t.Errorf("%d nodes after the start, want %d", len(s.Subset()), 3*minNodesPerDomain)
	}
}

// TestBurstGrowsSubset replays a burst: the subset grows at once when its nodes report a
// high load, and returns to its size step by step afterwards.
func TestBurstGrowsSubset(t *testing.T) {
	s := New()
	members := fleet(3, 20, "a", "b", "c")
	s.Update(start, members, everywhere)
	calm := len(s.Subset())
	s.Update(start.Add(time.Second), withLoad(members, s, 100), everywhere)
	burst := len(s.Subset())
	if burst < 2*calm {
		t.Errorf("%d nodes at full load, %d before", burst, calm)
	}
	s.Update(start.Add(2*time.Second), members, everywhere)
	if len(s.Subset()) != burst {
		t.Errorf("%d nodes right after the burst, want %d", len(s.Subset()), burst)
	}
	for i := range 20 {
		before := len(s.Subset())
		s.Update(start.Add(2*time.Second+time.Duration(i)*shrinkInterval), members, everywhere)
		if before-len(s.Subset()) > 3 {
			t.Errorf("shrunk from %d to %d nodes in one step", before, len(s.Subset()))
		}
	}
	if len(s.Subset()) != calm {
		t.Errorf("%d nodes long after the burst, want %d", len(s.Subset()), calm)
	}
}

// TestSubsetNeverExceedsReply guards against replies of which callers read only a part.
func TestSubsetNeverExceedsReply(t *testing.T) {
	s := New()
	members := fleet(0, 40, "a", "b", "c", "d", "e")
	for i := range members {
		members[i].Load = maxLoad
	}
	s.Update(start, members, nil)
	if len(s.Subset()) == 0 || len(s.Subset()) > maxNodes {
		t.Errorf("%d nodes, want at most %d", len(s.Subset()), maxNodes)
	}
}

// TestHalfOfFleetKilled replays the loss of half of the nodes: survivors stay in the
// subset, and others take the places of the lost ones.
func TestHalfOfFleetKilled(t *testing.T) {
	s := New()
	members := fleet(3, 20, "a", "b", "c")
	s.Update(start, members, everywhere)
	before := hosts(s)
	left := without(members, func(i int, _ model.Member) bool { return i%2 == 0 })
	s.Update(start.Add(time.Second), left, everywhere)
	after := hosts(s)
	for domain := range everywhere {
		if len(after[domain]) != minNodesPerDomain {
			t.Errorf("domain %s has %d nodes", domain, len(after[domain]))
		}
	}
	for _, member := range left {
		if before[member.FailureDomain][member.Host] && !after[member.FailureDomain][member.Host] {
			t.Errorf("the survivor %s left the subset", member.Host)
		}
	}
}

// TestRollingRestart replays a restart of each node in turn: no step changes more than one
// place of the subset, so that most of the addresses that callers hold stay valid.
func TestRollingRestart(t *testing.T) {
	s := New()
	members := fleet(3, 20, "a", "b", "c")
	s.Update(start, members, everywhere)
	all := s.Subset()
	for i := range members {
		s.Update(start.Add(time.Duration(i)*time.Second), without(members, func(j int, _ model.Member) bool { return j != i }), everywhere)
		kept := 0
		for _, member := range all {
			if hosts(s)[member.FailureDomain][member.Host] {
				kept++
			}
		}
		if kept < len(all)-1 || len(s.Subset()) != len(all) {
			t.Fatalf("step %d keeps %d of %d nodes", i, kept, len(all))
		}
	}
}

// TestLossOfDomain replays the loss of a failure domain, of its nodes or of its upstreams:
// the other domains keep their nodes, and a domain is not left for a part of its
// upstreams.
func TestLossOfDomain(t *testing.T) {
	s := New()
	members := fleet(3, 20, "a", "b", "c")
	s.Update(start, members, everywhere)
	s.Update(start.Add(time.Second), members, map[model.FailureDomain]int{"a": 90, "b": 90, "c": 30})
	if found := hosts(s); len(found["c"]) != minNodesPerDomain {
		t.Errorf("domain c was left with a third of its upstreams: %v", found)
	}
	s.Update(start.Add(2*time.Second), members, map[model.FailureDomain]int{"a": 90, "b": 90})
	if found := hosts(s); len(found["a"]) < minNodesPerDomain || len(found["c"]) != 0 {
		t.Errorf("domain c is used without upstreams: %v", found)
	}
	s.Update(start.Add(3*time.Second), without(members, func(_ int, m model.Member) bool { return m.FailureDomain != "a" }), everywhere)
	if found := hosts(s); len(found["b"]) < minNodesPerDomain {
		t.Errorf("subset without the nodes of domain a: %v", found)
	}
}

// TestMeter checks that a higher load is reported at once and a lower one only after it
// has lasted, so that the registry gets few writes.
func TestMeter(t *testing.T) {
	var m Meter
	count := uint64(0)
	now := start
	observe := func(perSecond uint64) int {
		now = now.Add(time.Second)
		count += perSecond
		return m.Observe(now, count, 1000)
	}
	observe(0)
	if load := observe(240); load != 0 {
		t.Errorf("load %d at 24%%", load)
	}
	if load := observe(800); load != 75 {
		t.Errorf("load %d at 80%%", load)
	}
	for range 5 {
		if load := observe(100); load != 75 {
			t.Errorf("load %d while the load has just fallen", load)
		}
	}
	if load := observe(100); load != 0 {
		t.Errorf("load %d after the load has fallen for long", load)
	}
	if load := observe(100_000); load != maxLoad {
		t.Errorf("load %d, want at most %d", load, maxLoad)
	}
}
