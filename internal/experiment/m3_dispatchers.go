package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
)

// Parameters of experiment M3.
const (
	m3Hosts         = 4
	m3ServicePolicy = "answer at deadline deadline 300ms coverage at least 100% repeat yes hedge budget 0% retry budget 10% refuse queue 64 wait 200ms"
	m3Load          = 0.7
	m3Duration      = 4 * time.Second
	m3Warmup        = 1 * time.Second
	// m3KillTime and m3RestartTime are the times, since the start of the load, at
	// which a node is killed and restarted.
	m3KillTime    = 2 * time.Second
	m3RestartTime = 3 * time.Second
)

// m3Shape is a group of services with the sizes that today's users have.
type m3Shape struct {
	name                                      string
	services, replicas, slots, maxConnections int
}

// m3Shapes returns the service groups of today's users.
func m3Shapes() []m3Shape {
	return []m3Shape{
		{"counter and card-stock", 25, 3, 2, 25},
		{"print-room", 1, 7, 3, 110},
		{"vacancy-finder and franchise-desk", 25, 3, 3, 30},
		{"home-profile", 1, 15, 3, 40},
	}
}

// dispatchersExperiment returns experiment M3, which measures different numbers of
// dispatchers per upstream.
func dispatchersExperiment() Experiment {
	return Experiment{
		Name:    "m3-dispatchers",
		Summary: "today's sizes with 1, 2 and 4 dispatchers an upstream; a node is lost and comes back",
		Run:     runDispatchers,
	}
}

// runDispatchers measures each shape with each number of dispatchers.
func runDispatchers(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"services", "W", "connections", "peak", "limit", "peak in flight", "slots", "shed", "useful %", "p50 ms", "p99 ms", "p99.9 ms"},
		Notes: []string{
			"Target: connections of an upstream never over its limit.",
			fmt.Sprintf("%d nodes at %g%% of the capacity for %v; a node is killed at %v and back at %v.", m3Hosts, 100*m3Load, m3Duration, m3KillTime, m3RestartTime),
			"Connections are the mean of an upstream at the end; peaks are the highest of any upstream at any time.",
		},
	}
	for _, shape := range m3Shapes() {
		for _, dispatchers := range []int{1, 2, 4} {
			row, err := runM3(seed, shape, dispatchers)
			if err != nil {
				return Report{}, err
			}
			report.Rows = append(report.Rows, row)
		}
	}
	return report, nil
}

// runM3 measures a shape with a number of dispatchers per upstream.
func runM3(seed uint64, shape m3Shape, dispatchers int) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m3Hosts, Services: shape.services, Replicas: shape.replicas,
		Slots: shape.slots, MaxConnections: shape.maxConnections, Policy: m3ServicePolicy,
		Tune:        func(s *reducer.Settings) { s.Entry.Dispatchers = dispatchers },
		ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("%s, W = %d: %w", shape.name, dispatchers, err)
	}
	lost := cluster.Hosts()[m3Hosts-1]
	cluster.After(m3KillTime, func() { cluster.Kill(lost) })
	cluster.After(m3RestartTime, func() { cluster.Restart(lost) })
	capacity := float64(shape.services*shape.replicas*shape.slots) / (m2MeanServiceTime + m2RoundTrip).Seconds()
	samples := cluster.Drive(seed, []lab.Phase{{Rate: m3Load * capacity, Duration: m3Duration}}, oneService(shape.services), nil)
	return m3Row(cluster, shape, dispatchers, lab.Between(samples, m3Warmup, m3Duration)), nil
}

// oneService returns a function that draws searches of a single random service.
func oneService(services int) func(*rand.Rand, int) event.Search {
	return func(r *rand.Rand, _ int) event.Search {
		return event.Search{Services: []string{string(lab.Service(r.IntN(services)))}}
	}
}

// m3Row formats a result as a row of the report.
func m3Row(cluster *lab.Cluster, shape m3Shape, dispatchers int, samples []lab.Sample) []string {
	peak, inFlight, shed := 0, 0, 0
	for _, u := range cluster.Upstreams() {
		peak = max(peak, u.PeakConnections)
		inFlight = max(inFlight, u.PeakInFlight)
		shed += u.Shed
	}
	connections := 0
	for _, host := range cluster.Hosts() {
		connections += cluster.State(host).DescribeDispatch(cluster.Now()).Connections
	}
	return []string{
		shape.name, fmt.Sprint(dispatchers),
		fmt.Sprintf("%.1f", float64(connections)/float64(len(cluster.Upstreams()))),
		fmt.Sprint(peak), fmt.Sprint(shape.maxConnections),
		fmt.Sprint(inFlight), fmt.Sprint(shape.slots), fmt.Sprint(shed),
		fmt.Sprintf("%.2f", 100*float64(lab.CountUseful(samples))/float64(len(samples))),
		milliseconds(lab.LatencyQuantile(samples, 50)),
		milliseconds(lab.LatencyQuantile(samples, 99)),
		milliseconds(lab.LatencyQuantile(samples, 99.9)),
	}
}
