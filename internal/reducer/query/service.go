package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/budget"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/latency"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// budgetBurst is the most extra attempts that a service saves up.
	budgetBurst = 10
	// initialRetries lets a service that has just started repeat lost work.
	initialRetries = 10
	// fallbackHedgeShare is the share of the deadline after which a hedge is due
	// while no latency is known.
	fallbackHedgeShare = 0.5
	// ordinaryHedgeShare is the share of the hedge budget that is spent while all
	// replicas are well; the rest is kept for stragglers.
	ordinaryHedgeShare = 0.5
	// leastHedgeDelay keeps hedges from firing within the noise of a network.
	leastHedgeDelay = 1 * time.Millisecond
)

// serviceStats is what the coordinator keeps of a service between requests.
type serviceStats struct {
	hedges  budget.Bucket
	retries budget.Bucket
	// all holds the latencies of all shards, for shards without samples.
	all    latency.Tracker
	shards map[model.ShardID]*latency.Tracker
}

// newServiceStats returns the state of a service that was not asked yet.
func newServiceStats() *serviceStats {
	stats := &serviceStats{shards: make(map[model.ShardID]*latency.Tracker)}
	stats.retries.Grant(initialRetries)
	return stats
}

// hedgeLimits returns the bounds of a service's hedges.
func hedgeLimits(policy *model.Policy) budget.Limits {
	return budget.Limits{Share: policy.HedgeBudget, Burst: budgetBurst}
}

// retryLimits returns the bounds of a service's retries.
func retryLimits(policy *model.Policy) budget.Limits {
	return budget.Limits{Share: policy.RetryBudget, Burst: budgetBurst}
}

// observe adds the latency of an answered attempt.
func (s *serviceStats) observe(shard model.ShardID, d time.Duration) {
	s.all.Observe(d)
	tracker, ok := s.shards[shard]
	if !ok {
		tracker = &latency.Tracker{}
		s.shards[shard] = tracker
	}
	tracker.Observe(d)
}

// hedgeSource is what a hedge delay is computed from.
type hedgeSource string

// The sources of hedge delays, the best first.
const (
	hedgeByShard    hedgeSource = "latency of the shard"
	hedgeByService  hedgeSource = "latency of the service"
	hedgeByDeadline hedgeSource = "share of the deadline"
	hedgeNever      hedgeSource = "the policy permits no hedges"
)

// hedgeDelay returns how long an attempt may take before a hedge is due: the
// quantile of the shard's recent latencies that ordinaryHedgeShare of the budget
// leaves uncovered.
// Zero means that the policy permits no hedges.
func (s *serviceStats) hedgeDelay(shard model.ShardID, policy *model.Policy) (time.Duration, hedgeSource) {
	if !policy.Repeatable || policy.HedgeBudget <= 0 {
		return 0, hedgeNever
	}
	quantile := 1 - policy.HedgeBudget.Of(ordinaryHedgeShare)
	if tracker, ok := s.shards[shard]; ok {
		if delay, ok := tracker.Quantile(quantile); ok {
			return max(delay, leastHedgeDelay), hedgeByShard
		}
	}
	if delay, ok := s.all.Quantile(quantile); ok {
		return max(delay, leastHedgeDelay), hedgeByService
	}
	delay := time.Duration(fallbackHedgeShare * float64(policy.Deadline))
	return max(delay, leastHedgeDelay), hedgeByDeadline
}

// statsOf returns the state of a service.
func (s *State) statsOf(name model.ServiceName) *serviceStats {
	stats, ok := s.services[name]
	if !ok {
		stats = newServiceStats()
		s.services[name] = stats
	}
	return stats
}

// sync forgets services and upstreams that are in force no more.
func (s *State) sync(ctx *step.Context) {
	if s.config == ctx.Config {
		return
	}
	s.config = ctx.Config
	for name := range s.services {
		if s.parts.Catalog.Service(ctx, name) == nil {
			delete(s.services, name)
		}
	}
	s.replicas.Keep(func(id model.UpstreamID) bool {
		service := s.parts.Catalog.Service(ctx, id.Service())
		return service != nil && service.Upstream(id) != nil
	})
}
