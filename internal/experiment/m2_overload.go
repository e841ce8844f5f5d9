package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
)

// The situation of experiment M2.
const (
	m2Hosts       = 4
	m2Services    = 5
	m2Replicas    = 3
	m2Slots       = 2
	m2Connections = 25
	m2Policy      = "answer at deadline deadline 300ms coverage at least 100% repeat yes hedge budget 0% " +
		"retry budget 10% refuse queue 1000 wait 300ms"
	// m2Normal and m2Overload are loads relative to the capacity.
	m2Normal   = 0.7
	m2Overload = 2.0
	m2Phase    = 4 * time.Second
	// m2ShortTimeout and m2LongTimeout are the deadlines of the callers, drawn
	// with equal chances.
	m2ShortTimeout = 100 * time.Millisecond
	m2LongTimeout  = 300 * time.Millisecond
	// m2RollEvery is the time between two upstreams that take a new version up.
	m2RollEvery = 150 * time.Millisecond
	// m2RoundTrip is the time to the upstream and back, in which a slot idles.
	m2RoundTrip = time.Millisecond
	// m2MeanService is the mean of serviceTime.
	m2MeanService = 4 * time.Millisecond
)

// The targets of experiment M2.
const (
	m2UsefulTarget   = 90.0
	m2RecoveryTarget = 2 * time.Second
)

// m2Way is one way to deal with overload.
type m2Way struct {
	name string
	tune func(*reducer.Settings)
	// whole admits a search only if each of its services can serve it in time.
	whole bool
}

// overload is experiment M2.
func overload() Experiment {
	return Experiment{
		Name:    "m2-overload",
		Summary: "twice the capacity for 4 s, then back to 70%",
		Run:     runOverload,
	}
}

// m2Ways returns the baselines and the policy.
func m2Ways() []m2Way {
	return []m2Way{
		{name: "first in, first out", tune: func(s *reducer.Settings) {
			s.Dispatch = dispatch.Settings{Order: dispatch.ArrivalOrder, NoEarlyRefusal: true}
		}},
		{name: "earliest deadline, no early refusal", tune: func(s *reducer.Settings) {
			s.Dispatch = dispatch.Settings{NoEarlyRefusal: true}
		}},
		{name: "earliest deadline, early refusal", tune: func(s *reducer.Settings) {
			s.Dispatch = dispatch.Settings{NoEviction: true}
		}},
		{name: "the same, lowest priority refused"},
		{name: "lowest priority refused, whole queries only", whole: true},
	}
}

// runOverload measures each way, with searches of one and of all services, and
// with a version that rolls during the overload.
func runOverload(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"search", "fault", "way", "useful/s", "of capacity %", "p99 ms", "not run", "unknown", "refused that ran", "normal after s"},
		Notes: []string{
			fmt.Sprintf("Target: useful answers at least %g%% of the capacity, 0 refused that ran, normal again within %v.", m2UsefulTarget, m2RecoveryTarget),
			fmt.Sprintf("%d services of %d upstreams with %d slots; 70%% of the capacity for %v, 200%%, 70%%; deadlines of 100 and 300 ms in equal parts.", m2Services, m2Replicas, m2Slots, m2Phase),
			"Useful is a complete answer within its deadline. The capacity is slots / (mean service time + round trip).",
			"Whole queries only admits by the true state of all queues, which no node knows: it bounds what all-or-nothing admission can bring.",
		},
	}
	for _, pattern := range []string{"one service", "all services"} {
		for _, rolling := range []bool{false, true} {
			for _, way := range m2Ways() {
				row, err := runM2(seed, pattern == "all services", rolling, way)
				if err != nil {
					return Report{}, err
				}
				fault := "overload"
				if rolling {
					fault = "overload, rolling version"
				}
				report.Rows = append(report.Rows, append([]string{pattern, fault, way.name}, row...))
			}
		}
	}
	return report, nil
}

// m2Capacity is how many sub-requests one service runs in a second.
func m2Capacity() float64 {
	return m2Replicas * m2Slots / (m2MeanService + m2RoundTrip).Seconds()
}

