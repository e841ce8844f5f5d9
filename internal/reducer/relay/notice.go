package relay

import (
	"strconv"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// An upstream states in its replies what it wants of the nodes. These notices are newer than
// the registry, which a node may be cut off from.

// The values of the label of metricNotices.
const (
	noticeLeaving   = "leaving"
	noticeRateLimit = "rate_limit"
)

// recordNotice records what an upstream states about itself in the reply to an attempt.
func (s *State) recordNotice(ctx *step.Context, pool *upstreamPool, a *attempt, e event.ForwardReply) {
	if e.Status == event.ForwardMisdirected || e.Status == event.ForwardInvalid || pool.removed {
		return
	}
	if e.Notice.Leaving {
		s.recordLeaving(ctx, pool)
	}
	s.recordRateLimit(ctx, pool, a, e.Notice)
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
