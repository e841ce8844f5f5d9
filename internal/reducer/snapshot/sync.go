package snapshot

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// sync brings the index in line with the configuration in force. Services whose
// upstreams are as before keep their index.
func (c *Catalog) sync(ctx *step.Context) {
	if c.config == ctx.Config {
		return
	}
	c.config = ctx.Config
	previous := c.services
	c.services = make(map[model.ServiceName]*service, len(ctx.Config.Services))
	c.names = c.names[:0]
	clear(c.matches)
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
	c.adoptChanged(ctx, changed)
}

// adoptChanged sorts the records into the changed services, indexes those, and
// forgets records that have long been in no configuration.
func (c *Catalog) adoptChanged(ctx *step.Context, changed map[model.ServiceName]bool) {
	for id, r := range c.records {
		name := id.Service()
		if r.adopted && c.services[name] != nil && !changed[name] {
			continue
		}
		r.adopted = c.adopt(r)
		if !r.adopted && ctx.Now.Sub(r.received) > orphanTimeout {
			delete(c.records, id)
		}
	}
	for _, name := range c.names {
		if changed[name] {
			c.services[name].rebuild(ctx)
		}
	}
}

// adopt puts a record into its service if the configuration has the upstream.
func (c *Catalog) adopt(r *record) bool {
	s := c.services[r.ID.Service()]
	if s == nil {
		return false
	}
	configured := s.config.Upstream(r.ID)
	if configured == nil {
		return false
	}
	r.Domain = configured.FailureDomain
	r.Draining = r.drains || configured.Draining
	place, _ := slices.BinarySearchFunc(s.records, r.ID, func(other *record, id model.UpstreamID) int {
		return cmp.Compare(other.ID, id)
	})
	s.records = slices.Insert(s.records, place, r)
	return true
}

// configuredDraining reports whether the operators drain an upstream.
func (c *Catalog) configuredDraining(id model.UpstreamID) bool {
	s := c.services[id.Service()]
	if s == nil {
		return false
	}
	configured := s.config.Upstream(id)
	return configured != nil && configured.Draining
}

// Len returns the number of upstreams whose last report says that they can be
// reached.
func (c *Catalog) Len() int {
	reachable := 0
	for _, r := range c.records {
		if r.Reachable {
			reachable++
		}
	}
	return reachable
}