// runM2 measures one way.
func runM2(seed uint64, all, rolling bool, way m2Way) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m2Hosts, Services: m2Services, Replicas: m2Replicas,
		Slots: m2Slots, Connections: m2Connections, Policy: m2Policy,
		Tune: way.tune, ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("way %q: %w", way.name, err)
	}
	capacity := m2Capacity()
	if !all {
		capacity *= m2Services
	}
	if rolling {
		cluster.After(m2Phase, func() { rollVersions(cluster) })
	}
	var admit func(event.Search) bool
	if way.whole {
		admit = func(search event.Search) bool { return wholeFits(cluster, search) }
	}
	samples := cluster.Drive(seed, []lab.Phase{
		{Rate: m2Normal * capacity, Duration: m2Phase},
		{Rate: m2Overload * capacity, Duration: m2Phase},
		{Rate: m2Normal * capacity, Duration: m2Phase},
	}, m2Draw(all), admit)
	return m2Row(cluster, samples, capacity), nil
}

// m2Draw returns a function that draws the searches.
func m2Draw(all bool) func(*rand.Rand, int) event.Search {
	return func(r *rand.Rand, _ int) event.Search {
		search := event.Search{Services: []string{"counter-*"}, Timeout: m2LongTimeout}
		if !all {
			search.Services[0] = string(lab.Service(r.IntN(m2Services)))
		}
		if r.IntN(2) == 0 {
			search.Timeout = m2ShortTimeout
		}
		return search
	}
}

// m2Row formats one result.
func m2Row(cluster *lab.Cluster, samples []lab.Sample, capacity float64) []string {
	over := lab.Between(samples, m2Phase, 2*m2Phase)
	before := lab.LatencyQuantile(lab.Between(samples, time.Second, m2Phase), 99)
	useful := float64(lab.CountUseful(over)) / m2Phase.Seconds()
	normal := lab.NormalAfter(samples, 2*m2Phase, 3*m2Phase, before)
	return []string{
		fmt.Sprintf("%.0f", useful),
		fmt.Sprintf("%.1f", 100*useful/capacity),
		milliseconds(lab.LatencyQuantile(over, 99)),
		fmt.Sprint(lab.CountOutcome(over, model.NotRun)),
		fmt.Sprint(lab.CountOutcome(over, model.Unknown)),
		fmt.Sprint(cluster.RefusedThatRan(samples)),
		fmt.Sprintf("%.2f", normal.Seconds()),
	}
}

// rollVersions lets the upstreams take version 2 up one after the other, and
// drop version 1 when all have it.
func rollVersions(cluster *lab.Cluster) {
	upstreams := cluster.Upstreams()
	for i, u := range upstreams {
		cluster.After(time.Duration(i)*m2RollEvery, func() {
			u.Holdings = []model.Holding{lab.Whole(1), lab.Whole(2)}
		})
		cluster.After(time.Duration(len(upstreams)+i)*m2RollEvery, func() {
			u.Holdings = []model.Holding{lab.Whole(2)}
		})
	}
}

// wholeFits reports whether each service of a search has an upstream whose queue
// can serve it within its timeout.
func wholeFits(cluster *lab.Cluster, search event.Search) bool {
	best := make(map[model.ServiceName]time.Duration)
	for _, host := range cluster.Hosts() {
		for _, u := range cluster.State(host).DescribeDispatch(cluster.Now()).Upstreams {
			wait := u.ServiceTime * time.Duration(u.InFlight+u.Queued+1) / time.Duration(max(1, u.Slots))
			known, seen := best[u.Upstream.Service()]
			if !seen || wait < known {
				best[u.Upstream.Service()] = wait
			}
		}
	}
	if search.Services[0] != "counter-*" {
		return best[model.ServiceName(search.Services[0])] < search.Timeout
	}
	for _, wait := range best {
		if wait >= search.Timeout {
			return false
		}
	}
	return true
}
