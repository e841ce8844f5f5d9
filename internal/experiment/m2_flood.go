package experiment

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/experiment/lab"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Parameters of the flood experiment.
const (
	floodHosts    = 4
	floodServices = 5
	floodDuration = 5 * time.Second
	floodWarmup   = 1 * time.Second
	// floodOtherLoad is the load on the other services relative to their capacity.
	floodOtherLoad = 0.5
)

// floodExperiment returns the part of experiment M2 that measures whether an overload
// of one service affects the others.
func floodExperiment() Experiment {
	return Experiment{
		Name:    "m2-flood",
		Summary: "one service is flooded, the others have half of their capacity",
		Run:     runFlood,
	}
}

// runFlood measures the other services without a flood and with floods of increasing
// rate.
func runFlood(seed uint64) (Report, error) {
	report := Report{
		Columns: []string{"flood, times the capacity", "useful % of the others", "p50 ms", "p99 ms", "p99.9 ms", "flooded useful/s", "flooded not run", "flooded unknown"},
		Notes: []string{
			"Target: the flood does not raise the p99 of the other services.",
			fmt.Sprintf("%d services of %d upstreams with %d slots; searches of one service each. Virtual time has no processor: what the nodes' processors cost each other is not in these figures.", floodServices, m2Replicas, m2Slots),
		},
	}
	for _, factor := range []float64{0, 1, 4, 10} {
		row, err := measureFlood(seed, factor)
		if err != nil {
			return Report{}, err
		}
		report.Rows = append(report.Rows, row)
	}
	return report, nil
}

// measureFlood measures a flood whose rate is a multiple of the capacity of one
// service.
func measureFlood(seed uint64, factor float64) ([]string, error) {
	cluster, err := lab.Start(lab.Spec{
		Seed: seed, Hosts: floodHosts, Services: floodServices, Replicas: m2Replicas,
		Slots: m2Slots, MaxConnections: m2MaxConnections, Policy: m2ServicePolicy, ServiceTime: serviceTime,
	})
	if err != nil {
		return nil, fmt.Errorf("flood of %g: %w", factor, err)
	}
	others := floodOtherLoad * m2Capacity() * (floodServices - 1)
	flooded := factor * m2Capacity()
	isFlood := make(map[string]bool)
	draw := func(r *rand.Rand, number int) event.Search {
		service := 1 + r.IntN(floodServices-1)
		if r.Float64() < flooded/(flooded+others) {
			service = 0
			isFlood[lab.Query(number)] = true
		}
		return event.Search{Services: []string{string(lab.Service(service))}}
	}
	samples := cluster.Drive(seed, []lab.Phase{{Rate: flooded + others, Duration: floodDuration}}, draw, nil)
	var inFlood, rest []lab.Sample
	for _, s := range lab.Between(samples, floodWarmup, floodDuration) {
		if isFlood[s.Query] {
			inFlood = append(inFlood, s)
		} else {
			rest = append(rest, s)
		}
	}
	return floodRow(factor, inFlood, rest), nil
}

// floodRow formats a result as a row of the report.
func floodRow(factor float64, inFlood, rest []lab.Sample) []string {
	return []string{
		fmt.Sprintf("%g", factor),
		fmt.Sprintf("%.2f", 100*float64(lab.CountUseful(rest))/float64(len(rest))),
		milliseconds(lab.LatencyQuantile(rest, 50)),
		milliseconds(lab.LatencyQuantile(rest, 99)),
		milliseconds(lab.LatencyQuantile(rest, 99.9)),
		fmt.Sprintf("%.0f", float64(lab.CountUseful(inFlood))/(floodDuration-floodWarmup).Seconds()),
		fmt.Sprint(lab.CountOutcome(inFlood, model.NotRun)),
		fmt.Sprint(lab.CountOutcome(inFlood, model.Unknown)),
	}
}
