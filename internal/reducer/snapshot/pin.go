package snapshot

import (
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// UnknownShard stands for the whole of a service whose partition map in the
// pinned version is not known.
const UnknownShard model.ShardID = "*"

// Pin is the choice of one version for one query: the shards to search, by the
// version's own partition maps. It does not change with the catalog.
type Pin struct {
	version model.Version
	// keys is how many keys could be searched when the pin was taken.
	keys    int
	targets []Target
}

// Target is one shard to search.
type Target struct {
	// Service indexes the list of services that were pinned.
	Service int
	Shard   model.ShardID
	// shards holds Shard alone, as it goes into messages.
	shards []model.ShardID
	// Name is "service/shard".
	Name string
	// Keys is the size of the shard's range.
	Keys int
	// Holders are the upstreams that hold the shard in the pinned version; their
	// states follow the catalog.
	Holders []*Replica
}

// Preference chooses among the versions at which the most keys can be searched.
type Preference uint8

// The preferences.
const (
	// WidelyHeld takes the newest version that enough replicas of each shard
	// hold. While a version rolls in, the few that have it are not flooded.
	WidelyHeld Preference = iota
	// Newest takes the newest version. It is the baseline of experiment M5.
	Newest
)

// wideShare is the share of a shard's replicas, compared with the version that
// most of them hold, from which on a version is widely held.
const wideShare = 0.6

// Pin chooses a version at which the most keys of the services can be searched,
// and by the preference among several. A service without a map in that version
// counts as one shard without holders.
func (c *Catalog) Pin(ctx *step.Context, services []*model.Service, preference Preference) *Pin {
	c.sync(ctx)
	best := c.chooseVersion(services, preference)
	pin := &Pin{version: best.version, keys: best.keys, targets: make([]Target, 0, len(services))}
	for i, configured := range services {
		pin.addService(i, c.services[configured.Name], configured.Name)
	}
	return pin
}

// choice is a version that may be pinned.
type choice struct {
	version model.Version
	// keys is how many keys can be searched.
	keys int
	// held is the least share of the replicas of any service, see wideShare.
	held float64
}

// chooseVersion returns the best version, and zeros if nothing is known.
func (c *Catalog) chooseVersion(services []*model.Service, preference Preference) choice {
	var best choice
	for _, version := range c.candidates(services) {
		next := c.assess(services, version)
		if best.version == 0 || next.isBetter(best, preference) {
			best = next
		}
	}
	return best
}

// isBetter compares a version with a newer one.
func (a choice) isBetter(newer choice, preference Preference) bool {
	if a.keys != newer.keys {
		return a.keys > newer.keys
	}
	return preference == WidelyHeld && newer.held < wideShare && a.held > newer.held
}

// assess computes what a version offers for the services.
func (c *Catalog) assess(services []*model.Service, version model.Version) choice {
	result := choice{version: version, held: 1}
	for _, configured := range services {
		s := c.services[configured.Name]
		if s == nil {
			continue
		}
		v := s.at(version)
		if v == nil {
			continue
		}
		result.keys += v.searchableKeys()
		if widest := s.widest(); widest > 0 {
			result.held = min(result.held, float64(v.leastHolders())/float64(widest))
		}
	}
	return result
}

// candidates returns the versions of any of the services, newest first.
func (c *Catalog) candidates(services []*model.Service) []model.Version {
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
	slices.SortFunc(versions, func(a, b model.Version) int { return int(int64(b) - int64(a)) })
	return versions
}

// addService adds the targets of one service.
func (p *Pin) addService(place int, s *service, name model.ServiceName) {
	var v *versionIndex
	if s != nil {
		v = s.at(p.version)
	}
	if v == nil {
		p.targets = append(p.targets, Target{
			Service: place,
			Shard:   UnknownShard,
			Name:    string(name) + "/" + string(UnknownShard),
		})
		return
	}
	for i, shard := range v.partition.shards {
		p.targets = append(p.targets, Target{
			Service: place,
			Shard:   shard.ID,
			shards:  v.partition.ids[i : i+1 : i+1],
			Name:    v.partition.names[i],
			Keys:    int(shard.High - shard.Low),
			Holders: v.holders[i],
		})
	}
}

// Shards returns the shard as a list, for messages. It must not be changed.
func (t *Target) Shards() []model.ShardID { return t.shards }

// Version returns the pinned version; zero means that none is known.
func (p *Pin) Version() model.Version { return p.version }

// SearchableKeys returns how many keys could be searched when the pin was taken.
func (p *Pin) SearchableKeys() int { return p.keys }

// Len returns the number of shards to search.
func (p *Pin) Len() int { return len(p.targets) }

// Target returns one shard to search. It must not be changed.
func (p *Pin) Target(index int) *Target { return &p.targets[index] }

// Searchable returns the number of shards that have a usable holder now.
func (p *Pin) Searchable() int {
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
	c.sync(ctx)
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
