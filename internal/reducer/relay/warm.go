package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// An entry node keeps a connection open to every upstream, so that neither the first
// requests after a start, nor hedges, nor the first requests to the shards of a new
// version wait for a handshake. Other nodes connect on demand.

const (
	// warmInterval is the time between two rounds that open connections, and
	// maxWarmConnects the number of connections that one round opens. Handshakes take
	// processor time on both ends, and the upstreams' slots.
	warmInterval    = 50 * time.Millisecond
	maxWarmConnects = 12
	// warmIdleInterval is the time between two rounds while every upstream has a
	// connection.
	warmIdleInterval = 500 * time.Millisecond
	// warmStartTime is how long after its start a node looks at each warmInterval whether it
	// can open connections: callers may come as soon as it knows the upstreams.
	warmStartTime = 2 * time.Second
	// aloneDelay is how long a node that knows no others waits after its start before it
	// takes all callers to be its own.
	aloneDelay = 2 * time.Second
)

// Start starts the rounds that open connections ahead of requests.
func (s *State) Start(ctx *step.Context) {
	s.startedAt = ctx.Now
	setTimer(ctx, warmInterval, 0, warmTimer)
}

// handleWarmTimer opens connections to upstreams that have none, greets helpers and
// schedules the next round.
func (s *State) handleWarmTimer(ctx *step.Context) {
	s.greetHelpers(ctx)
	next := warmIdleInterval
	if len(s.connections) == 0 && ctx.Now.Sub(s.startedAt) < warmStartTime {
		next = warmInterval
	}
	alone := s.sharing.entryNodes+s.sharing.otherNodes == 1 && ctx.Now.Sub(s.startedAt) < aloneDelay
	if s.sharing.isEntry && !alone && s.warmPools(ctx) == maxWarmConnects {
		next = warmInterval
	}
	setTimer(ctx, next, 0, warmTimer)
}

// warmPools opens connections to upstreams that have none, at most maxWarmConnects, and
// returns their number. Near upstreams come first, because they get most of the requests.
func (s *State) warmPools(ctx *step.Context) int {
	pools := slices.SortedFunc(maps.Values(s.pools), func(a, b *upstreamPool) int {
		return cmp.Or(cmp.Compare(isRemote(ctx, a), isRemote(ctx, b)), cmp.Compare(a.number, b.number))
	})
	opened := 0
	for _, pool := range pools {
		s.closeExpired(ctx, pool)
		if opened < maxWarmConnects && pool.usable() && len(pool.connections) == 0 {
			s.connect(ctx, pool)
			opened++
		}
	}
	return opened
}

// isRemote returns 1 if the upstream of a pool is in another failure domain, and 0
// otherwise.
func isRemote(ctx *step.Context, pool *upstreamPool) int {
	if pool.replica.Domain == ctx.Self.FailureDomain {
		return 0
	}
	return 1
}

// closeExpired closes the idle connections of a pool that the upstream may be about to
// close.
func (s *State) closeExpired(ctx *step.Context, pool *upstreamPool) {
	for _, c := range pool.connections {
		if c.state == idle && c.expiresAt != 0 && ctx.Now >= c.expiresAt {
			s.closeConnection(ctx, c)
		}
	}
}
