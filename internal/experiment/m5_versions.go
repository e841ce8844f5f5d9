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

// The sizes of experiment M5; the services are those of M1.
const (
	m5Duration = 16 * time.Second
	// m5Period is the time from one version to the next.
	m5Period   = 4 * time.Second
	m5Versions = 4
	// m5Step is the time from one replica of a service to the next, and m5Jitter
	// the most by which the services differ.
	m5Step   = 800 * time.Millisecond
	m5Jitter = 300 * time.Millisecond
	// m5Overlap is how long an upstream that keeps the old version keeps it.
	m5Overlap = 2500 * time.Millisecond
	// m5Overload is the ratio to the rate of M1 at which a single replica of each
	// service is too few.
	m5Overload = 2
)

// m5Fault is what goes wrong while versions roll.
type m5Fault struct {
	name      string
	straggler bool
	overload  bool
	// swap means that upstreams drop the old version at once.
	swap bool
}

// m5Policy is one way to choose the version.
type m5Policy struct {
	name string
	// split sends one search for each service.
	split      bool
	preference snapshot.Preference
}

func m5Policies() []m5Policy {
	return []m5Policy{
		{name: "no pin", split: true},
		{name: "pin the newest", preference: snapshot.Newest},
		{name: "pin the widely held", preference: snapshot.WidelyHeld},
	}
}

// rollingVersions is experiment M5.
func rollingVersions() Experiment {
	return Experiment{
		Name:    "m5-versions",
		Summary: "index versions roll over the upstreams under load",
		Run:     runRollingVersions,
	}
}

// runRollingVersions measures searches of ten services with one pinned snapshot,
// and with one search a service.
func runRollingVersions(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"rolling", "policy", "answers", "mixed", "coverage %", "partial", "not run", "unknown", "restarts", "p50 ms", "p99 ms", "extra load %"},
		Notes: []string{
			"Target: 0 mixed answers; the coverage that is lost is stated.",
			fmt.Sprintf("%d searches/s (overload: %d), each to %d services; %d versions, one every %v, one replica of each service every %v.",
				m1Rate, m1Rate*m5Overload, m1Services, m5Versions, m5Period, m5Step),
			"No pin means one search a service, whose answers the caller joins.",
		},
	}
	faults := []m5Fault{
		{name: "old version kept"},
		{name: "old version dropped at once", swap: true},
		{name: "dropped at once, straggler", swap: true, straggler: true},
		{name: "dropped at once, overload", swap: true, overload: true},
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

// runM5 measures one policy.
func runM5(seed uint64, fault m5Fault, policy m5Policy) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m1Hosts, Services: m1Services, Replicas: m1Replicas,
		Slots: m1Slots, Connections: m1Connections,
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
	roll(cluster, seed, fault.swap)
	load := lab.Load{Rate: m1Rate, Warmup: m1Warmup, Duration: m5Duration, Services: []string{"counter-*"}, Seed: seed}
	if fault.overload {
		load.Rate *= m5Overload
	}
	if policy.split {
		load.Split = true
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

// roll schedules the versions: one replica of each service after the other takes
// the next version in.
func roll(cluster *lab.Cluster, seed uint64, swap bool) {
	random := rand.New(rand.NewPCG(seed, 0x5011))
	for version := model.Version(2); version < 2+m5Versions; version++ {
		base := m1Warmup + time.Duration(version-2)*m5Period
		for service := range m1Services {
			for i := range m1Replicas {
				jitter := time.Duration(random.Int64N(int64(m5Jitter)))
				id := lab.UpstreamID(service, i)
				cluster.After(base+time.Duration(i)*m5Step+jitter, func() { load(cluster, id, version, swap) })
			}
		}
	}
}

// load lets an upstream take a version in.
func load(cluster *lab.Cluster, id model.UpstreamID, version model.Version, swap bool) {
	u := cluster.Upstream(id)
	if swap {
		u.Holdings = []model.Holding{lab.Whole(version)}
		return
	}
	u.Holdings = []model.Holding{lab.Whole(version - 1), lab.Whole(version)}
	cluster.After(m5Overlap, func() { u.Holdings = []model.Holding{lab.Whole(version)} })
}
