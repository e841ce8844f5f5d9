package snapshot

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// rebuild recomputes the index of all versions that the service's upstreams report.
func (s *service) rebuild(ctx *step.Context) {
	var versions []model.Version
	for _, r := range s.records {
		for _, h := range r.holdings {
			versions = append(versions, h.partition.Version)
		}
	}
	slices.SortFunc(versions, func(a, b model.Version) int { return cmp.Compare(b, a) })
	versions = slices.Compact(versions)
	s.versions = make([]versionIndex, len(versions))
	for i, version := range versions {
		s.versions[i] = s.indexVersion(ctx, version)
	}
}

// indexVersion computes the holders of each shard of one version. It leaves out
// upstreams that report another partition map than the chosen one.
func (s *service) indexVersion(ctx *step.Context, version model.Version) versionIndex {
	partition := s.chooseMap(ctx, version)
	index := versionIndex{partition: partition, holders: make([][]*Replica, partition.Len())}
	for _, r := range s.records {
		for _, h := range r.holdings {
			if h.partition.Version == version && h.partition.compare(partition) == 0 {
				index.addHolder(r, h)
			}
		}
	}
	return index
}

// addHolder adds an upstream to the holders of the shards in its holding.
func (v *versionIndex) addHolder(r *record, h holding) {
	for _, id := range h.heldShards {
		shardIndex := v.partition.index(id)
		if shardIndex >= 0 && !slices.Contains(v.holders[shardIndex], &r.Replica) {
			v.holders[shardIndex] = append(v.holders[shardIndex], &r.Replica)
		}
	}
}

// chooseMap returns the partition map that most upstreams report for a version.
// Ties are broken by content, so that all nodes choose the same map.
func (s *service) chooseMap(ctx *step.Context, version model.Version) *Map {
	var reportedMaps []*Map
	for _, r := range s.records {
		for _, h := range r.holdings {
			if h.partition.Version == version {
				reportedMaps = append(reportedMaps, h.partition)
			}
		}
	}
	slices.SortFunc(reportedMaps, (*Map).compare)
	best, bestVotes := reportedMaps[0], 0
	for from := 0; from < len(reportedMaps); {
		to := from + 1
		for to < len(reportedMaps) && reportedMaps[to].compare(reportedMaps[from]) == 0 {
			to++
		}
		if to-from > bestVotes {
			best, bestVotes = reportedMaps[from], to-from
		}
		from = to
	}
	if bestVotes < len(reportedMaps) {
		ctx.Count(metricMapConflicts, "")
	}
	return best
}

// findVersion returns the index of a version, or nil if no upstream reports it.
func (s *service) findVersion(version model.Version) *versionIndex {
	for i := range s.versions {
		if s.versions[i].partition.Version == version {
			return &s.versions[i]
		}
	}
	return nil
}

// searchableKeys returns the number of keys whose shard has a usable holder.
func (v *versionIndex) searchableKeys() int {
	keys := 0
	for i, holders := range v.holders {
		if slices.ContainsFunc(holders, (*Replica).Usable) {
			shard := v.partition.shards[i]
			keys += int(shard.High - shard.Low)
		}
	}
	return keys
}

// replication returns the smallest number of usable holders of any shard.
func (v *versionIndex) replication() int {
	least := -1
	for _, holders := range v.holders {
		usable := 0
		for _, r := range holders {
			if r.Usable() {
				usable++
			}
		}
		if least < 0 || usable < least {
			least = usable
		}
	}
	return max(least, 0)
}

// maxReplication returns the greatest replication of any version.
func (s *service) maxReplication() int {
	highest := 0
	for i := range s.versions {
		highest = max(highest, s.versions[i].replication())
	}
	return highest
}
