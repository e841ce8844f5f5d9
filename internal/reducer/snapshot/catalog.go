// Package snapshot knows which upstream holds which shards of which snapshot of
// the index, pins a query to one version, and merges parts of that version
// alone.
package snapshot

import (
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Catalog is what a node knows of the upstreams' holdings.
type Catalog struct{}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog { return &Catalog{} }

// HandleReport takes in what a dispatcher learned of an upstream. An older
// report of the same upstream is ignored.
func (c *Catalog) HandleReport(ctx *step.Context, report model.IndexReport) {}

// Report returns the newest report of an upstream.
func (c *Catalog) Report(upstream model.UpstreamID) (model.IndexReport, bool) {
	return model.IndexReport{}, false
}

// Len returns the number of upstreams with a report.
func (c *Catalog) Len() int { return 0 }
