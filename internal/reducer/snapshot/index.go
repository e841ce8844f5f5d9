package snapshot

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// rebuild computes who holds what of each version.
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

// indexVersion computes the holders of each shard of one version. Upstreams that
// state another map than the chosen one do not count.
func (s *service) indexVersion(ctx *step.Context, version model.Version) versionIndex {
	partition := s.chooseMap(ctx, version)
	index := versionIndex{partition: partition, holders: make([][]*Replica, partition.Len())}
	for _, r := range s.records {
		for _, h := range r.holdings {
			if h.partition.Version == version && h.partition.compare(partition) == 0 {
				index.add(r, h)
			}
		}
	}
	return index
}

// add enters an upstream as a holder.
func (v *versionIndex) add(r *record, h holding) {
	for _, id := range h.holds {
		place := v.partition.index(id)
		if place >= 0 && !slices.Contains(v.holders[place], &r.Replica) {
			v.holders[place] = append(v.holders[place], &r.Replica)
		}
	}
}

// chooseMap returns the map that most upstreams state for a version; of equally
// many, the first in the order of their content, so that all nodes choose alike.
func (s *service) chooseMap(ctx *step.Context, version model.Version) *Map {
	var stated []*Map
	for _, r := range s.records {
		for _, h := range r.holdings {
			if h.partition.Version == version {
				stated = append(stated, h.partition)
			}
		}
	}
	slices.SortFunc(stated, (*Map).compare)
	best, bestVotes := stated[0], 0
	for from := 0; from < len(stated); {
		to := from + 1
		for to < len(stated) && stated[to].compare(stated[from]) == 0 {
			to++
		}
		if to-from > bestVotes {
			best, bestVotes = stated[from], to-from
		}
		from = to
	}
	if bestVotes < len(stated) {
		ctx.Count(metricMapConflicts, "")
	}
	return best
}

// at returns the index of a version, or nil.
func (s *service) at(version model.Version) *versionIndex {
	for i := range s.versions {
		if s.versions[i].partition.Version == version {
			return &s.versions[i]
		}
	}
	return nil
}

// searchableKeys returns how many keys have a usable holder.
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

// leastHolders returns the number of usable holders of the least held shard.
func (v *versionIndex) leastHolders() int {
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

// widest returns the most usable holders that the least held shard has in any
// version.
func (s *service) widest() int {
	widest := 0
	for i := range s.versions {
		widest = max(widest, s.versions[i].leastHolders())
	}
	return widest
}
