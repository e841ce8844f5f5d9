// Package snapshot knows which upstream holds which shards of which snapshot of
// the index, pins a query to one version, and merges parts of that version
// alone.
package snapshot

import (
	"path"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Metrics of the catalog.
const (
	metricInvalidMaps  effect.Metric = "snapshot_invalid_maps_total"
	metricMapConflicts effect.Metric = "snapshot_map_conflicts_total"
	metricStaleReports effect.Metric = "snapshot_stale_reports_total"
)

// observerTimeout is how long a report outranks one with an earlier time of
// observation. Afterwards its dispatcher counts as gone, and the clock of the
// next one may be behind.
const observerTimeout = 5 * time.Second

// orphanTimeout is how long a report of an upstream that is in no configuration
// is kept: the configuration may be on its way.
const orphanTimeout = 1 * time.Minute

// maxMatches bounds the patterns whose matches are kept.
const maxMatches = 256

// Catalog is what a node knows of the upstreams' holdings.
type Catalog struct {
	config   *model.Config
	services map[model.ServiceName]*service
	// names lists the services in order.
	names   []model.ServiceName
	records map[model.UpstreamID]*record
	// matches keeps what patterns selected from the configuration.
	matches map[string][]model.ServiceName
}

// service is the index of one service's holdings.
type service struct {
	config *model.Service
	// records holds the reported upstreams of the service, ordered by name.
	records []*record
	// versions is ordered newest first.
	versions []versionIndex
}

// versionIndex tells who holds which shards of a service in one version.
type versionIndex struct {
	partition *Map
	// holders lists the holders of each shard of the map.
	holders [][]*Replica
}

// Replica is an upstream as a coordinator sees it.
type Replica struct {
	ID     model.UpstreamID
	Domain model.FailureDomain
	// Draining is set by the operators' configuration or by the upstream.
	Draining  bool
	Reachable bool
	// FreeSlots, Queued and Limit are the dispatcher's last count.
	FreeSlots int
	Queued    int
	Limit     int
	// Reported is the load that the upstream reported of itself at ReportedAt.
	Reported   int
	ReportedAt model.Instant
	// Updated is when the count arrived, on this node's clock.
	Updated model.Instant
	// Handicap multiplies the latency to expect, for what the mean of the past
	// does not show yet, such as a pause that has just begun; zero means 1.
	Handicap float64
}

// Usable reports whether the replica may get new work.
func (r *Replica) Usable() bool { return r.Reachable && !r.Draining }

// record is an upstream's last report with its partition maps shared.
type record struct {
	Replica
	observed model.Instant
	received model.Instant
	// drains is the upstream's own statement.
	drains bool
	// adopted is true while the upstream is in the configuration.
	adopted  bool
	holdings []holding
}

// holding is what an upstream holds of one version.
type holding struct {
	partition *Map
	holds     []model.ShardID
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{
		services: make(map[model.ServiceName]*service),
		records:  make(map[model.UpstreamID]*record),
		matches:  make(map[string][]model.ServiceName),
	}
}

// HandleReport takes in what a dispatcher learned of an upstream. An older
// report of the same upstream is ignored.
func (c *Catalog) HandleReport(ctx *step.Context, report model.IndexReport) {
	c.sync(ctx)
	r, known := c.records[report.Upstream]
	if known && report.Observed.Before(r.observed) && ctx.Now.Sub(r.received) < observerTimeout {
		ctx.Count(metricStaleReports, "")
		return
	}
	if !known {
		r = &record{Replica: Replica{ID: report.Upstream}}
		c.records[report.Upstream] = r
		r.adopted = c.adopt(r)
	}
	c.applyReport(ctx, r, report)
}

// applyReport copies a report into its record.
func (c *Catalog) applyReport(ctx *step.Context, r *record, report model.IndexReport) {
	r.observed = report.Observed
	r.received = ctx.Now
	r.Updated = ctx.Now
	r.drains = report.Draining
	r.Draining = report.Draining || c.configuredDraining(r.ID)
	r.Reachable = report.Reachable
	r.FreeSlots = report.FreeSlots
	r.Queued = report.Queued
	r.Limit = report.Limit
	r.Reported = report.ReportedInFlight
	r.ReportedAt = ctx.Now.Add(-report.ReportedAge)
	if r.sameHoldings(report.Holdings) {
		return
	}
	r.holdings = c.shareHoldings(ctx, report)
	if s := c.services[report.Upstream.Service()]; s != nil {
		s.rebuild(ctx)
	}
}

// sameHoldings reports whether a report states what is already indexed.
func (r *record) sameHoldings(stated []model.Holding) bool {
	if len(stated) != len(r.holdings) {
		return false
	}
	for i, h := range r.holdings {
		if h.partition.Version != stated[i].Version || !slices.Equal(h.holds, stated[i].HeldShards) || !h.partition.equal(stated[i].Shards) {
			return false
		}
	}
	return true
}

// shareHoldings returns a report's valid holdings with maps that are shared
// among the upstreams of the service.
func (c *Catalog) shareHoldings(ctx *step.Context, report model.IndexReport) []holding {
	name := report.Upstream.Service()
	holdings := make([]holding, 0, len(report.Holdings))
	for _, stated := range report.Holdings {
		partition, err := c.shareMap(name, stated)
		if err != nil {
			ctx.Count(metricInvalidMaps, "")
			ctx.Log(effect.Warning, "snapshot", "holding ignored",
				effect.Field{Name: "upstream", Value: string(report.Upstream)},
				effect.Field{Name: "error", Value: err.Error()})
			continue
		}
		holdings = append(holdings, holding{partition: partition, holds: slices.Clone(stated.HeldShards)})
	}
	return holdings
}

// shareMap returns the map of a holding, the same value for all upstreams that
// state the same map.
func (c *Catalog) shareMap(name model.ServiceName, stated model.Holding) (*Map, error) {
	if s := c.services[name]; s != nil {
		for _, r := range s.records {
			for _, h := range r.holdings {
				if h.partition.Version == stated.Version && h.partition.equal(stated.Shards) {
					return h.partition, nil
				}
			}
		}
	}
	return NewMap(name, stated.Version, stated.Shards)
}

// NoteLoad takes in an upstream's queue as a dispatcher's result states it.
func (c *Catalog) NoteLoad(ctx *step.Context, upstream model.UpstreamID, freeSlots, queued int) {
	r, ok := c.records[upstream]
	if !ok {
		return
	}
	r.FreeSlots = freeSlots
	r.Queued = queued
	r.Updated = ctx.Now
}

// NoteVersionGone takes in that an upstream no longer holds a version; its next
// report will say so too.
func (c *Catalog) NoteVersionGone(ctx *step.Context, upstream model.UpstreamID, version model.Version) {
	r, ok := c.records[upstream]
	if !ok {
		return
	}
	kept := slices.DeleteFunc(r.holdings, func(h holding) bool { return h.partition.Version == version })
	if len(kept) == len(r.holdings) {
		return
	}
	r.holdings = kept
	if s := c.services[upstream.Service()]; s != nil {
		s.rebuild(ctx)
	}
}

// Report returns the newest report of an upstream.
func (c *Catalog) Report(upstream model.UpstreamID) (model.IndexReport, bool) {
	r, ok := c.records[upstream]
	if !ok {
		return model.IndexReport{}, false
	}
	holdings := make([]model.Holding, len(r.holdings))
	for i, h := range r.holdings {
		holdings[i] = model.Holding{Version: h.partition.Version, Shards: h.partition.shards, HeldShards: h.holds}
	}
	return model.IndexReport{
		Upstream:  r.ID,
		Observed:  r.observed,
		Holdings:  holdings,
		Draining:  r.drains,
		Reachable: r.Reachable,
		FreeSlots: r.FreeSlots,
		Queued:    r.Queued,
		Limit:     r.Limit,

		ReportedInFlight: r.Reported,
		ReportedAge:      r.received.Sub(r.ReportedAt),
	}, true
}

// Resolve returns the services that names and patterns (path.Match) select, in
// order and each once. The failure names what selects nothing.
func (c *Catalog) Resolve(ctx *step.Context, patterns []string) ([]*model.Service, *model.Failure) {
	c.sync(ctx)
	var names []model.ServiceName
	for _, pattern := range patterns {
		matched, failure := c.match(pattern)
		if failure != nil {
			return nil, failure
		}
		names = append(names, matched...)
	}
	slices.Sort(names)
	names = slices.Compact(names)
	selected := make([]*model.Service, len(names))
	for i, name := range names {
		selected[i] = c.services[name].config
	}
	return selected, nil
}

// match returns the services that one name or pattern selects.
func (c *Catalog) match(pattern string) ([]model.ServiceName, *model.Failure) {
	if _, ok := c.services[model.ServiceName(pattern)]; ok {
		return []model.ServiceName{model.ServiceName(pattern)}, nil
	}
	if matched, ok := c.matches[pattern]; ok {
		return matched, nil
	}
	var matched []model.ServiceName
	for _, name := range c.names {
		ok, err := path.Match(pattern, string(name))
		if err != nil {
			return nil, model.Failf(model.CodeBadRequest, "malformed pattern %.100q", pattern)
		}
		if ok {
			matched = append(matched, name)
		}
	}
	if len(matched) == 0 {
		return nil, model.Failf(model.CodeUnknownService, "no service matches %.100q", pattern)
	}
	if len(c.matches) >= maxMatches {
		clear(c.matches)
	}
	c.matches[pattern] = matched
	return matched, nil
}

// Service returns the configuration of a service, or nil.
func (c *Catalog) Service(ctx *step.Context, name model.ServiceName) *model.Service {
	c.sync(ctx)
	if s := c.services[name]; s != nil {
		return s.config
	}
	return nil
}
