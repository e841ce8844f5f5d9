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

// Parameters of experiment M2.
const (
	m2Hosts          = 4
	m2Services       = 5
	m2Replicas       = 3
	m2Slots          = 2
	m2MaxConnections = 25
	m2ServicePolicy  = "answer at deadline deadline 300ms coverage at least 100% repeat yes hedge budget 0% " +
		"retry budget 10% refuse queue 1000 wait 300ms"
	// m2NormalLoad and m2HighLoad are loads relative to the capacity.
	m2NormalLoad    = 0.7
	m2HighLoad      = 2.0
	m2PhaseDuration = 4 * time.Second
	// m2ShortDeadline and m2LongDeadline are the deadlines of the callers, chosen
	// with equal probability.
	m2ShortDeadline = 100 * time.Millisecond
	m2LongDeadline  = 300 * time.Millisecond
	// m2RollInterval is the interval at which the upstreams, one after the other,
	// change their versions.
	m2RollInterval = 150 * time.Millisecond
	// m2RoundTrip is the round-trip time to an upstream, in which a slot is idle.
	m2RoundTrip = time.Millisecond
	// m2MeanServiceTime is the mean of serviceTime.
	m2MeanServiceTime = 4 * time.Millisecond
)

// Targets of experiment M2: the minimum rate of useful answers in percent of the
// capacity, and the maximum recovery time.
const (
	m2MinUsefulPercent = 90.0
	m2MaxRecoveryTime  = 2 * time.Second
)

// m2Strategy is a strategy for handling overload.
type m2Strategy struct {
	name string
	tune func(*reducer.Settings)
	// wholeQueries admits a search only if each of its services can serve it within
	// the search's deadline.
	wholeQueries bool
}

// overloadExperiment returns experiment M2, which measures overload and the recovery
// from it.
func overloadExperiment() Experiment {
	return Experiment{
		Name:    "m2-overload",
		Summary: "twice the capacity for 4 s, then back to 70%",
		Run:     runOverload,
	}
}

// m2Strategies returns the baselines, the default policy and the admission of whole
// queries.
func m2Strategies() []m2Strategy {
	return []m2Strategy{
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
		{name: "lowest priority refused, whole queries only", wholeQueries: true},
	}
}

// runOverload measures each strategy with searches of one service and of all
// services, with and without a version that rolls out during the overload.
func runOverload(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"search", "fault", "way", "useful/s", "of capacity %", "p99 ms", "not run", "unknown", "refused that ran", "normal after s"},
		Notes: []string{
			fmt.Sprintf("Target: useful answers at least %g%% of the capacity, 0 refused that ran, normal again within %v.", m2MinUsefulPercent, m2MaxRecoveryTime),
			fmt.Sprintf("%d services of %d upstreams with %d slots; 70%% of the capacity for %v, 200%%, 70%%; deadlines of 100 and 300 ms in equal parts.", m2Services, m2Replicas, m2Slots, m2PhaseDuration),
			"Useful is a complete answer within its deadline. The capacity is slots / (mean service time + round trip).",
			"Whole queries only admits by the true state of all queues, which no node knows: it bounds what all-or-nothing admission can bring.",
		},
	}
	for _, pattern := range []string{"one service", "all services"} {
		for _, rolling := range []bool{false, true} {
			for _, strategy := range m2Strategies() {
				row, err := runM2(seed, pattern == "all services", rolling, strategy)
				if err != nil {
					return Report{}, err
				}
				fault := "overload"
				if rolling {
					fault = "overload, rolling version"
				}
				report.Rows = append(report.Rows, append([]string{pattern, fault, strategy.name}, row...))
			}
		}
	}
	return report, nil
}

// m2Capacity returns the capacity of one service in sub-requests per second.
func m2Capacity() float64 {
	return m2Replicas * m2Slots / (m2MeanServiceTime + m2RoundTrip).Seconds()
}

// runM2 measures a strategy. If allServices is true, each search covers all services,
// otherwise one.
func runM2(seed uint64, allServices, isRolling bool, strategy m2Strategy) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m2Hosts, Services: m2Services, Replicas: m2Replicas,
		Slots: m2Slots, MaxConnections: m2MaxConnections, Policy: m2ServicePolicy,
		Tune: strategy.tune, ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("strategy %q: %w", strategy.name, err)
	}
	capacity := m2Capacity()
	if !allServices {
		capacity *= m2Services
	}
	if isRolling {
		cluster.After(m2PhaseDuration, func() { rollVersions(cluster) })
	}
	var admit func(event.Search) bool
	if strategy.wholeQueries {
		admit = func(search event.Search) bool { return allServicesFit(cluster, search) }
	}
	samples := cluster.Drive(seed, []lab.Phase{
		{Rate: m2NormalLoad * capacity, Duration: m2PhaseDuration},
		{Rate: m2HighLoad * capacity, Duration: m2PhaseDuration},
		{Rate: m2NormalLoad * capacity, Duration: m2PhaseDuration},
	}, newSearchDraw(allServices), admit)
	return m2Row(cluster, samples, capacity), nil
}

// newSearchDraw returns a function that draws searches of all services or of one, with
// a short or a long deadline.
func newSearchDraw(allServices bool) func(*rand.Rand, int) event.Search {
	return func(r *rand.Rand, _ int) event.Search {
		search := event.Search{Services: []string{"counter-*"}, Timeout: m2LongDeadline}
		if !allServices {
			search.Services[0] = string(lab.Service(r.IntN(m2Services)))
		}
		if r.IntN(2) == 0 {
			search.Timeout = m2ShortDeadline
		}
		return search
	}
}

// m2Row formats a result as a row of the report.
func m2Row(cluster *lab.Cluster, samples []lab.Sample, capacity float64) []string {
	overload := lab.Between(samples, m2PhaseDuration, 2*m2PhaseDuration)
	before := lab.LatencyQuantile(lab.Between(samples, time.Second, m2PhaseDuration), 99)
	useful := float64(lab.CountUseful(overload)) / m2PhaseDuration.Seconds()
	normal := lab.RecoveryTime(samples, 2*m2PhaseDuration, 3*m2PhaseDuration, before)
	return []string{
		fmt.Sprintf("%.0f", useful),
		fmt.Sprintf("%.1f", 100*useful/capacity),
		milliseconds(lab.LatencyQuantile(overload, 99)),
		fmt.Sprint(lab.CountOutcome(overload, model.NotRun)),
		fmt.Sprint(lab.CountOutcome(overload, model.Unknown)),
		fmt.Sprint(cluster.RefusedThatRan(samples)),
		fmt.Sprintf("%.2f", normal.Seconds()),
	}
}

// rollVersions makes the upstreams add version 2 one after the other and, once all
// have it, drop version 1 one after the other.
func rollVersions(cluster *lab.Cluster) {
	upstreams := cluster.Upstreams()
	for i, u := range upstreams {
		cluster.After(time.Duration(i)*m2RollInterval, func() {
			u.Holdings = []model.Holding{lab.FullHolding(1), lab.FullHolding(2)}
		})
		cluster.After(time.Duration(len(upstreams)+i)*m2RollInterval, func() {
			u.Holdings = []model.Holding{lab.FullHolding(2)}
		})
	}
}

// allServicesFit reports whether each service of a search has an upstream whose
// estimated wait is shorter than the search's timeout.
func allServicesFit(cluster *lab.Cluster, search event.Search) bool {
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
