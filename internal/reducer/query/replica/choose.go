package replica

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

const (
	// costTolerance is the ratio to the lowest cost up to which replicas are
	// considered equally good.
	costTolerance = 1.5
	// maxReportAge is the age at which an upstream's own load report is ignored, and
	// maxReportPenalty the maximum share by which a report lowers a weight.
	maxReportAge     = 2 * time.Second
	maxReportPenalty = 0.1
	// sameDomainFactor multiplies the weight of replicas in the coordinator's own
	// failure domain.
	sameDomainFactor = 2
)

// candidate is a replica that meets the criteria.
type candidate struct {
	replica *snapshot.Replica
	cost    float64
	weight  float64
}

// Choose returns the replica for a sub-request, or nil if none meets the criteria.
// Among replicas of about equal cost the choice is random, weighted mainly by free
// slots, so that coordinators with the same information do not all choose the same
// replica.
func (t *Table) Choose(replicas []*snapshot.Replica, criteria Criteria, random *rand.Rand) *snapshot.Replica {
	var buffer [8]candidate
	candidates := t.appendCandidates(buffer[:0], replicas, criteria)
	if len(candidates) == 0 {
		return nil
	}
	lowest := math.Inf(1)
	for _, c := range candidates {
		lowest = min(lowest, c.cost)
	}
	total := 0.0
	for _, c := range candidates {
		if c.cost <= lowest*costTolerance {
			total += c.weight
		}
	}
	return pickWeighted(candidates, lowest*costTolerance, random.Float64()*total)
}

// pickWeighted returns the candidate in whose share of the summed weights the point
// lies. Candidates with a cost above bound are excluded.
func pickWeighted(candidates []candidate, bound, point float64) *snapshot.Replica {
	var last *snapshot.Replica
	for _, c := range candidates {
		if c.cost > bound {
			continue
		}
		last = c.replica
		point -= c.weight
		if point < 0 {
			break
		}
	}
	return last
}

// appendCandidates appends the replicas that meet the criteria with their costs and
// weights.
func (t *Table) appendCandidates(candidates []candidate, replicas []*snapshot.Replica, criteria Criteria) []candidate {
	var buffer [8]*Stats
	stats := buffer[:0]
	for _, r := range replicas {
		stats = append(stats, t.statsOf(r.ID))
	}
	fastest := lowestLatency(replicas, stats)
	if criteria.TypicalLatency > 0 {
		// If only the latencies of slow upstreams are known, the other upstreams are
		// expected to have the typical latency.
		fastest = min(fastest, criteria.TypicalLatency)
	}
	for i, r := range replicas {
		if !r.Usable() || slices.Contains(criteria.Tried, r.ID) {
			continue
		}
		s := stats[i]
		free := s.freeSlots(criteria.Now, r)
		if criteria.RequireFreeSlot && free <= 0 {
			continue
		}
		candidates = append(candidates, candidate{
			replica: r,
			cost:    cost(s.expectedLatency(criteria.Now, fastest), free, r),
			weight:  weight(free, r, criteria),
		})
	}
	return candidates
}

// lowestLatency returns the lowest known latency of the usable replicas, or 1 µs if
// none is known.
func lowestLatency(replicas []*snapshot.Replica, stats []*Stats) time.Duration {
	lowest := time.Duration(0)
	for i, s := range stats {
		if replicas[i].Usable() && s.latency > 0 && (lowest == 0 || s.latency < lowest) {
			lowest = s.latency
		}
	}
	return max(lowest, time.Microsecond)
}

// cost returns the expected time in nanoseconds, including the wait for a slot.
func cost(latency time.Duration, free int, r *snapshot.Replica) float64 {
	expected := float64(latency) * max(1, r.LatencyFactor)
	if free > 0 {
		return expected
	}
	waiting := float64(max(r.Queued, 0) - free + 1)
	return expected * (1 + waiting/float64(max(r.Limit, 1)))
}

// weight returns the weight of a replica in the choice among replicas of about equal
// cost.
func weight(free int, r *snapshot.Replica, criteria Criteria) float64 {
	w := float64(max(free, 1))
	if r.Domain == criteria.Domain {
		w *= sameDomainFactor
	}
	if criteria.AvoidDomain != "" && r.Domain == criteria.AvoidDomain {
		w /= 10 * sameDomainFactor
	}
	return w * reportFactor(r, criteria.Now)
}

// reportFactor returns the factor by which an upstream's own load report lowers its
// weight. The effect grows with the load and shrinks with the age of the report.
func reportFactor(r *snapshot.Replica, now model.Instant) float64 {
	age := now.Sub(r.ReportedAt)
	if age >= maxReportAge || r.Limit <= 0 {
		return 1
	}
	load := min(1, float64(r.ReportedInFlight)/float64(r.Limit))
	freshness := 1 - max(0, float64(age))/float64(maxReportAge)
	return 1 - maxReportPenalty*load*freshness
}

// ChooseRandom returns a random usable replica that was not tried, or nil. It is the
// baseline that Choose is measured against.
func ChooseRandom(replicas []*snapshot.Replica, criteria Criteria, random *rand.Rand) *snapshot.Replica {
	usable := make([]*snapshot.Replica, 0, len(replicas))
	for _, r := range replicas {
		if r.Usable() && !slices.Contains(criteria.Tried, r.ID) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[random.IntN(len(usable))]
}
