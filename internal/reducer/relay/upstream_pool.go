package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/backoff"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/limit"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// upstreamPool holds the node's connections to one upstream, its queue of waiting
// attempts and the statistics of the upstream.
type upstreamPool struct {
	number       uint64
	registration model.Registration
	service      *service
	replica      snapshot.Replica
	removed      bool
	inFlight     []*attempt
	waiting      *queue.Queue[*attempt]
	// connections includes those that are being closed: a connection counts against the
	// node's share until its end is reported.
	connections    []*connection
	maxConnections int

	limit limit.Limit
	// fairShare is the node's share of the upstream's slots, at least one.
	fairShare      int
	connectBackoff backoff.Backoff
	// load is the load that the upstream last reported, at loadAt.
	load   model.ReportedLoad
	loadAt model.Instant
	// overloadedAt is when a reply last reported more waiting requests than slots; zero
	// if none has. Replies to gathered requests are not counted.
	overloadedAt model.Instant
	// failureRate is the moving average of failed outcomes as of failureRateAt.
	failureRate   float64
	failureRateAt model.Instant
	// observed counts the outcomes since this node last shared its observations, and
	// shared holds the combined observations of the nodes in the failure domain.
	observed model.Observation
	shared   sharedObservation
	// warmUntil is when the upstream's warm-up period ends.
	warmUntil model.Instant
	// misdirectedAt is when another upstream answered at the address; zero if that has
	// not happened since the registration.
	misdirectedAt model.Instant
	// leavingSince is when a reply first stated that the upstream is leaving; zero if
	// none has.
	leavingSince model.Instant
	// limiter is nil unless the upstream names a limit of requests per second. unlimitedAt is
	// when an attempt was last sent whose reply named none.
	limiter     *rateLimiter
	unlimitedAt model.Instant
	// notBefore is the time until which the upstream wants no requests from this node.
	notBefore model.Instant
	// sendTimerAt is when the timer for the next attempt that the upstream takes fires.
	sendTimerAt model.Instant
	crash       pendingCrash
}

// Limits of an upstream pool.
const (
	// pipelinedAttempts is the number of attempts that a node keeps at an upstream beyond
	// its slots, so that a slot is not idle for a round trip between two attempts.
	pipelinedAttempts = 1
	// maxConnecting bounds the connections that a pool opens at the same time, because
	// each handshake costs the upstream time.
	maxConnecting = 1
)

// HandleUpstreams adds, updates and removes upstream pools to match the registrations.
func (s *State) HandleUpstreams(ctx *step.Context, registrations []model.Registration) {
	wanted := make(map[model.UpstreamID]bool, len(registrations))
	var found []*upstreamPool
	for _, registration := range registrations {
		wanted[registration.Upstream.ID] = true
		if pool := s.updateRegistration(ctx, registration); pool != nil {
			found = append(found, pool)
		}
	}
	logFound(ctx, found)
	for id, pool := range s.pools {
		if !wanted[id] {
			s.removePool(ctx, pool, "removed from the registry")
		}
	}
}

// maxLoggedUpstreams bounds the lines about new upstreams after one change.
const maxLoggedUpstreams = 16

// logFound logs the upstreams that have been added. The first list of a large deployment
// is logged in one line, which leaves the rate limit to the lines about requests.
func logFound(ctx *step.Context, found []*upstreamPool) {
	if len(found) > maxLoggedUpstreams {
		ctx.Log(effect.Info, component, "upstreams found", countField("count", len(found)))
		return
	}
	for _, pool := range found {
		ctx.Log(effect.Info, component, "upstream found", upstreamFields(pool)...)
	}
}

