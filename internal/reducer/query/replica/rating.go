package replica

import (
	"math"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

// Rating is the coordinator's rating of one replica, shown to operators.
type Rating struct {
	Upstream model.UpstreamID `json:"upstream"`
	// Verdict is "eligible", "slower", or the reason why the replica gets no work:
	// "draining" or "unreachable".
	Verdict string `json:"verdict"`
	// FreeSlots is the estimated number of free slots, less those that this
	// coordinator's own attempts use.
	FreeSlots   int `json:"free_slots"`
	Queued      int `json:"queued"`
	Outstanding int `json:"outstanding"`
	// Latency is the mean of the recent latencies; zero means none observed.
	Latency time.Duration `json:"latency"`
	// ReportedInFlight is the number of requests in flight that the upstream itself
	// reports, and ReportAge the age of that report. The report has a small effect on
	// the choice among replicas of about equal cost.
	ReportedInFlight int           `json:"reported"`
	ReportAge        time.Duration `json:"report_age"`
	// CountAge is the age of the dispatcher's count of free slots.
	CountAge time.Duration `json:"count_age"`
}

// Ratings returns the ratings of all replicas by which Choose would choose one for a
// first attempt.
func (t *Table) Ratings(replicas []*snapshot.Replica, criteria Criteria) []Rating {
	lowest := math.Inf(1)
	candidates := t.appendCandidates(nil, replicas, criteria)
	for _, c := range candidates {
		lowest = min(lowest, c.cost)
	}
	ratings := make([]Rating, 0, len(replicas))
	for _, r := range replicas {
		s := t.statsOf(r.ID)
		ratings = append(ratings, Rating{
			Upstream:         r.ID,
			Verdict:          verdict(candidates, r, lowest*costTolerance),
			FreeSlots:        s.freeSlots(criteria.Now, r),
			Queued:           r.Queued,
			Outstanding:      s.outstanding,
			Latency:          s.latency,
			ReportedInFlight: r.ReportedInFlight,
			ReportAge:        criteria.Now.Sub(r.ReportedAt),
			CountAge:         criteria.Now.Sub(r.UpdatedAt),
		})
	}
	return ratings
}

// verdict returns whether a replica may be chosen, or why not. See Rating.Verdict.
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
