package snapshot

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// MapError reports a partition map whose shards do not tile the key space.
type MapError struct {
	Service model.ServiceName
	Version model.Version
	Reason  string
}

// Error implements error.
func (e *MapError) Error() string {
	return fmt.Sprintf("partition map of %s at version %d: %s", e.Service, e.Version, e.Reason)
}

// Map is the partition map of one service in one version. Its shards tile the key
// space and are ordered by their ranges. A Map is immutable.
type Map struct {
	Service model.ServiceName
	Version model.Version
	shards  []model.Shard
	// names holds the name "service/shard" of each shard, as used in coverage.
	names []string
	ids   []model.ShardID
}

// NewMap returns a partition map of the given shards, in any order. It returns
// *MapError unless they tile the key space and have unique, non-empty names.
func NewMap(service model.ServiceName, version model.Version, shards []model.Shard) (*Map, error) {
	sorted := slices.Clone(shards)
	slices.SortFunc(sorted, func(a, b model.Shard) int { return cmp.Compare(a.Low, b.Low) })
	if reason := invalidTilingReason(sorted); reason != "" {
		return nil, &MapError{Service: service, Version: version, Reason: reason}
	}
	names := make([]string, len(sorted))
	ids := make([]model.ShardID, len(sorted))
	for i, shard := range sorted {
		ids[i] = shard.ID
		names[i] = string(service) + "/" + string(shard.ID)
	}
	return &Map{Service: service, Version: version, shards: sorted, names: names, ids: ids}, nil
}

// invalidTilingReason returns why the sorted shards are not a valid partition map, or
// an empty string if they are.
func invalidTilingReason(sorted []model.Shard) string {
	next := uint32(0)
	seen := make(map[model.ShardID]struct{}, len(sorted))
	for _, shard := range sorted {
		if _, ok := seen[shard.ID]; ok || shard.ID == "" {
			return fmt.Sprintf("shard name %q is empty or repeated", shard.ID)
		}
		seen[shard.ID] = struct{}{}
		if shard.Low != next {
			return fmt.Sprintf("gap or overlap at key %d", next)
		}
		if shard.High <= shard.Low {
			return fmt.Sprintf("empty range at key %d", next)
		}
		next = shard.High
	}
	if next != model.KeySpace {
		return fmt.Sprintf("ends at key %d", next)
	}
	return ""
}

// Len returns the number of shards.
func (m *Map) Len() int { return len(m.shards) }

// Shard returns the shard at an index.
func (m *Map) Shard(index int) model.Shard { return m.shards[index] }

// Name returns the name of the shard at an index, as used in coverage.
func (m *Map) Name(index int) string { return m.names[index] }

// index returns the index of a shard, or -1 if the map does not contain it.
func (m *Map) index(id model.ShardID) int {
	return slices.IndexFunc(m.shards, func(s model.Shard) bool { return s.ID == id })
}

// compare orders maps of the same service and version by their shards.
func (m *Map) compare(other *Map) int {
	return slices.CompareFunc(m.shards, other.shards, func(a, b model.Shard) int {
		return cmp.Or(cmp.Compare(a.Low, b.Low), cmp.Compare(a.High, b.High), cmp.Compare(a.ID, b.ID))
	})
}

// equal reports whether the map consists of the given shards in any order.
func (m *Map) equal(shards []model.Shard) bool {
	if len(shards) != len(m.shards) {
		return false
	}
	if slices.Equal(shards, m.shards) {
		return true
	}
	for _, shard := range shards {
		if !slices.Contains(m.shards, shard) {
			return false
		}
	}
	return true
}
