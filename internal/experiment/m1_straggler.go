package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// Parameters of experiment M1. The sizes are those of the counter services of Versos
// Aránguiz.
const (
	m1Hosts          = 4
	m1Services       = 10
	m1Replicas       = 3
	m1Slots          = 2
	m1MaxConnections = 25
	// m1SearchRate is in searches per second; each search covers all services.
	m1SearchRate = 400
	m1Warmup     = 3 * time.Second
	m1Duration   = 15 * time.Second
	// m1SlowdownFactor is the factor by which the straggler is slower.
	m1SlowdownFactor = 20
	// m1FixedHedgeDelay is the hedge delay of the policies with a fixed delay.
	m1FixedHedgeDelay = 10 * time.Millisecond
	// m1FaultTime is the time, within the measured part of the load, at which a node
	// is killed or a late straggler becomes slow.
	m1FaultTime = m1Warmup + 5*time.Second
)

// Targets of experiment M1: the maximum ratio to the p99 of the same policy without a
// fault, and the maximum extra load in percent.
const (
	m1MaxP99Ratio         = 1.5
	m1MaxExtraLoadPercent = 5.0
)

// m1Policy is a combination of replica choice and hedging.
type m1Policy struct {
	name        string
	hedgeBudget string
	tune        func(*reducer.Settings)
}

// m1Fault is a combination of faults.
type m1Fault struct {
	name      string
	straggler bool
	// startsLate makes the straggler slow only from m1FaultTime on.
	startsLate bool
	lostNode   bool
}

// stragglerExperiment returns experiment M1, which measures the effect of one slow
// replica.
func stragglerExperiment() Experiment {
	return Experiment{
		Name:    "m1-straggler",
		Summary: "one replica in 30 is 20 times slower than the others",
		Run:     runStraggler,
	}
}

// m1Policies returns the combinations of replica choice and hedging that are compared.
func m1Policies() []m1Policy {
	return []m1Policy{
		{"random replica, no hedge", "0%", func(s *reducer.Settings) { s.Query.RandomReplica = true }},
		{"replica choice, no hedge", "0%", nil},
		{"random replica, fixed delay", "5%", func(s *reducer.Settings) {
			s.Query.RandomReplica = true
			s.Query.FixedHedgeDelay = m1FixedHedgeDelay
		}},
		{"replica choice, fixed delay", "5%", func(s *reducer.Settings) { s.Query.FixedHedgeDelay = m1FixedHedgeDelay }},
		{"replica choice, budgeted quantile", "5%", nil},
		{"the same, canary no", "5%", func(s *reducer.Settings) { s.Query.NoCanary = true }},
	}
}

// runStraggler measures each policy without a fault, with a straggler from the start
// or from m1FaultTime on, with a lost node, and with a straggler and a lost node.
func runStraggler(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"fault", "policy", "p50 ms", "p99 ms", "p99.9 ms", "p99 ratio", "extra load %", "coverage %", "partial", "not run", "unknown", "lost"},
		Notes: []string{
			fmt.Sprintf("Target with a straggler: p99 ratio at most %g (to the same policy without a fault), extra load at most %g%%.", m1MaxP99Ratio, m1MaxExtraLoadPercent),
			fmt.Sprintf("%d searches/s, each to %d services of %d upstreams with %d slots, for %v of virtual time.", m1SearchRate, m1Services, m1Replicas, m1Slots, m1Duration),
			"Lost are the searches that the killed node was coordinating.",
		},
	}
	faults := []m1Fault{
		{name: "none"},
		{name: "straggler", straggler: true},
		{name: "straggler begins", straggler: true, startsLate: true},
		{name: "lost node", lostNode: true},
		{name: "straggler and lost node", straggler: true, lostNode: true},
	}
	baselineP99 := make(map[string]time.Duration)
	for _, fault := range faults {
		for _, policy := range m1Policies() {
			result, err := runM1(seed, policy, fault)
			if err != nil {
				return Report{}, err
			}
			if fault.name == "none" {
				baselineP99[policy.name] = result.Quantile(99)
			}
			report.Rows = append(report.Rows, m1Row(fault, policy, result, baselineP99[policy.name]))
		}
	}
	return report, nil
}

// m1Row formats a result as a row of the report.
func m1Row(fault m1Fault, policy m1Policy, result *lab.Result, baselineP99 time.Duration) []string {
	return []string{
		fault.name, policy.name,
		milliseconds(result.Quantile(50)), milliseconds(result.Quantile(99)), milliseconds(result.Quantile(99.9)),
		fmt.Sprintf("%.2f", float64(result.Quantile(99))/float64(baselineP99)),
		fmt.Sprintf("%.2f", result.ExtraLoad()), fmt.Sprintf("%.3f", result.Coverage()),
		fmt.Sprint(result.Partial), fmt.Sprint(result.NotRun), fmt.Sprint(result.Unknown), fmt.Sprint(result.Lost),
	}
}

// milliseconds formats a duration in milliseconds with one decimal.
func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}

// serviceTime draws a service time: 2 ms plus an exponentially distributed time with
// a mean of 2 ms.
func serviceTime(r *rand.Rand) time.Duration {
	return 2*time.Millisecond + time.Duration(2*r.ExpFloat64()*float64(time.Millisecond))
}

// runM1 measures a policy with a fault.
func runM1(seed uint64, policy m1Policy, fault m1Fault) (*lab.Result, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: m1Hosts, Services: m1Services, Replicas: m1Replicas,
		Slots: m1Slots, MaxConnections: m1MaxConnections,
		Policy: "answer at deadline deadline 500ms coverage at least 90% repeat yes hedge budget " + policy.hedgeBudget +
			" retry budget 10% refuse queue 64 wait 400ms",
		Tune:        policy.tune,
		ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("policy %q: %w", policy.name, err)
	}
	slow := cluster.Upstream(lab.UpstreamID(0, 0))
	switch {
	case fault.startsLate:
		cluster.After(m1FaultTime, func() { slowDown(slow) })
	case fault.straggler:
		slowDown(slow)
	}
	if fault.lostNode {
		cluster.After(m1FaultTime, func() { cluster.Kill(cluster.Hosts()[m1Hosts-1]) })
	}
	return cluster.Run(lab.Load{
		Rate: m1SearchRate, Warmup: m1Warmup, Duration: m1Duration, Services: []string{"counter-*"}, Seed: seed,
	}), nil
}

// slowDown multiplies the service time of an upstream by m1SlowdownFactor.
func slowDown(u *virtual.Upstream) {
	u.ServiceTime = func(r *rand.Rand) time.Duration { return m1SlowdownFactor * serviceTime(r) }
}
