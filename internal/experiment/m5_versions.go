package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

// Parameters of experiment M5. The services are those of M1.
const (
	m5Duration = 16 * time.Second
	// m5VersionInterval is the time from the start of one version's rollout to that
	// of the next.
	m5VersionInterval = 4 * time.Second
	m5Versions        = 4
	// m5ReplicaInterval is the time from one replica of a service to the next
	// within a rollout, and m5MaxJitter the upper bound of the random delay added
	// for each replica.
	m5ReplicaInterval = 800 * time.Millisecond
	m5MaxJitter       = 300 * time.Millisecond
	// m5Overlap is how long an upstream that does not drop the old version at once
	// keeps it.
	m5Overlap = 2500 * time.Millisecond
	// m5OverloadFactor multiplies the rate of M1; at the resulting rate one replica
	// of each service is not enough.
	m5OverloadFactor = 2
)

// m5Fault is a combination of faults while versions roll out.
type m5Fault struct {
	name      string
	straggler bool
	overload  bool
	// dropAtOnce makes upstreams drop the old version as soon as they have the new
	// one.
	dropAtOnce bool
}

// m5Policy is a policy for choosing the version of a search.
type m5Policy struct {
	name string
	// splitServices sends a separate search for each service.
	splitServices bool
	preference    snapshot.Preference
}

// m5Policies returns the policies that are compared.
func m5Policies() []m5Policy {
	return []m5Policy{
		{name: "no pin", splitServices: true},
		{name: "pin the newest", preference: snapshot.Newest},
		{name: "pin the widely held", preference: snapshot.WidelyHeld},
	}
}

// rollingVersionsExperiment returns experiment M5, which measures searches while index
// versions roll out.
func rollingVersionsExperiment() Experiment {
	return Experiment{
		Name:    "m5-versions",
		Summary: "index versions roll over the upstreams under load",
		Run:     runRollingVersions,
	}
}

// runRollingVersions measures searches of ten services, with a pinned snapshot and
// with a separate search per service.
func runRollingVersions(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"rolling", "policy", "answers", "mixed", "coverage %", "partial", "not run", "unknown", "restarts", "p50 ms", "p99 ms", "extra load %"},
		Notes: []string{
			"Target: 0 mixed answers; the coverage that is lost is stated.",
			fmt.Sprintf("%d searches/s (overload: %d), each to %d services; %d versions, one every %v, one replica of each service every %v.",
				m1SearchRate, m1SearchRate*m5OverloadFactor, m1Services, m5Versions, m5VersionInterval, m5ReplicaInterval),
			"No pin means one search a service, whose answers the caller joins.",
		},
	}
	faults := []m5Fault{
		{name: "old version kept"},
		{name: "old version dropped at once", dropAtOnce: true},
		{name: "dropped at once, straggler", dropAtOnce: true, straggler: true},
		{name: "dropped at once, overload", dropAtOnce: true, overload: true},
	}
	for _, fault := range faults {
		for _, policy := range m5Policies() {
			row, err := runM5(seed, fault, policy)
			if err != nil {
				return Report{}, err
			}
			report.Rows = append(report.Rows, row)
		}
	}
	return report, nil
}

// runM5 measures a policy with a fault.
func runM5(seed uint64, fault m5Fault, policy m5Policy) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m1Hosts, Services: m1Services, Replicas: m1Replicas,
		Slots: m1Slots, MaxConnections: m1MaxConnections,
		Policy:      "answer at deadline deadline 500ms coverage at least 50% repeat yes hedge budget 5% retry budget 10% refuse queue 64 wait 400ms",
		Tune:        func(s *reducer.Settings) { s.Query.Preference = policy.preference },
		ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("%s: %w", fault.name, err)
	}
	if fault.straggler {
		slowDown(cluster.Upstream(lab.UpstreamID(0, 0)))
	}
	scheduleVersions(cluster, seed, fault.dropAtOnce)
	load := lab.Load{Rate: m1SearchRate, Warmup: m1Warmup, Duration: m5Duration, Services: []string{"counter-*"}, Seed: seed}
	if fault.overload {
		load.Rate *= m5OverloadFactor
	}
	if policy.splitServices {
		load.SplitServices = true
		load.Services = nil
		for service := range m1Services {
			load.Services = append(load.Services, string(lab.Service(service)))
		}
	}
	result := cluster.Run(load)
	return []string{
		fault.name, policy.name, fmt.Sprint(result.Answered), fmt.Sprint(result.Mixed),
		fmt.Sprintf("%.3f", result.Coverage()), fmt.Sprint(result.Partial), fmt.Sprint(result.NotRun), fmt.Sprint(result.Unknown),
		fmt.Sprint(cluster.Counts[effect.Metric("query_restarts_total")]),
		milliseconds(result.Quantile(50)), milliseconds(result.Quantile(99)), fmt.Sprintf("%.2f", result.ExtraLoad()),
	}, nil
}

// scheduleVersions schedules the rollouts: the replicas of each service load each new
// version one after the other.
func scheduleVersions(cluster *lab.Cluster, seed uint64, dropAtOnce bool) {
	random := rand.New(rand.NewPCG(seed, 0x5011))
	for version := model.Version(2); version < 2+m5Versions; version++ {
		rolloutStart := m1Warmup + time.Duration(version-2)*m5VersionInterval
		for service := range m1Services {
			for i := range m1Replicas {
				jitter := time.Duration(random.Int64N(int64(m5MaxJitter)))
				id := lab.UpstreamID(service, i)
				cluster.After(rolloutStart+time.Duration(i)*m5ReplicaInterval+jitter, func() { loadVersion(cluster, id, version, dropAtOnce) })
			}
		}
	}
}

// loadVersion makes an upstream load a version and drop the previous one, at once or
// after m5Overlap.
func loadVersion(cluster *lab.Cluster, id model.UpstreamID, version model.Version, dropAtOnce bool) {
	u := cluster.Upstream(id)
	if dropAtOnce {
		u.Holdings = []model.Holding{lab.FullHolding(version)}
		return
	}
	u.Holdings = []model.Holding{lab.FullHolding(version - 1), lab.FullHolding(version)}
	cluster.After(m5Overlap, func() { u.Holdings = []model.Holding{lab.FullHolding(version)} })
}
