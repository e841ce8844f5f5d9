package metrics

import (
	"context"
	"encoding/json"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// dumpTimeout bounds the reading of the state for one scrape.
const dumpTimeout = 2 * time.Second

// Dumper returns the state dump as JSON.
type Dumper interface {
	Dump(ctx context.Context) ([]byte, error)
}

// Gauges reads the state dump at each scrape.
type Gauges struct {
	dumper Dumper
	gauges []gauge
}

// gauge is one value read from the dump.
type gauge struct {
	description *prometheus.Desc
	read        func(reducer.Dump) float64
}

// memberStates are the values of the members' state label.
var memberStates = []model.MemberState{
	model.Starting, model.Serving, model.Leaving, model.Suspected, model.Failed,
}

// membersDescription describes the members by state.
var membersDescription = prometheus.NewDesc("hawthorntack_membership_members",
	"Members in this node's view, by state.", []string{"state"}, nil)

// NewGauges registers the gauges of a node.
func NewGauges(registry prometheus.Registerer, dumper Dumper) {
	registry.MustRegister(&Gauges{dumper: dumper, gauges: gauges()})
}

// gauges lists the values that are read from the dump.
func gauges() []gauge {
	describe := func(name, help string, read func(reducer.Dump) float64) gauge {
		return gauge{prometheus.NewDesc("hawthorntack_"+name, help, nil, nil), read}
	}
	return []gauge{
		describe("config_revision", "Configuration revision in force.",
			func(d reducer.Dump) float64 { return float64(d.Revision) }),
		describe("query_open_requests", "Searches and orders that this node coordinates.",
			func(d reducer.Dump) float64 { return float64(d.Query.OpenRequests) }),
		describe("query_open_attempts", "Sub-requests without a result.",
			func(d reducer.Dump) float64 { return float64(d.Query.OpenAttempts) }),
		describe("dispatch_upstreams", "Upstreams that this node dispatches for.",
			func(d reducer.Dump) float64 { return float64(d.Dispatch.UpstreamPools) }),
		describe("dispatch_connections", "Connections to upstreams.",
			func(d reducer.Dump) float64 { return float64(d.Dispatch.Connections) }),
		describe("dispatch_jobs", "Sub-requests queued or running here.",
			func(d reducer.Dump) float64 { return float64(d.Dispatch.Jobs) }),
		describe("snapshot_reachable_upstreams", "Upstreams whose last report says that they can be reached.",
			func(d reducer.Dump) float64 { return float64(d.KnownUpstreams) }),
		describe("session_sessions", "Sessions that this node answers for.",
			func(d reducer.Dump) float64 { return float64(d.Session.Sessions) }),
		describe("session_memory_bytes", "Estimated memory of kept outcomes.",
			func(d reducer.Dump) float64 { return float64(d.Session.Bytes) }),
		describe("quarantine_suspects", "Request contents under suspicion.",
			func(d reducer.Dump) float64 { return float64(d.Quarantine.Suspects) }),
		describe("quarantine_convictions", "Request contents that are convicted.",
			func(d reducer.Dump) float64 { return float64(len(d.Quarantine.Blocks)) }),
		describe("admission_open_requests", "Requests taken on, counted once for each service.",
			func(d reducer.Dump) float64 { return float64(d.Admission.Open) }),
		describe("reducer_timers", "Pending timers.",
			func(d reducer.Dump) float64 { return float64(d.Timers) }),
	}
}

// Describe implements prometheus.Collector.
func (g *Gauges) Describe(out chan<- *prometheus.Desc) {
	out <- membersDescription
	for _, each := range g.gauges {
		out <- each.description
	}
}

// Collect implements prometheus.Collector. A node that has stopped has no
// gauges.
func (g *Gauges) Collect(out chan<- prometheus.Metric) {
	ctx, cancel := context.WithTimeout(context.Background(), dumpTimeout)
	defer cancel()
	encoded, err := g.dumper.Dump(ctx)
	if err != nil {
		return
	}
	var dump reducer.Dump
	if err := json.Unmarshal(encoded, &dump); err != nil {
		return
	}
	for _, each := range g.gauges {
		out <- prometheus.MustNewConstMetric(each.description, prometheus.GaugeValue, each.read(dump))
	}
	for _, state := range memberStates {
		count := 0.0
		for _, m := range dump.Members {
			if m.State == state {
				count++
			}
		}
		out <- prometheus.MustNewConstMetric(membersDescription, prometheus.GaugeValue, count, string(state))
	}
}
