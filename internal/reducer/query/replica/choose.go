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
	// tolerance is the ratio to the lowest cost up to which replicas count as
	// equally good.
	tolerance = 1.5
	// reportTime is how long an upstream's own report of its load breaks ties, and
	// reportWeight the most that it changes a weight by.
	reportTime   = 2 * time.Second
	reportWeight = 0.1
	// sameDomainWeight is the preference for the coordinator's own failure
	// domain among equally good replicas.
	sameDomainWeight = 2
)

// candidate is a replica that may be chosen.
type candidate struct {
	replica *snapshot.Replica
	cost    float64
	weight  float64
}

// Choose returns the replica for a sub-request, or nil if none can take it. Among
// replicas that are about equally good the choice is random by free slots, so
// that coordinators that know the same do not all choose the same.
func (t *Table) Choose(replicas []*snapshot.Replica, wish Criteria, random *rand.Rand) *snapshot.Replica {
	var buffer [8]candidate
	candidates := t.rate(buffer[:0], replicas, wish)
	if len(candidates) == 0 {
		return nil
	}
	lowest := math.Inf(1)
	for _, c := range candidates {
		lowest = min(lowest, c.cost)
	}
	total := 0.0
	for _, c := range candidates {
		if c.cost <= lowest*tolerance {
			total += c.weight
		}
	}
	return draw(candidates, lowest*tolerance, random.Float64()*total)
}

// draw returns the candidate at a point of the summed weights.
func draw(candidates []candidate, bound, point float64) *snapshot.Replica {
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

// rate appends the replicas that fulfil the wish with their costs.
func (t *Table) rate(candidates []candidate, replicas []*snapshot.Replica, wish Criteria) []candidate {
	var buffer [8]*Stats
	stats := buffer[:0]
	for _, r := range replicas {
		stats = append(stats, t.of(r.ID))
	}
	fastest := fastest(replicas, stats)
	if wish.TypicalLatency > 0 {
		// Where only a slow upstream is known, the others are not as slow.
		fastest = min(fastest, wish.TypicalLatency)
	}
	for i, r := range replicas {
		if !r.Usable() || slices.Contains(wish.Tried, r.ID) {
			continue
		}
		s := stats[i]
		free := s.free(wish.Now, r)
		if wish.RequireFreeSlot && free <= 0 {
			continue
		}
		candidates = append(candidates, candidate{
			replica: r,
			cost:    cost(s.estimate(wish.Now, fastest), free, r),
			weight:  weight(free, r, wish),
		})
	}
	return candidates
}

// fastest returns the lowest latency that is known of usable replicas.
func fastest(replicas []*snapshot.Replica, stats []*Stats) time.Duration {
	lowest := time.Duration(0)
	for i, s := range stats {
		if replicas[i].Usable() && s.latency > 0 && (lowest == 0 || s.latency < lowest) {
			lowest = s.latency
		}
	}
	return max(lowest, time.Microsecond)
}

// cost is the time to expect, with the wait for a slot.
func cost(latency time.Duration, free int, r *snapshot.Replica) float64 {
	expected := float64(latency) * max(1, r.Handicap)
	if free > 0 {
		return expected
	}
	waiting := float64(max(r.Queued, 0) - free + 1)
	return expected * (1 + waiting/float64(max(r.Limit, 1)))
}

// weight is the preference among replicas that are about equally good.
func weight(free int, r *snapshot.Replica, wish Criteria) float64 {
	w := float64(max(free, 1))
	if r.Domain == wish.Domain {
		w *= sameDomainWeight
	}
	if wish.Avoid != "" && r.Domain == wish.Avoid {
		w /= 10 * sameDomainWeight
	}
	return w * tieBreak(r, wish.Now)
}

// tieBreak lowers a weight a little for an upstream that reports much load of
// itself, the less the older the report is.
func tieBreak(r *snapshot.Replica, now model.Instant) float64 {
	age := now.Sub(r.ReportedAt)
	if age >= reportTime || r.Limit <= 0 {
		return 1
	}
	load := min(1, float64(r.Reported)/float64(r.Limit))
	freshness := 1 - max(0, float64(age))/float64(reportTime)
	return 1 - reportWeight*load*freshness
}

// ChooseRandom returns any usable replica that was not tried. It is the baseline
// that Choose is measured against.
func ChooseRandom(replicas []*snapshot.Replica, wish Criteria, random *rand.Rand) *snapshot.Replica {
	usable := make([]*snapshot.Replica, 0, len(replicas))
	for _, r := range replicas {
		if r.Usable() && !slices.Contains(wish.Tried, r.ID) {
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		return nil
	}
	return usable[random.IntN(len(usable))]
}
