package replica

import (
	"math"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

// Rating is what a coordinator thinks of one replica, for operators.
type Rating struct {
	Upstream model.UpstreamID `json:"upstream"`
	// Verdict is "eligible", "slower", or why the replica gets no work.
	Verdict string `json:"verdict"`
	// FreeSlots is the estimate after what this coordinator sent itself.
	FreeSlots   int `json:"free_slots"`
	Queued      int `json:"queued"`
	Outstanding int `json:"outstanding"`
	// Latency is the mean of the recent latencies; zero means none observed.
	Latency time.Duration `json:"latency"`
	// Reported is the load that the upstream reports of itself and ReportAge its
	// age; it only breaks ties.
	Reported  int           `json:"reported"`
	ReportAge time.Duration `json:"report_age"`
	// CountAge is the age of the dispatcher's count.
	CountAge time.Duration `json:"count_age"`
}

// Rate returns what Choose would go by for a first attempt.
func (t *Table) Rate(replicas []*snapshot.Replica, wish Criteria) []Rating {
	lowest := math.Inf(1)
	candidates := t.rate(nil, replicas, wish)
	for _, c := range candidates {
		lowest = min(lowest, c.cost)
	}
	ratings := make([]Rating, 0, len(replicas))
	for _, r := range replicas {
		s := t.of(r.ID)
		ratings = append(ratings, Rating{
			Upstream:    r.ID,
			Verdict:     verdict(candidates, r, lowest*tolerance),
			FreeSlots:   s.free(wish.Now, r),
			Queued:      r.Queued,
			Outstanding: s.outstanding,
			Latency:     s.latency,
			Reported:    r.Reported,
			ReportAge:   wish.Now.Sub(r.ReportedAt),
			CountAge:    wish.Now.Sub(r.Updated),
		})
	}
	return ratings
}

// verdict tells whether a replica may be chosen, and else why not.
func verdict(candidates []candidate, r *snapshot.Replica, bound float64) string {
	switch {
	case r.Draining:
		return "draining"
	case !r.Reachable:
		return "unreachable"
	}
	for _, c := range candidates {
		if c.replica == r && c.cost <= bound {
			return "eligible"
		}
	}
	return "slower"
}
