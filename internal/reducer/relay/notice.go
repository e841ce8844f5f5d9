package relay

import (
	"strconv"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// An upstream states in its replies what it wants of the nodes. These notices are newer than
// the registry, which a node may be cut off from.

// The values of the label of metricNotices.
const (
	noticeLeaving   = "leaving"
	noticeRateLimit = "rate_limit"
)

// recordNotice records what an upstream states about itself in a reply.
func (s *State) recordNotice(ctx *step.Context, pool *upstreamPool, notice model.Notice) {
	if notice.Leaving {
		s.recordLeaving(ctx, pool)
	}
	s.recordRateLimit(ctx, pool, notice)
}

// recordRateLimit records that an upstream names a limit, or no longer names one.
func (s *State) recordRateLimit(ctx *step.Context, pool *upstreamPool, notice model.Notice) {
	if notice.RateLimited {
		ctx.Count(metricNotices, noticeRateLimit)
	}
	if notice.RateLimited != pool.rateLimited {
		ctx.Log(effect.Info, component, "rate limit of an upstream", append(upstreamFields(pool),
			effect.Field{Name: "limited", Value: strconv.FormatBool(notice.RateLimited)},
			effect.Field{Name: "per_second", Value: strconv.FormatFloat(notice.RateLimit, 'g', 4, 64)})...)
	}
	pool.rateLimited, pool.rateLimit = notice.RateLimited, notice.RateLimit
}

// recordLeaving records the notice that an upstream is leaving.
func (s *State) recordLeaving(ctx *step.Context, pool *upstreamPool) {
	ctx.Count(metricNotices, noticeLeaving)
	if pool.leavingSince != 0 {
		return
	}
	pool.leavingSince = ctx.Now
	ctx.Log(effect.Info, component, "upstream says that it leaves", append(upstreamFields(pool),
		effect.Field{Name: "registered_as_draining", Value: strconv.FormatBool(pool.registration.Upstream.Draining)},
		effect.Field{Name: "in_registry", Value: strconv.FormatBool(!pool.removed)})...)
}
