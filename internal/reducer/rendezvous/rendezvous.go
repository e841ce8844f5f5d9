// Package rendezvous selects hosts for a key by rendezvous hashing. Nodes that select
// from the same hosts get the same result, and adding or removing a host changes only
// the selections that contain that host.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Top returns at most count hosts with the highest weights for a key, in
// descending order of weight. Equal weights are ordered by host.
func Top(hosts []model.HostID, count int, key string) []model.HostID {
	type weighted struct {
		host   model.HostID
		weight uint64
	}
	ranked := make([]weighted, len(hosts))
	for i, host := range hosts {
		ranked[i] = weighted{host: host, weight: xxhash.Sum64String(key + "/" + string(host))}
	}
	slices.SortFunc(ranked, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.host, b.host))
	})
	top := make([]model.HostID, max(0, min(count, len(ranked))))
	for i := range top {
		top[i] = ranked[i].host
	}
	return top
}
