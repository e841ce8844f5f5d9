package snapshot

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// applyConfig updates the index to the configuration in force. Services with
// unchanged upstreams keep their index.
func (c *Catalog) applyConfig(ctx *step.Context) {
	if c.config == ctx.Config {
		return
	}
	c.config = ctx.Config
	previous := c.services
	c.services = make(map[model.ServiceName]*service, len(ctx.Config.Services))
	c.names = c.names[:0]
	clear(c.patternMatches)
	changed := make(map[model.ServiceName]bool)
	for i := range ctx.Config.Services {
		configured := &ctx.Config.Services[i]
		c.names = append(c.names, configured.Name)
		s := previous[configured.Name]
		if s == nil || !slices.Equal(s.config.Upstreams, configured.Upstreams) {
			s = &service{}
			changed[configured.Name] = true
		}
		s.config = configured
		c.services[configured.Name] = s
	}
	slices.Sort(c.names)
	c.rebuildChanged(ctx, changed)
}

// rebuildChanged assigns the records to the changed services, rebuilds their
// indexes, and deletes records whose upstreams are not in the configuration and were
// last reported more than orphanTimeout ago.
func (c *Catalog) rebuildChanged(ctx *step.Context, changed map[model.ServiceName]bool) {
	for id, r := range c.records {
		name := id.Service()
		if r.configured && c.services[name] != nil && !changed[name] {
			continue
		}
		r.configured = c.addToService(r)
		if !r.configured && ctx.Now.Sub(r.receivedAt) > orphanTimeout {
			delete(c.records, id)
		}
	}
	for _, name := range c.names {
		if changed[name] {
			c.services[name].rebuild(ctx)
		}
	}
}

// addToService adds a record to its service. It returns false if the upstream is not
// in the configuration.
func (c *Catalog) addToService(r *record) bool {
	s := c.services[r.ID.Service()]
	if s == nil {
		return false
	}
	configured := s.config.Upstream(r.ID)
	if configured == nil {
		return false
	}
	r.Domain = configured.FailureDomain
	r.Draining = r.reportedDraining || configured.Draining
	position, _ := slices.BinarySearchFunc(s.records, r.ID, func(other *record, id model.UpstreamID) int {
		return cmp.Compare(other.ID, id)
	})
	s.records = slices.Insert(s.records, position, r)
	return true
}

// configuredDraining reports whether the configuration marks an upstream as draining.
func (c *Catalog) configuredDraining(id model.UpstreamID) bool {
	s := c.services[id.Service()]
	if s == nil {
		return false
	}
	configured := s.config.Upstream(id)
	return configured != nil && configured.Draining
}

// Len returns the number of upstreams that are reachable according to their latest
// reports.
func (c *Catalog) Len() int {
	reachable := 0
	for _, r := range c.records {
		if r.Reachable {
			reachable++
		}
	}
	return reachable
}
