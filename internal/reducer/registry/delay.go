package registry

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// callDelay returns the delay between a successful result of a task and its next call.
func (s *State) callDelay(ctx *step.Context, t task) time.Duration {
	if s.tasks[t].allowStale {
		return s.staleDelay(ctx, t)
	}
	switch t {
	case taskUpstreams:
		if s.tasks[t].watchRevision == 0 {
			return s.settings.PollInterval
		}
		return s.upstreamDelay()
	case taskLease:
		return s.lease.time / renewalsPerLease
	case taskMembers:
		return max(memberWatchDelay, time.Duration(len(s.members.list))*memberWatchDelayPerNode)
	case taskRoutes:
		return routeWatchDelay
	default:
		return 0
	}
}

// upstreamDelay returns the delay between two watches of the upstreams.
func (s *State) upstreamDelay() time.Duration {
	return time.Duration(upstreamDelayShare * float64(s.settings.PollInterval))
}

// staleDelay returns the delay between a stale read and the next call. The members are
// read again soon, since they show who the reader is, and so is everything that was not
// there yet. The rest comes from the reader or, if there is none, from the node's own
// reads at the end of the bootstrap, which are spread over time.
func (s *State) staleDelay(ctx *step.Context, t task) time.Duration {
	if t == taskMembers || t == taskRoutes && s.routes == nil {
		return bootstrapInterval
	}
	jitter := time.Duration(ctx.Random.Int64N(int64(bootstrapInterval)))
	return max(0, s.startedAt.Add(s.settings.BootstrapTime).Sub(ctx.Now)) + jitter
}

// retryDelay returns the delay between a failed call of a task and the next one. The reads
// and watches are retried soon, because the node's view must not get old.
func (s *State) retryDelay(ctx *step.Context, t task) time.Duration {
	delay := retryInterval
	if t == taskLease {
		delay <<= min(s.tasks[t].failures-1, maxRetryDoublings)
	}
	return delay + time.Duration(ctx.Random.Int64N(int64(delay/2)))
}
