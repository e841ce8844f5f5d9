// Package snapshot tracks which upstreams hold which shards of each version of
// the index, pins a query to one version, and merges the rows of that version
// only.
package snapshot

import (
	"path"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Names of the catalog's metrics.
const (
	metricInvalidMaps  effect.Metric = "snapshot_invalid_maps_total"
	metricMapConflicts effect.Metric = "snapshot_map_conflicts_total"
	metricStaleReports effect.Metric = "snapshot_stale_reports_total"
)

// observerTimeout is how long a report takes precedence over reports with an
// earlier observation time. Afterwards its dispatcher is assumed to be gone, and
// the clock of the next dispatcher may be behind.
const observerTimeout = 5 * time.Second

// orphanTimeout is how long the catalog keeps the report of an upstream that is
// not in the configuration: the report may arrive before the configuration that
// adds the upstream.
const orphanTimeout = 1 * time.Minute

// maxCachedPatterns bounds the number of patterns in Catalog.patternMatches.
const maxCachedPatterns = 256

// Catalog holds the latest report of each upstream and indexes their holdings by
// service, version and shard.
type Catalog struct {
	config   *model.Config
	services map[model.ServiceName]*service
	// names holds the names of the services in ascending order.
	names   []model.ServiceName
	records map[model.UpstreamID]*record
	// patternMatches caches the services that each pattern matches.
	patternMatches map[string][]model.ServiceName
}

// service indexes the holdings of one service.
type service struct {
	config *model.Service
	// records holds the reported upstreams of the service, ordered by name.
	records []*record
	// versions is ordered from the newest to the oldest.
	versions []versionIndex
}

// versionIndex lists the holders of each shard of a service in one version.
type versionIndex struct {
	partition *Map
	// holders has one entry for each shard of the partition map, in its order.
	holders [][]*Replica
}

// Replica is the latest known state of an upstream.
type Replica struct {
	ID     model.UpstreamID
	Domain model.FailureDomain
	// Draining is set by the operators' configuration or by the upstream.
	Draining  bool
	Reachable bool
	// FreeSlots, Queued and Limit are the dispatcher's latest counts.
	FreeSlots int
	Queued    int
	Limit     int
	// ReportedInFlight is the number of requests in flight that the upstream itself
	// reported at ReportedAt.
	ReportedInFlight int
	ReportedAt       model.Instant
	// UpdatedAt is when the latest counts arrived, on this node's clock.
	UpdatedAt model.Instant
	// LatencyFactor multiplies the expected latency. It accounts for conditions that
	// the mean of past latencies does not reflect yet, such as a pause that has
	// just begun. Values below 1, such as zero, count as 1.
	LatencyFactor float64
}

// Usable reports whether new work may be sent to the replica.
func (r *Replica) Usable() bool { return r.Reachable && !r.Draining }

// record holds the latest report of an upstream. Equal partition maps are shared
// between records.
type record struct {
	Replica
	observedAt model.Instant
	receivedAt model.Instant
	// reportedDraining is true if the upstream itself reports that it is draining.
	reportedDraining bool
	// configured is true while the upstream is in the configuration and the record
	// is listed in its service.
	configured bool
	holdings   []holding
}

// holding lists the shards of one version that an upstream holds.
type holding struct {
	partition  *Map
	heldShards []model.ShardID
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{
		services:       make(map[model.ServiceName]*service),
		records:        make(map[model.UpstreamID]*record),
		patternMatches: make(map[string][]model.ServiceName),
	}
}

// HandleReport updates the catalog with a dispatcher's report on an upstream. It
// ignores a report that was observed before the latest one of the same upstream,
// unless at least observerTimeout has passed since the latest one arrived.
func (c *Catalog) HandleReport(ctx *step.Context, report model.IndexReport) {
	c.applyConfig(ctx)
	r, known := c.records[report.Upstream]
	if known && report.Observed.Before(r.observedAt) && ctx.Now.Sub(r.receivedAt) < observerTimeout {
		ctx.Count(metricStaleReports, "")
		return
	}
	if !known {
		r = &record{Replica: Replica{ID: report.Upstream}}
		c.records[report.Upstream] = r
		r.configured = c.addToService(r)
	}
	c.applyReport(ctx, r, report)
}

// applyReport copies a report into its record and rebuilds the index of the
// service if the holdings changed.
func (c *Catalog) applyReport(ctx *step.Context, r *record, report model.IndexReport) {
	r.observedAt = report.Observed
	r.receivedAt = ctx.Now
	r.UpdatedAt = ctx.Now
	r.reportedDraining = report.Draining
	r.Draining = report.Draining || c.configuredDraining(r.ID)
	r.Reachable = report.Reachable
	r.FreeSlots = report.FreeSlots
	r.Queued = report.Queued
	r.Limit = report.Limit
	r.ReportedInFlight = report.ReportedInFlight
	r.ReportedAt = ctx.Now.Add(-report.ReportedAge)
	if r.sameHoldings(report.Holdings) {
		return
	}
	r.holdings = c.internHoldings(ctx, report)
	if s := c.services[report.Upstream.Service()]; s != nil {
		s.rebuild(ctx)
	}
}

// sameHoldings reports whether the reported holdings equal those of the record.
func (r *record) sameHoldings(reported []model.Holding) bool {
	if len(reported) != len(r.holdings) {
		return false
	}
	for i, h := range r.holdings {
		if h.partition.Version != reported[i].Version || !slices.Equal(h.heldShards, reported[i].HeldShards) || !h.partition.equal(reported[i].Shards) {
			return false
		}
	}
	return true
}

// internHoldings returns the valid holdings of a report. Partition maps are shared
// between the upstreams of the service. Invalid holdings are counted and logged.
func (c *Catalog) internHoldings(ctx *step.Context, report model.IndexReport) []holding {
	name := report.Upstream.Service()
	holdings := make([]holding, 0, len(report.Holdings))
	for _, reported := range report.Holdings {
		partition, err := c.internMap(name, reported)
		if err != nil {
			ctx.Count(metricInvalidMaps, "")
			ctx.Log(effect.Warning, "snapshot", "invalid holding ignored",
				effect.Field{Name: "upstream", Value: string(report.Upstream)},
				effect.Field{Name: "error", Value: err.Error()})
			continue
		}
		holdings = append(holdings, holding{partition: partition, heldShards: slices.Clone(reported.HeldShards)})
	}
	return holdings
}

// internMap returns the partition map of a holding, the same pointer for all
// upstreams of the service that report an equal map. It returns *MapError if the
// shards do not tile the key space.
func (c *Catalog) internMap(name model.ServiceName, reported model.Holding) (*Map, error) {
	if s := c.services[name]; s != nil {
		for _, r := range s.records {
			for _, h := range r.holdings {
				if h.partition.Version == reported.Version && h.partition.equal(reported.Shards) {
					return h.partition, nil
				}
			}
		}
	}
	return NewMap(name, reported.Version, reported.Shards)
}

// UpdateLoad updates the free slots and the queue length of an upstream from a
// dispatcher's result.
func (c *Catalog) UpdateLoad(ctx *step.Context, upstream model.UpstreamID, freeSlots, queued int) {
	r, ok := c.records[upstream]
	if !ok {
		return
	}
	r.FreeSlots = freeSlots
	r.Queued = queued
	r.UpdatedAt = ctx.Now
}

// RemoveVersion removes a version from an upstream's holdings without waiting for
// the next report.
func (c *Catalog) RemoveVersion(ctx *step.Context, upstream model.UpstreamID, version model.Version) {
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

// Report returns the latest report of an upstream, and false if there is none.
func (c *Catalog) Report(upstream model.UpstreamID) (model.IndexReport, bool) {
	r, ok := c.records[upstream]
	if !ok {
		return model.IndexReport{}, false
	}
	holdings := make([]model.Holding, len(r.holdings))
	for i, h := range r.holdings {
		holdings[i] = model.Holding{Version: h.partition.Version, Shards: h.partition.shards, HeldShards: h.heldShards}
	}
	return model.IndexReport{
		Upstream:  r.ID,
		Observed:  r.observedAt,
		Holdings:  holdings,
		Draining:  r.reportedDraining,
		Reachable: r.Reachable,
		FreeSlots: r.FreeSlots,
		Queued:    r.Queued,
		Limit:     r.Limit,

		ReportedInFlight: r.ReportedInFlight,
		ReportedAge:      r.receivedAt.Sub(r.ReportedAt),
	}, true
}

// Resolve returns the services that match any of the given names and patterns (see
// path.Match), ordered by name and without duplicates. It fails if a pattern is
// malformed or matches no service.
func (c *Catalog) Resolve(ctx *step.Context, patterns []string) ([]*model.Service, *model.Failure) {
	c.applyConfig(ctx)
	var names []model.ServiceName
	for _, pattern := range patterns {
		matched, failure := c.matchPattern(pattern)
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

// matchPattern returns the services that match one name or pattern.
func (c *Catalog) matchPattern(pattern string) ([]model.ServiceName, *model.Failure) {
	if _, ok := c.services[model.ServiceName(pattern)]; ok {
		return []model.ServiceName{model.ServiceName(pattern)}, nil
	}
	if matched, ok := c.patternMatches[pattern]; ok {
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
	if len(c.patternMatches) >= maxCachedPatterns {
		clear(c.patternMatches)
	}
	c.patternMatches[pattern] = matched
	return matched, nil
}

// Service returns the configuration of a service, or nil if there is none.
func (c *Catalog) Service(ctx *step.Context, name model.ServiceName) *model.Service {
	c.applyConfig(ctx)
	if s := c.services[name]; s != nil {
		return s.config
	}
	return nil
}
