package relay

import (
	"math"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// An upstream states in its replies what it wants of the nodes. These notices are newer than
// the registry, which a node may be cut off from.

// The values of the label of metricNotices.
const (
	noticeLeaving    = "leaving"
	noticeRateLimit  = "rate_limit"
	noticeRetryAfter = "retry_after"
)

// recordNotice records what an upstream states about itself in the reply to an attempt, and
// reports whether the upstream can no longer take the attempts that wait for it.
func (s *State) recordNotice(ctx *step.Context, pool *upstreamPool, a *attempt, e event.ForwardReply) (stopped bool) {
	if e.Status == event.ForwardMisdirected || pool.removed {
		return false
	}
	wasStopped := pool.isStopped(ctx.Now)
	if e.Notice.Leaving {
		s.recordLeaving(ctx, pool)
	}
	if e.Notice.RetryAfter > 0 {
		s.recordRetryAfter(ctx, pool, e.Notice.RetryAfter)
	}
	if e.Notice.RateLimited || e.Status != event.ForwardInvalid {
		s.recordRateLimit(ctx, pool, a, e.Notice)
	}
	return !wasStopped && pool.isStopped(ctx.Now)
}

// isStopped reports whether the upstream takes no attempts now, because it is leaving or wants
// none for a while.
func (pool *upstreamPool) isStopped(now model.Instant) bool {
	return pool.isLeaving() || now < pool.notBefore
}

// recordRetryAfter records that an upstream wants no requests for a while. A shorter time in a
// later refusal, of a request that was sent before, does not end it.
func (s *State) recordRetryAfter(ctx *step.Context, pool *upstreamPool, retryAfter time.Duration) {
	ctx.Count(metricNotices, noticeRetryAfter)
	if ctx.Now >= pool.notBefore {
		ctx.Log(effect.Info, component, "upstream wants no requests", append(upstreamFields(pool),
			effect.Field{Name: "retry_after", Value: retryAfter.String()})...)
	}
	pool.notBefore = max(pool.notBefore, ctx.Now.Add(retryAfter))
}

// sendWait returns the time until the upstream takes the waiting attempts of a pool and n more,
// according to its notices.
func (pool *upstreamPool) sendWait(now model.Instant, n int) time.Duration {
	wait := max(0, pool.notBefore.Sub(now))
	if pool.limiter == nil {
		return wait
	}
	return max(wait, pool.limiter.bucket.Wait(now, pool.waiting.Len()+n))
}

// freeSends returns the number of attempts that the upstream takes now beside those that wait,
// according to its notices.
func (pool *upstreamPool) freeSends(now model.Instant) int {
	switch {
	case now < pool.notBefore:
		return 0
	case pool.limiter == nil:
		return math.MaxInt
	default:
		return int(math.Floor(pool.limiter.bucket.Tokens(now))) - pool.waiting.Len()
	}
}

// awaitSend sets a timer for when the upstream takes the first waiting attempt, and reports
// whether that has to wait.
func (s *State) awaitSend(ctx *step.Context, pool *upstreamPool) bool {
	wait := max(0, pool.notBefore.Sub(ctx.Now))
	if limiter := pool.limiter; limiter != nil {
		if token := limiter.bucket.Wait(ctx.Now, 1); token > 0 {
			limiter.limited = true
			wait = max(wait, token)
		}
	}
	if wait == 0 {
		return false
	}
	if at := ctx.Now.Add(wait); pool.sendTimerAt <= ctx.Now || at < pool.sendTimerAt {
		pool.sendTimerAt = at
		setTimer(ctx, wait, pool.number, poolTimer)
	}
	return true
}

// recordLeaving records the notice that an upstream is leaving.
func (s *State) recordLeaving(ctx *step.Context, pool *upstreamPool) {
	ctx.Count(metricNotices, noticeLeaving)
	if pool.leavingSince != 0 {
		return
	}
	pool.leavingSince = ctx.Now
	ctx.Log(effect.Info, component, "upstream says that it leaves", append(upstreamFields(pool),
		effect.Field{Name: "registered_as_draining", Value: strconv.FormatBool(pool.registration.Upstream.Draining)})...)
}

// rememberedNotices are the notices of an upstream whose pool was removed. Its registration may
// lapse and come back while it runs on.
type rememberedNotices struct {
	incarnation  uint64
	leavingSince model.Instant
	notBefore    model.Instant
	removedAt    model.Instant
}

// rememberNoticesFor is how long the notices of a removed upstream are kept.
const rememberNoticesFor = time.Minute

// rememberNotices keeps the notices of a pool that is removed, and deletes those of pools that
// were removed long ago.
func (s *State) rememberNotices(ctx *step.Context, pool *upstreamPool) {
	for id, kept := range s.notices {
		if ctx.Now.Sub(kept.removedAt) > rememberNoticesFor {
			delete(s.notices, id)
		}
	}
	if pool.leavingSince != 0 || ctx.Now < pool.notBefore {
		s.notices[pool.registration.Upstream.ID] = rememberedNotices{
			incarnation: pool.registration.Incarnation, leavingSince: pool.leavingSince, notBefore: pool.notBefore, removedAt: ctx.Now,
		}
	}
}

// restoreNotices gives a new pool the notices that the same incarnation of its upstream has
// stated before.
func (s *State) restoreNotices(pool *upstreamPool) {
	if kept, found := s.notices[pool.registration.Upstream.ID]; found && kept.incarnation == pool.registration.Incarnation {
		pool.leavingSince, pool.notBefore = kept.leavingSince, kept.notBefore
	}
}