// updateRegistration adds or updates the pool of a registered upstream. An upstream that
// has restarted or has another address gets a new pool. It returns the pool if it is new.
func (s *State) updateRegistration(ctx *step.Context, registration model.Registration) (added *upstreamPool) {
	pool := s.pools[registration.Upstream.ID]
	if pool != nil && (pool.registration.Incarnation != registration.Incarnation || pool.registration.Upstream.Address != registration.Upstream.Address) {
		s.removePool(ctx, pool, "restarted or changed its address")
		pool = nil
	}
	if pool == nil {
		pool = s.addPool(registration)
		added = pool
	}
	if registration != pool.registration || pool.warmUntil == 0 {
		pool.warmUntil = ctx.Now.Add(registration.Warmup)
	}
	drains := registration.Upstream.Draining && !pool.registration.Upstream.Draining
	pool.registration = registration
	pool.replica.Domain = registration.Upstream.FailureDomain
	s.updatePoolLimits(pool)
	if drains {
		ctx.Log(effect.Info, component, "upstream drains", upstreamFields(pool)...)
		s.stopUsing(ctx, pool)
	}
	return added
}

// stopUsing moves the waiting attempts of an upstream that is leaving or was removed to other
// upstreams, and closes the connections that carry none.
func (s *State) stopUsing(ctx *step.Context, pool *upstreamPool) {
	s.reassignWaiting(ctx, pool)
	s.closeUnusedConnections(ctx, pool)
}

// addPool adds an upstream pool, in the order of upstream IDs within its service.
func (s *State) addPool(registration model.Registration) *upstreamPool {
	s.nextPool++
	upstream := registration.Upstream
	pool := &upstreamPool{
		number:       s.nextPool,
		registration: registration,
		service:      s.ensureService(upstream.ID.Service()),
		waiting:      queue.New[*attempt](),
		replica:      snapshot.Replica{ID: upstream.ID, Domain: upstream.FailureDomain, Reachable: true},
	}
	s.restoreNotices(pool)
	at, _ := slices.BinarySearchFunc(pool.service.pools, upstream.ID, func(pool *upstreamPool, id model.UpstreamID) int {
		return cmp.Compare(pool.registration.Upstream.ID, id)
	})
	pool.service.pools = slices.Insert(pool.service.pools, at, pool)
	s.pools[upstream.ID] = pool
	s.poolsByNumber[pool.number] = pool
	return pool
}

// updatePoolLimits sets the node's share of an upstream's connections and slots.
func (s *State) updatePoolLimits(pool *upstreamPool) {
	upstream := &pool.registration.Upstream
	accepted := upstream.MaxConnections
	if s.table != nil && s.table.MaxConnections[upstream.ID.Service()] > 0 {
		accepted = s.table.MaxConnections[upstream.ID.Service()]
	}
	pool.maxConnections = s.sharing.connections(accepted)
	pool.fairShare = (max(1, upstream.Slots) + s.sharing.entryNodes - 1) / s.sharing.entryNodes
	pool.limit.SetCeiling(min(pool.maxConnections, max(1, upstream.Slots)+pipelinedAttempts))
}

// removePool removes an upstream pool: waiting attempts move to other upstreams, and
// attempts that were sent run to completion.
func (s *State) removePool(ctx *step.Context, pool *upstreamPool, reason string) {
	ctx.Log(effect.Info, component, "upstream dropped", append(upstreamFields(pool), effect.Field{Name: "reason", Value: reason})...)
	pool.removed = true
	s.rememberNotices(ctx, pool)
	delete(s.pools, pool.registration.Upstream.ID)
	pool.service.pools = slices.DeleteFunc(pool.service.pools, func(other *upstreamPool) bool { return other == pool })
	s.replicas.Remove(pool.registration.Upstream.ID)
	s.stopUsing(ctx, pool)
	s.deletePoolIfUnused(pool)
}

// deletePoolIfUnused deletes a removed pool once its last connection is closed.
func (s *State) deletePoolIfUnused(pool *upstreamPool) {
	if pool.removed && len(pool.connections) == 0 {
		delete(s.poolsByNumber, pool.number)
	}
}

// usable reports whether the pool may get new attempts. After a failed connect it gets
// none until one of the node's own connections to the upstream is open.
func (pool *upstreamPool) usable() bool {
	if pool.removed || pool.isLeaving() || pool.misdirectedAt != 0 {
		return false
	}
	return pool.connectBackoff.Failures == 0 || pool.openConnections() > 0
}

// isLeaving reports whether the upstream is leaving, according to the registry or to its own
// replies. A new incarnation of the upstream gets another pool.
func (pool *upstreamPool) isLeaving() bool {
	return pool.registration.Upstream.Draining || pool.leavingSince != 0
}

