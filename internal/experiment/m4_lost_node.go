package experiment

import (
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
)

// The situation of experiment M4.
const (
	m4Hosts       = 4
	m4Services    = 10
	m4Replicas    = 3
	m4Slots       = 2
	m4Connections = 25
	m4Policy      = "answer at deadline deadline 500ms coverage at least 100% repeat yes hedge budget 5% retry budget 10% refuse queue 64 wait 400ms"
	m4Load        = 0.7
	m4Duration    = 8 * time.Second
	m4Kill        = 4 * time.Second
	// m4ConnectCost is what a new connection costs the upstream.
	m4ConnectCost = 6 * time.Millisecond
	// m4Unpaced is more than the connections of any upstream.
	m4Unpaced = 1000
	// m4After is the time after the loss in which the p99 is taken.
	m4After = 2 * time.Second
)

// lostNode is experiment M4.
func lostNode() Experiment {
	return Experiment{
		Name:    "m4-lost-node",
		Summary: "one of 4 nodes is killed at 70% load",
		Run:     runLostNode,
	}
}

// m4Way is one way to take the lost node's upstreams over.
type m4Way struct {
	name string
	tune func(*reducer.Settings)
}

// m4Ways returns the baseline and the policy.
func m4Ways() []m4Way {
	return []m4Way{
		{"all connections at once", func(s *reducer.Settings) {
			s.Dispatch = dispatch.Settings{MaxOpening: m4Unpaced, OpenAll: true}
		}},
		{"needed connections at once", func(s *reducer.Settings) {
			s.Dispatch = dispatch.Settings{MaxOpening: m4Unpaced}
		}},
		{"needed connections, paced", nil},
	}
}

// runLostNode measures each way, also with a straggler.
func runLostNode(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"fault", "way", "in flight on the lost node", "lost", "unknown", "not run", "p99 before ms", "p99 after ms", "p99.9 after ms", "normal after s", "peak connections"},
		Notes: []string{
			fmt.Sprintf("Target: only requests in flight on the lost node are unknown; normal again within %v.", m2RecoveryTarget),
			fmt.Sprintf("%d nodes, %d services of %d upstreams with %d slots, %g%% of the capacity; a new connection costs an upstream %v.", m4Hosts, m4Services, m4Replicas, m4Slots, 100*m4Load, m4ConnectCost),
			fmt.Sprintf("Lost are searches that got no answer, unknown and not run are counted from the loss on. After is the %v after the loss.", m4After),
		},
	}
	faults := []m4Fault{
		{name: "lost node", lost: true},
		{name: "straggler", slow: true},
		{name: "lost node and straggler", lost: true, slow: true},
	}
	for _, fault := range faults {
		for _, way := range m4Ways() {
			row, err := runM4(seed, fault, way)
			if err != nil {
				return Report{}, err
			}
			report.Rows = append(report.Rows, append([]string{fault.name, way.name}, row...))
		}
	}
	return report, nil
}

// m4Fault is what goes wrong.
type m4Fault struct {
	name string
	lost bool
	slow bool
}

// runM4 measures one way.
func runM4(seed uint64, fault m4Fault, way m4Way) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m4Hosts, Services: m4Services, Replicas: m4Replicas,
		Slots: m4Slots, Connections: m4Connections, Policy: m4Policy,
		Tune: way.tune, ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("way %q: %w", way.name, err)
	}
	for _, u := range cluster.Upstreams() {
		u.AcceptTime = m4ConnectCost
	}
	if fault.slow {
		slowDown(cluster.Upstream(lab.UpstreamID(0, 0)))
	}
	lost := cluster.Hosts()[m4Hosts-1]
	inFlight := 0
	cluster.After(m4Kill, func() {
		if !fault.lost {
			return
		}
		inFlight = cluster.State(lost).OpenRequests()
		cluster.Kill(lost)
	})
	capacity := m4Services * m4Replicas * m4Slots / (m2MeanService + m2RoundTrip).Seconds()
	samples := cluster.Drive(seed, []lab.Phase{{Rate: m4Load * capacity, Duration: m4Duration}}, oneService(m4Services), nil)
	return m4Row(cluster, samples, inFlight), nil
}

// m4Row formats one result.
func m4Row(cluster *lab.Cluster, samples []lab.Sample, inFlight int) []string {
	before := lab.LatencyQuantile(lab.Between(samples, time.Second, m4Kill), 99)
	// A search that was in flight at the loss was sent at most its deadline before.
	since := lab.Between(samples, m4Kill-time.Second, m4Duration)
	after := lab.Between(samples, m4Kill, m4Kill+m4After)
	peak := 0
	for _, u := range cluster.Upstreams() {
		peak = max(peak, u.PeakConnections)
	}
	return []string{
		fmt.Sprint(inFlight),
		fmt.Sprint(lab.CountOutcome(since, "")),
		fmt.Sprint(lab.CountOutcome(since, model.Unknown)),
		fmt.Sprint(lab.CountOutcome(since, model.NotRun)),
		milliseconds(before),
		milliseconds(lab.LatencyQuantile(after, 99)),
		milliseconds(lab.LatencyQuantile(after, 99.9)),
		fmt.Sprintf("%.2f", lab.NormalAfter(samples, m4Kill, m4Duration, before).Seconds()),
		fmt.Sprint(peak),
	}
}
