package entry

import (
	"fmt"
	"testing"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// makeMembers returns serving members in 15 failure domains.
func makeMembers(nodes int) []model.Member {
	members := make([]model.Member, nodes)
	for i := range members {
		members[i] = model.Member{
			Host:          model.HostID(fmt.Sprintf("host-%05d", i)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", i%15)),
			State:         model.Serving,
		}
	}
	return members
}

// BenchmarkDispatchers measures the selection of an upstream's dispatchers while the
// members stay the same.
func BenchmarkDispatchers(b *testing.B) {
	members := makeMembers(64)
	s := New(Settings{SubsetSize: DefaultSubsetSize, Dispatchers: DefaultDispatchers})
	b.ReportAllocs()
	for b.Loop() {
		s.Dispatchers("counter-1/a", members)
	}
}

// BenchmarkSubset measures the computation of one service's subset after a change of
// the members.
func BenchmarkSubset(b *testing.B) {
	for _, nodes := range []int{4, 64, 1024, 3300} {
		b.Run(fmt.Sprintf("nodes=%d", nodes), func(b *testing.B) {
			v := newView(makeMembers(nodes))
			b.ReportAllocs()
			for b.Loop() {
				clear(v.subsets)
				v.subset("counter-1", DefaultSubsetSize)
			}
		})
	}
}
