package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/budget"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/latency"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// budgetBurst is the maximum number of tokens that first attempts accumulate in a
	// hedge or retry budget.
	budgetBurst = 10
	// initialRetries is the number of retry tokens granted to a new service, so that
	// its lost work can be retried before first attempts have earned any.
	initialRetries = 10
	// fallbackHedgeShare is the share of the deadline after which a hedge is sent
	// while no latency is known.
	fallbackHedgeShare = 0.5
	// ordinaryHedgeShare is the share of the hedge budget that is spent while all
	// replicas are healthy; the rest is reserved for stragglers.
	ordinaryHedgeShare = 0.5
	// minHedgeDelay keeps network jitter from triggering hedges.
	minHedgeDelay = 1 * time.Millisecond
)

// serviceStats holds a service's budgets and latencies between requests.
type serviceStats struct {
	hedges  budget.Bucket
	retries budget.Bucket
	// allShards holds the latencies of all shards. It is used for shards with too few
	// samples of their own.
	allShards latency.Tracker
	shards    map[model.ShardID]*latency.Tracker
}

// newServiceStats returns the statistics of a service without requests.
func newServiceStats() *serviceStats {
	stats := &serviceStats{shards: make(map[model.ShardID]*latency.Tracker)}
	stats.retries.Grant(initialRetries)
	return stats
}

// hedgeLimits returns the limits of a service's hedge budget.
func hedgeLimits(policy *model.Policy) budget.Limits {
	return budget.Limits{Share: policy.HedgeBudget, Burst: budgetBurst}
}

// retryLimits returns the limits of a service's retry budget.
func retryLimits(policy *model.Policy) budget.Limits {
	return budget.Limits{Share: policy.RetryBudget, Burst: budgetBurst}
}

// observe records the latency of an answered attempt.
func (s *serviceStats) observe(shard model.ShardID, d time.Duration) {
	s.allShards.Observe(d)
	tracker, ok := s.shards[shard]
	if !ok {
		tracker = &latency.Tracker{}
		s.shards[shard] = tracker
	}
	tracker.Observe(d)
}

// hedgeSource states what a hedge delay is computed from.
type hedgeSource string

// The sources of hedge delays, in order of preference.
const (
	hedgeByShard    hedgeSource = "latency of the shard"
	hedgeByService  hedgeSource = "latency of the service"
	hedgeByDeadline hedgeSource = "share of the deadline"
	hedgeNever      hedgeSource = "the policy permits no hedges"
)

// hedgeDelay returns how long an attempt may take before a hedge is sent. It is
// the quantile of the shard's recent latencies that is exceeded by as many attempts
// as ordinaryHedgeShare of the hedge budget pays for. Zero means that the policy
// permits no hedges.
func (s *serviceStats) hedgeDelay(shard model.ShardID, policy *model.Policy) (time.Duration, hedgeSource) {
	if !policy.Repeatable || policy.HedgeBudget <= 0 {
		return 0, hedgeNever
	}
	quantile := 1 - policy.HedgeBudget.Of(ordinaryHedgeShare)
	if tracker, ok := s.shards[shard]; ok {
		if delay, ok := tracker.Quantile(quantile); ok {
			return max(delay, minHedgeDelay), hedgeByShard
		}
	}
	if delay, ok := s.allShards.Quantile(quantile); ok {
		return max(delay, minHedgeDelay), hedgeByService
	}
	delay := time.Duration(fallbackHedgeShare * float64(policy.Deadline))
	return max(delay, minHedgeDelay), hedgeByDeadline
}

// statsOf returns the statistics of a service and creates them if needed.
func (s *State) statsOf(name model.ServiceName) *serviceStats {
	stats, ok := s.services[name]
	if !ok {
		stats = newServiceStats()
		s.services[name] = stats
	}
	return stats
}

// applyConfig removes the statistics of services and upstreams that the current
// configuration no longer contains.
func (s *State) applyConfig(ctx *step.Context) {
	if s.config == ctx.Config {
		return
	}
	s.config = ctx.Config
	for name := range s.services {
		if s.deps.Catalog.Service(ctx, name) == nil {
			delete(s.services, name)
		}
	}
	s.replicas.Retain(func(id model.UpstreamID) bool {
		service := s.deps.Catalog.Service(ctx, id.Service())
		return service != nil && service.Upstream(id) != nil
	})
}