// openConnections returns the number of connections that are idle or carry a request.
func (pool *upstreamPool) openConnections() int {
	count := 0
	for _, c := range pool.connections {
		if c.state == idle || c.state == busy {
			count++
		}
	}
	return count
}

// freeSlots returns the number of attempts that the pool can still send at once. It is
// negative if attempts already wait.
func (pool *upstreamPool) freeSlots(now model.Instant) int {
	return min(pool.freeConcurrency(now), pool.freeSends(now))
}

// freeConcurrency is like freeSlots, without the notices of the upstream.
func (pool *upstreamPool) freeConcurrency(now model.Instant) int {
	return pool.currentLimit(now) - len(pool.inFlight) - pool.waiting.Len()
}

// maxQueuedPerSlot is the number of requests per slot that may wait at an upstream before the
// nodes limit themselves to their shares.
const maxQueuedPerSlot = 2

// currentLimit returns the number of attempts that the node may have at the upstream. While
// the upstream reports a long queue, that is the node's share of the slots: requests then wait
// at the nodes, where the most urgent one goes first and any can still move or be refused.
func (pool *upstreamPool) currentLimit(now model.Instant) int {
	current := pool.limit.Current(now)
	if now.Sub(pool.loadAt) < reportedLoadTTL && pool.load.Waiting > maxQueuedPerSlot*max(1, pool.load.Slots) {
		return min(current, pool.fairShare)
	}
	return current
}

// reassignWaiting cancels all waiting attempts of a pool and offers their parts to other
// upstreams.
func (s *State) reassignWaiting(ctx *step.Context, pool *upstreamPool) {
	for _, e := range pool.waiting.Entries() {
		s.reassignUnsent(ctx, e.Value, model.CodeUnavailable)
	}
}

// drainQueue sends waiting attempts while the concurrency limit and an idle connection
// allow it, and opens a connection if none is idle.
func (s *State) drainQueue(ctx *step.Context, pool *upstreamPool) {
	for pool.waiting.Len() > 0 {
		if len(pool.inFlight) >= pool.currentLimit(ctx.Now) {
			s.scheduleDrain(ctx, pool)
			return
		}
		if s.awaitSend(ctx, pool) {
			return
		}
		a, c := s.nextToSend(ctx, pool)
		if c == nil {
			s.makeRoom(ctx, pool)
			s.connect(ctx, pool)
			return
		}
		pool.waiting.Remove(&a.queueEntry)
		s.send(ctx, pool, c, a)
	}
}

// scheduleDrain sets a timer to drain the queue when the limit's pause ends. Without a
// pause the next reply drains it.
func (s *State) scheduleDrain(ctx *step.Context, pool *upstreamPool) {
	if pause := pool.limit.PausedUntil().Sub(ctx.Now); pause > 0 {
		setTimer(ctx, pause, pool.number, poolTimer)
	}
}

// send sends an attempt over an idle connection.
func (s *State) send(ctx *step.Context, pool *upstreamPool, c *connection, a *attempt) {
	c.state = busy
	c.attempt = a
	a.connection = c
	a.sentAt = ctx.Now
	a.sentOn = c.id
	pool.inFlight = append(pool.inFlight, a)
	pool.takeToken(ctx.Now)
	r := a.request
	a.knownSuspect = s.isKnownSuspect(ctx, r)
	if a.knownSuspect && s.blame.IsHeld(ctx.Now, r.content()) {
		s.blame.RecordTrialSent(ctx.Now, r.content())
	}
	if a.isResend() {
		ctx.Count(metricResends, "")
	}
	r.parts[a.part].possibleRuns++
	r.anySent = true
	s.attemptsSent++
	ctx.Emit(effect.SendForward{
		Connection: c.id,
		Attempt:    a.number,
		Instance:   pool.registration.Instance,
		Request:    r.incoming,
		TimeLeft:   r.deadline.Sub(ctx.Now),
		Hedge:      a.hedge,
	})
}

// reportedLoadTTL is how long an upstream's report of its own load is used.
const reportedLoadTTL = 100 * time.Millisecond

