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
	weight := func(host model.HostID) uint64 { return xxhash.Sum64String(key + "/" + string(host)) }
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b model.HostID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return sorted[:min(count, len(sorted))]
}
