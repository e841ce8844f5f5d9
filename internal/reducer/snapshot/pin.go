package snapshot

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// UnknownShard stands for all shards of a service whose partition map in the pinned
// version is not known.
const UnknownShard model.ShardID = "*"

// Pin fixes the version that one query reads and lists the shards to search,
// according to the partition maps of that version. Later changes of the catalog do
// not affect the version and the list.
type Pin struct {
	version model.Version
	// searchableKeys is the number of searchable keys when the pin was created.
	searchableKeys int
	targets        []Target
}

// Target is one shard to search.
type Target struct {
	// Service is the index into the list of services that was passed to Catalog.Pin.
	Service int
	Shard   model.ShardID
	// shards contains only Shard; messages carry lists of shards.
	shards []model.ShardID
	// Name is "service/shard".
	Name string
	// Keys is the number of keys in the shard's range.
	Keys int
	// Holders lists the upstreams that held the shard in the pinned version when
	// the pin was created. Their states are updated with the catalog.
	Holders []*Replica
}

// Preference selects among the versions with the most searchable keys.
type Preference uint8

// Preferences among versions.
const (
	// WidelyHeld selects the newest version that enough replicas of each shard
	// hold. It avoids overloading the few upstreams that have a new version while
	// that version is being rolled out.
	WidelyHeld Preference = iota
	// Newest selects the newest version. It is the baseline of experiment M5.
	Newest
)

// minReplicationShare is the minimum replication of a widely held version, as a
// fraction of the replication of the service's most replicated version.
const minReplicationShare = 0.6

// Pin pins a query on the given services to the version with the most searchable
// keys; the preference selects among several. A service without a partition map in
// that version counts as one shard without holders.
func (c *Catalog) Pin(ctx *step.Context, services []*model.Service, preference Preference) *Pin {
	c.applyConfig(ctx)
	best := c.chooseVersion(services, preference)
	pin := &Pin{version: best.version, searchableKeys: best.searchableKeys, targets: make([]Target, 0, len(services))}
	for i, configured := range services {
		pin.addService(i, c.services[configured.Name], configured.Name)
	}
	return pin
}

// candidate is a version that may be pinned.
type candidate struct {
	version model.Version
	// searchableKeys is the number of keys that can be searched.
	searchableKeys int
	// replicationShare is the replication of this version as a fraction of the
	// replication of a service's most replicated version, and the lowest of these
	// fractions if there are several services.
	replicationShare float64
}

// chooseVersion returns the best version, or the zero value if no upstream reports
// any.
func (c *Catalog) chooseVersion(services []*model.Service, preference Preference) candidate {
	var best candidate
	for _, version := range c.reportedVersions(services) {
		next := c.evaluate(services, version)
		if best.version == 0 || next.isPreferredTo(best, preference) {
			best = next
		}
	}
	return best
}

// isPreferredTo reports whether a should be pinned instead of a newer version.
func (a candidate) isPreferredTo(newer candidate, preference Preference) bool {
	if a.searchableKeys != newer.searchableKeys {
		return a.searchableKeys > newer.searchableKeys
	}
	return preference == WidelyHeld && newer.replicationShare < minReplicationShare && a.replicationShare > newer.replicationShare
}

// evaluate computes the searchable keys and the replication of a version for the
// services.
func (c *Catalog) evaluate(services []*model.Service, version model.Version) candidate {
	result := candidate{version: version, replicationShare: 1}
	for _, configured := range services {
		s := c.services[configured.Name]
		if s == nil {
			continue
		}
		v := s.findVersion(version)
		if v == nil {
			continue
		}
		result.searchableKeys += v.searchableKeys()
		if highest := s.maxReplication(); highest > 0 {
			result.replicationShare = min(result.replicationShare, float64(v.replication())/float64(highest))
		}
	}
	return result
}

// reportedVersions returns the versions that upstreams of the services report, newest
// first.
func (c *Catalog) reportedVersions(services []*model.Service) []model.Version {
	versions := make([]model.Version, 0, 4)
	for _, configured := range services {
		s := c.services[configured.Name]
		if s == nil {
			continue
		}
		for i := range s.versions {
			if version := s.versions[i].partition.Version; !slices.Contains(versions, version) {
				versions = append(versions, version)
			}
		}
	}
	slices.SortFunc(versions, func(a, b model.Version) int { return cmp.Compare(b, a) })
	return versions
}

// addService adds the shards of one service to the targets.
func (p *Pin) addService(serviceIndex int, s *service, name model.ServiceName) {
	var v *versionIndex
	if s != nil {
		v = s.findVersion(p.version)
	}
	if v == nil {
		p.targets = append(p.targets, Target{
			Service: serviceIndex,
			Shard:   UnknownShard,
			Name:    string(name) + "/" + string(UnknownShard),
		})
		return
	}
	for i, shard := range v.partition.shards {
		p.targets = append(p.targets, Target{
			Service: serviceIndex,
			Shard:   shard.ID,
			shards:  v.partition.ids[i : i+1 : i+1],
			Name:    v.partition.names[i],
			Keys:    int(shard.High - shard.Low),
			Holders: v.holders[i],
		})
	}
}

// Shards returns a list that contains only the shard, for use in messages. It must
// not be modified.
func (t *Target) Shards() []model.ShardID { return t.shards }

// Version returns the pinned version, or zero if no version is known.
func (p *Pin) Version() model.Version { return p.version }

// SearchableKeys returns the number of searchable keys when the pin was created.
func (p *Pin) SearchableKeys() int { return p.searchableKeys }

// Len returns the number of shards to search.
func (p *Pin) Len() int { return len(p.targets) }

// Target returns one shard to search. It must not be modified.
func (p *Pin) Target(index int) *Target { return &p.targets[index] }

// SearchableShards returns the number of shards that currently have a usable holder.
func (p *Pin) SearchableShards() int {
	n := 0
	for i := range p.targets {
		if slices.ContainsFunc(p.targets[i].Holders, (*Replica).Usable) {
			n++
		}
	}
	return n
}

// Replicas returns the reported upstreams of a service, ordered by name.
func (c *Catalog) Replicas(ctx *step.Context, name model.ServiceName) []*Replica {
	c.applyConfig(ctx)
	s := c.services[name]
	if s == nil {
		return nil
	}
	replicas := make([]*Replica, len(s.records))
	for i, r := range s.records {
		replicas[i] = &r.Replica
	}
	return replicas
}
