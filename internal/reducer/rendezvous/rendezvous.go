// Package rendezvous chooses hosts for a purpose by rendezvous hashing: nodes that
// know the same hosts choose the same, and a host that comes or goes changes only
// its own part.
package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Top returns at most count hosts, those with the highest weights for a key first.
func Top(hosts []model.HostID, count int, key string) []model.HostID {
	weight := func(host model.HostID) uint64 { return xxhash.Sum64String(key + "/" + string(host)) }
	sorted := slices.SortedFunc(slices.Values(hosts), func(a, b model.HostID) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a, b))
	})
	return sorted[:min(count, len(sorted))]
}
