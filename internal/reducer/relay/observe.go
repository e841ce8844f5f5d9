package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// The nodes of a failure domain share their observations of upstreams. If many nodes use
// an upstream, each of them rarely, no single node notices quickly that it has become
// slow or fails; together they have enough samples within a second to avoid it.
const (
	// sharedTTL is how long shared observations are used: two rounds of sharing.
	sharedTTL = 2500 * time.Millisecond
	// minSharedSamples is the number of attempts below which shared observations are
	// ignored.
	minSharedSamples = 4
	// maxLatencyRatio bounds the factor by which shared observations raise or lower a
	// node's own latency estimate.
	maxLatencyRatio = 8
)

// sharedObservation is the combined observation of an upstream by the nodes of the
// failure domain.
type sharedObservation struct {
	total      model.Observation
	receivedAt model.Instant
}

// isFresh reports whether the observation is recent and has enough samples.
func (s *sharedObservation) isFresh(now model.Instant) bool {
	return s.receivedAt != 0 && now.Sub(s.receivedAt) < sharedTTL && s.total.Samples() >= minSharedSamples
}

// failureRate returns the share of attempts that failed.
func (s *sharedObservation) failureRate() float64 {
	return float64(s.total.Failed) / float64(s.total.Samples())
}

// latencyRatio returns the shared mean latency relative to the node's own estimate,
// bounded by maxLatencyRatio. It is 1 if either is unknown.
func (s *sharedObservation) latencyRatio(own time.Duration) float64 {
	if own <= 0 || s.total.Answered < minSharedSamples {
		return 1
	}
	mean := float64(s.total.TotalLatency) / float64(s.total.Answered)
	return min(maxLatencyRatio, max(1.0/maxLatencyRatio, mean/float64(own)))
}

// TakeObservations returns and resets this node's observations since the last call,
// ordered by upstream.
func (s *State) TakeObservations() []model.Observation {
	var observations []model.Observation
	for id, pool := range s.pools {
		if pool.observed.Samples() == 0 {
			continue
		}
		pool.observed.Upstream = id
		observations = append(observations, pool.observed)
		pool.observed = model.Observation{}
	}
	slices.SortFunc(observations, func(a, b model.Observation) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return observations
}

// HandleObservations stores the combined observations of the nodes in the failure domain.
func (s *State) HandleObservations(ctx *step.Context, observations []model.Observation) {
	for _, observation := range observations {
		if pool := s.pools[observation.Upstream]; pool != nil {
			pool.shared = sharedObservation{total: observation, receivedAt: ctx.Now}
		}
	}
}