// updateReplica updates the pool's entry for replica selection and returns it.
func (s *State) updateReplica(ctx *step.Context, pool *upstreamPool, stallAfter time.Duration) *snapshot.Replica {
	now := ctx.Now
	pool.replica.Reachable = pool.usable()
	pool.replica.Limit = max(1, pool.currentLimit(now))
	pool.replica.Queued = pool.waiting.Len()
	pool.replica.FreeSlots = pool.freeSlots(now)
	if now.Sub(pool.loadAt) < reportedLoadTTL {
		others := pool.load.Running + pool.load.Waiting - len(pool.inFlight)
		pool.replica.FreeSlots = min(pool.replica.FreeSlots, max(1, pool.load.Slots)-len(pool.inFlight)-max(0, others))
	}
	pool.replica.UpdatedAt = now
	pool.replica.LatencyFactor = s.latencyFactor(ctx, pool, stallAfter)
	return &pool.replica
}

// Factors by which replica selection multiplies an upstream's expected latency.
const (
	// stalledLatencyFactor applies to an upstream with an overdue attempt, which is
	// probably paused or slow.
	stalledLatencyFactor = 8
	// warmupLatencyFactor applies during the warm-up period after a start.
	warmupLatencyFactor = 1.6
	// disconnectedLatencyFactor applies to an upstream without an open connection, since
	// one must be opened first.
	disconnectedLatencyFactor = 1.5
	// remoteLatencyFactor applies to another failure domain: traffic between domains is
	// billed, and a local upstream that is a little slower is as good.
	remoteLatencyFactor = 3
	// failureRateWeight converts the failure rate into a factor: a failed attempt costs
	// the time of a hedge or retry.
	failureRateWeight = 20
	// failureRateTimeConstant is the time constant of the failure rate's exponential
	// decay.
	failureRateTimeConstant = 3 * time.Second
)

// minTypicalLatency bounds from below the latency to which the wait for an upstream is compared.
const minTypicalLatency = time.Millisecond

// latencyFactor returns the factor for conditions that an upstream's mean latency does not
// show.
func (s *State) latencyFactor(ctx *step.Context, pool *upstreamPool, stallAfter time.Duration) float64 {
	factor := 1.0
	if pool.stalled(ctx.Now, stallAfter) {
		factor *= stalledLatencyFactor
	}
	if ctx.Now < pool.warmUntil {
		factor *= warmupLatencyFactor
	}
	if pool.openConnections() == 0 {
		factor *= disconnectedLatencyFactor
	}
	if pool.replica.Domain != ctx.Self.FailureDomain {
		factor *= remoteLatencyFactor
	}
	if wait := pool.sendWait(ctx.Now, 1); wait > 0 {
		factor *= 1 + float64(wait)/float64(max(minTypicalLatency, s.replicas.Latency(pool.registration.Upstream.ID)))
	}
	failureRate := pool.decayedFailureRate(ctx.Now)
	if pool.shared.isFresh(ctx.Now) {
		failureRate = max(failureRate, pool.shared.failureRate())
		factor *= pool.shared.latencyRatio(s.replicas.Latency(pool.registration.Upstream.ID))
	}
	return factor * (1 + failureRateWeight*failureRate)
}

// stalled reports whether an attempt has been in flight for longer than a duration.
func (pool *upstreamPool) stalled(now model.Instant, after time.Duration) bool {
	for _, a := range pool.inFlight {
		if now.Sub(a.sentAt) > after {
			return true
		}
	}
	return false
}

// failureRateGain is the weight of one outcome in the moving average.
const failureRateGain = 0.2

// decayedFailureRate returns the failure rate, decayed since the last outcome.
func (pool *upstreamPool) decayedFailureRate(now model.Instant) float64 {
	if pool.failureRate == 0 {
		return 0
	}
	return pool.failureRate * decay(now.Sub(pool.failureRateAt), failureRateTimeConstant)
}

// recordOutcome updates the failure rate with the outcome of an attempt or a connect.
func (pool *upstreamPool) recordOutcome(now model.Instant, failed bool) {
	rate := pool.decayedFailureRate(now) * (1 - failureRateGain)
	if failed {
		rate += failureRateGain
		pool.observed.Failed++
	}
	pool.failureRate, pool.failureRateAt = rate, now
}
