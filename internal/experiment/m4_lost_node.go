package experiment

import (
	"fmt"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
)

// Parameters of experiment M4.
const (
	m4Hosts          = 4
	m4Services       = 10
	m4Replicas       = 3
	m4Slots          = 2
	m4MaxConnections = 25
	m4ServicePolicy  = "answer at deadline deadline 500ms coverage at least 100% repeat yes hedge budget 5% retry budget 10% refuse queue 64 wait 400ms"
	m4Load           = 0.7
	m4Duration       = 8 * time.Second
	m4KillTime       = 4 * time.Second
	// m4AcceptTime is how long an upstream is occupied with accepting one connection.
	m4AcceptTime = 6 * time.Millisecond
	// m4UnlimitedOpening exceeds the connections of any upstream, so that opening
	// them is not paced.
	m4UnlimitedOpening = 1000
	// m4AfterWindow is the time after the loss over which the latency quantiles are
	// taken.
	m4AfterWindow = 2 * time.Second
)

// lostNodeExperiment returns experiment M4, which measures the loss of a node under
// load.
func lostNodeExperiment() Experiment {
	return Experiment{
		Name:    "m4-lost-node",
		Summary: "one of 4 nodes is killed at 70% load",
		Run:     runLostNode,
	}
}

// m4Strategy is a strategy for opening connections when the upstreams of a lost node
// are taken over.
type m4Strategy struct {
	name string
	tune func(*reducer.Settings)
}

// m4Strategies returns the baselines and the default policy.
func m4Strategies() []m4Strategy {
	return []m4Strategy{
		{"all connections at once", func(s *reducer.Settings) {
			s.Dispatch = dispatch.Settings{MaxOpening: m4UnlimitedOpening, OpenAll: true}
		}},
		{"needed connections at once", func(s *reducer.Settings) {
			s.Dispatch = dispatch.Settings{MaxOpening: m4UnlimitedOpening}
		}},
		{"needed connections, paced", nil},
	}
}

// runLostNode measures each strategy with a lost node, with a straggler and with
// both.
func runLostNode(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"fault", "way", "in flight on the lost node", "lost", "unknown", "not run", "p99 before ms", "p99 after ms", "p99.9 after ms", "normal after s", "peak connections"},
		Notes: []string{
			fmt.Sprintf("Target: only requests in flight on the lost node are unknown; normal again within %v.", m2MaxRecoveryTime),
			fmt.Sprintf("%d nodes, %d services of %d upstreams with %d slots, %g%% of the capacity; a new connection costs an upstream %v.", m4Hosts, m4Services, m4Replicas, m4Slots, 100*m4Load, m4AcceptTime),
			fmt.Sprintf("Lost are searches that got no answer, unknown and not run are counted from the loss on. After is the %v after the loss.", m4AfterWindow),
		},
	}
	faults := []m4Fault{
		{name: "lost node", lostNode: true},
		{name: "straggler", straggler: true},
		{name: "lost node and straggler", lostNode: true, straggler: true},
	}
	for _, fault := range faults {
		for _, strategy := range m4Strategies() {
			row, err := runM4(seed, fault, strategy)
			if err != nil {
				return Report{}, err
			}
			report.Rows = append(report.Rows, append([]string{fault.name, strategy.name}, row...))
		}
	}
	return report, nil
}

// m4Fault is a combination of faults.
type m4Fault struct {
	name      string
	lostNode  bool
	straggler bool
}

// runM4 measures a strategy with a fault.
func runM4(seed uint64, fault m4Fault, strategy m4Strategy) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m4Hosts, Services: m4Services, Replicas: m4Replicas,
		Slots: m4Slots, MaxConnections: m4MaxConnections, Policy: m4ServicePolicy,
		Tune: strategy.tune, ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("strategy %q: %w", strategy.name, err)
	}
	for _, u := range cluster.Upstreams() {
		u.AcceptTime = m4AcceptTime
	}
	if fault.straggler {
		slowDown(cluster.Upstream(lab.UpstreamID(0, 0)))
	}
	lost := cluster.Hosts()[m4Hosts-1]
	inFlight := 0
	cluster.After(m4KillTime, func() {
		if !fault.lostNode {
			return
		}
		inFlight = cluster.State(lost).OpenRequests()
		cluster.Kill(lost)
	})
	capacity := m4Services * m4Replicas * m4Slots / (m2MeanServiceTime + m2RoundTrip).Seconds()
	samples := cluster.Drive(seed, []lab.Phase{{Rate: m4Load * capacity, Duration: m4Duration}}, oneService(m4Services), nil)
	return m4Row(cluster, samples, inFlight), nil
}

// m4Row formats a result as a row of the report.
func m4Row(cluster *lab.Cluster, samples []lab.Sample, inFlight int) []string {
	before := lab.LatencyQuantile(lab.Between(samples, time.Second, m4KillTime), 99)
	// Searches in flight at the loss were sent at most their deadline of 500 ms
	// before it.
	since := lab.Between(samples, m4KillTime-time.Second, m4Duration)
	after := lab.Between(samples, m4KillTime, m4KillTime+m4AfterWindow)
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
		fmt.Sprintf("%.2f", lab.RecoveryTime(samples, m4KillTime, m4Duration, before).Seconds()),
		fmt.Sprint(peak),
	}
}
