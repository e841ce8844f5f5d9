package relay

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/ratelimit"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// An upstream in need names the number of requests per second that it takes from all nodes
// together. The nodes that callers are told to use share the limit: they tell each other how
// much they send, and each computes its part from that. A node that has not told counts with an
// equal part, so that the parts of nodes that do not hear each other do not exceed the limit.
// The other nodes have no part, because they are too many to know of each other. They follow
// the reports of a few, which tell them when the limit has ended.

const (
	// firstRateReport is the time from the first limit to the first report. Limits that begin
	// together are reported together.
	firstRateReport = 20 * time.Millisecond
	// rateReportInterval is the time between two reports to the other nodes.
	rateReportInterval = 500 * time.Millisecond
	// rateReportTTL is how long a report of another node is used.
	rateReportTTL = 5 * rateReportInterval
	// minRateLimit replaces smaller limits, in requests per second: a node that never sends
	// would not learn that the limit has ended.
	minRateLimit = 0.25
	// spareBurst is the number of tokens, beside the limit of one second, that the buckets of
	// all nodes together may hold. Each bucket holds at least one.
	spareBurst = 3
	// minForgetTime is the shortest time after which a limit is forgotten that no node has heard
	// again, and forgetAfterRequests the number of requests that it allows in that time.
	minForgetTime       = 10 * time.Second
	forgetAfterRequests = 3
	// informants is the number of nodes with a part that a node without one reports to.
	informants = 2
	// rateGain is the weight of the latest interval in a node's own rate.
	rateGain = 0.5
)

// rateLimiter holds a node to its part of the limit that an upstream names.
type rateLimiter struct {
	// limit is in requests per second.
	limit float64
	// heardAt is when the upstream last named the limit to this node, and toldAt when it last
	// did so to another one, as far as this node was told; zero if never.
	heardAt model.Instant
	toldAt  model.Instant
	bucket  ratelimit.Bucket
	// sent counts the requests since measuredAt, and rate is their moving average per second.
	// limited is set if a request had to wait or was not offered for want of a token.
	sent       int
	measuredAt model.Instant
	rate       float64
	limited    bool
	others     map[model.HostID]rateReport
}

// rateReport is the last report of another node.
type rateReport struct {
	demand     ratelimit.Demand
	address    string
	receivedAt model.Instant
	// hasPart is true if the node has a part of the limit.
	hasPart bool
}

// isFresh reports whether a report is recent enough to be used.
func (r rateReport) isFresh(now model.Instant) bool { return now.Sub(r.receivedAt) < rateReportTTL }

// recordRateLimit records the limit that an upstream names in the reply to an attempt. A reply
// without a limit ends it only if the attempt was sent after the limit was last named, because
// replies on several connections may be reordered.
func (s *State) recordRateLimit(ctx *step.Context, pool *upstreamPool, a *attempt, notice model.Notice) {
	if !notice.RateLimited {
		pool.unlimitedAt = a.sentAt
		if pool.limiter != nil && a.sentAt > pool.limiter.heardAt && a.sentAt > pool.limiter.toldAt {
			s.endRateLimit(ctx, pool)
		}
		return
	}
	ctx.Count(metricNotices, noticeRateLimit)
	s.setRateLimit(ctx, pool, notice.RateLimit)
	pool.limiter.heardAt = ctx.Now
}

// setRateLimit sets the limit of an upstream.
func (s *State) setRateLimit(ctx *step.Context, pool *upstreamPool, limit float64) {
	if pool.limiter == nil {
		pool.limiter = &rateLimiter{bucket: ratelimit.NewBucket(ctx.Now), others: make(map[model.HostID]rateReport), measuredAt: ctx.Now}
		s.logRateLimit(ctx, pool, true, limit)
		s.scheduleRateReports(ctx, firstRateReport)
	}
	if pool.limiter.limit != limit || pool.limiter.bucket.Rate() == 0 {
		pool.limiter.limit = limit
		s.updateRateShare(ctx, pool)
	}
}

// endRateLimit ends the limit of an upstream.
func (s *State) endRateLimit(ctx *step.Context, pool *upstreamPool) {
	s.logRateLimit(ctx, pool, false, pool.limiter.limit)
	pool.limiter = nil
	s.drainQueue(ctx, pool)
}

// logRateLimit logs that the limit of an upstream has begun or ended.
func (s *State) logRateLimit(ctx *step.Context, pool *upstreamPool, limited bool, limit float64) {
	ctx.Log(effect.Info, component, "rate limit of an upstream", append(upstreamFields(pool),
		effect.Field{Name: "limited", Value: strconv.FormatBool(limited)},
		effect.Field{Name: "per_second", Value: formatRate(limit)})...)
}

// formatRate returns the text of a rate in requests per second.
func formatRate(rate float64) string { return strconv.FormatFloat(rate, 'g', 4, 64) }

// updateRateShare computes the node's part of the limit of an upstream.
func (s *State) updateRateShare(ctx *step.Context, pool *upstreamPool) {
	limiter := pool.limiter
	if !s.sharesLimits() {
		limiter.bucket.SetRate(ctx.Now, 0)
		return
	}
	limit := max(minRateLimit, limiter.limit)
	demands := make(map[model.HostID]ratelimit.Demand)
	for _, member := range s.entryMembers {
		// Until it has told otherwise, a node may send as much as any.
		demands[member.Host] = ratelimit.Demand{Limited: true}
	}
	for host, report := range limiter.others {
		if report.isFresh(ctx.Now) && report.hasPart {
			demands[host] = report.demand
		}
	}
	delete(demands, ctx.Self.Host)
	hosts := append(slices.Sorted(maps.Keys(demands)), ctx.Self.Host)
	holders := rendezvous.Top(hosts, int(math.Floor(limit))+spareBurst, "rate limit of "+string(pool.registration.Upstream.ID))
	if !slices.Contains(holders, ctx.Self.Host) {
		limiter.bucket.SetRate(ctx.Now, 0)
		return
	}
	var others []ratelimit.Demand
	for _, host := range holders {
		if host != ctx.Self.Host {
			others = append(others, demands[host])
		}
	}
	limiter.bucket.SetRate(ctx.Now, ratelimit.Share(limit, ratelimit.Demand{Rate: limiter.rate, Limited: limiter.limited}, others))
}

// sharesLimits reports whether the node has a part of the limits that upstreams name: callers are
// told to use it, or were until it began to stop, or no such node is known.
func (s *State) sharesLimits() bool {
	return len(s.entryMembers) == 0 || s.sharing.isEntry || s.stopsAsEntry
}

// hasNoPart reports whether the upstream names a limit of which the node has no part. Other nodes
// have one.
func (pool *upstreamPool) hasNoPart() bool {
	return pool.limiter != nil && pool.limiter.bucket.Rate() == 0
}

// takeToken takes a token for an attempt that is sent.
func (pool *upstreamPool) takeToken(now model.Instant) {
	if pool.limiter != nil {
		pool.limiter.bucket.Take(now)
		pool.limiter.sent++
	}
}

// scheduleRateReports starts the reports to the other nodes, which go on while an upstream is
// limited.
func (s *State) scheduleRateReports(ctx *step.Context, delay time.Duration) {
	if !s.reportsRates {
		s.reportsRates = true
		setTimer(ctx, delay, 0, rateTimer)
	}
}

// handleRateTimer measures the node's rates, tells them to the other nodes and computes the
// shares anew.
func (s *State) handleRateTimer(ctx *step.Context) {
	s.reportsRates = false
	pools := s.limitedPools()
	for _, pool := range pools {
		pool.limiter.measure(ctx.Now)
		if pool.limiter.isForgotten(ctx.Now) {
			s.endRateLimit(ctx, pool)
			continue
		}
		s.updateRateShare(ctx, pool)
	}
	s.sendRateReports(ctx)
	for _, pool := range pools {
		if pool.limiter != nil {
			pool.limiter.limited = false
			s.scheduleRateReports(ctx, rateReportInterval)
			s.drainQueue(ctx, pool)
		}
	}
}

// measure updates the node's rate.
func (l *rateLimiter) measure(now model.Instant) {
	if elapsed := now.Sub(l.measuredAt); elapsed >= rateReportInterval/2 {
		l.rate += rateGain * (float64(l.sent)/elapsed.Seconds() - l.rate)
		l.sent, l.measuredAt = 0, now
	}
}

// isForgotten reports whether nobody has heard the limit for a while, and this node cannot find
// out because it has no part of it or has never heard it itself.
func (l *rateLimiter) isForgotten(now model.Instant) bool {
	return now.Sub(max(l.heardAt, l.toldAt)) > forgetTime(l.limit) && (l.heardAt == 0 || l.bucket.Rate() == 0)
}

// forgetTime returns how long a limit is known to hold after an upstream has named it.
func forgetTime(limit float64) time.Duration {
	return max(minForgetTime, time.Duration(forgetAfterRequests/max(minRateLimit, limit)*float64(time.Second)))
}

// limitedPools returns the pools whose upstreams name a limit, ordered by number.
func (s *State) limitedPools() []*upstreamPool {
	var pools []*upstreamPool
	for _, pool := range s.pools {
		if pool.limiter != nil {
			pools = append(pools, pool)
		}
	}
	slices.SortFunc(pools, func(a, b *upstreamPool) int { return cmp.Compare(a.number, b.number) })
	return pools
}

// sendRateReports tells other nodes how the node uses the limited upstreams: a node with a part
// tells the others that may have one, and those that have reported to it; a node without tells
// its informants, which then report to it.
func (s *State) sendRateReports(ctx *step.Context) {
	m := message.RateReports{Address: ctx.Self.PeerAddress, HasPart: s.sharesLimits()}
	addresses := make(map[model.HostID]string)
	for _, pool := range s.limitedPools() {
		limiter := pool.limiter
		m.Reports = append(m.Reports, message.RateReport{
			Upstream: pool.registration.Upstream.ID, Incarnation: pool.registration.Incarnation,
			Limit: limiter.limit, Age: int64(ctx.Now.Sub(max(limiter.heardAt, limiter.toldAt))), Rate: limiter.rate, Limited: limiter.limited,
		})
		for host, report := range limiter.others {
			if m.HasPart && report.isFresh(ctx.Now) {
				addresses[host] = report.address
			}
		}
	}
	if len(m.Reports) == 0 {
		return
	}
	s.addRecipients(ctx, addresses, m.HasPart)
	for _, host := range slices.Sorted(maps.Keys(addresses)) {
		ctx.Emit(effect.SendPeer{To: host, Address: addresses[host], Message: m})
	}
}

// addRecipients adds the entry nodes that the node reports to.
func (s *State) addRecipients(ctx *step.Context, addresses map[model.HostID]string, hasPart bool) {
	hosts := make([]model.HostID, 0, len(s.entryMembers))
	known := make(map[model.HostID]string, len(s.entryMembers))
	for _, member := range s.entryMembers {
		if member.Host != ctx.Self.Host {
			hosts = append(hosts, member.Host)
			known[member.Host] = member.PeerAddress
		}
	}
	if !hasPart {
		hosts = rendezvous.Top(hosts, informants, "rate reports to "+string(ctx.Self.Host))
	}
	for _, host := range hosts {
		addresses[host] = known[host]
	}
}

// HandleRateReports handles how another node uses the limited upstreams. A limit that the
// upstream has named to it recently also holds here.
func (s *State) HandleRateReports(ctx *step.Context, from model.HostID, m message.RateReports) {
	for _, report := range m.Reports {
		pool := s.pools[report.Upstream]
		if pool == nil || pool.registration.Incarnation != report.Incarnation {
			continue
		}
		namedAt := ctx.Now.Add(-time.Duration(report.Age))
		isRecent := report.Age >= 0 && time.Duration(report.Age) < forgetTime(report.Limit) && namedAt > pool.unlimitedAt
		if isRecent && (pool.limiter == nil || namedAt > max(pool.limiter.heardAt, pool.limiter.toldAt)) {
			s.setRateLimit(ctx, pool, report.Limit)
			pool.limiter.toldAt = namedAt
		}
		if pool.limiter != nil {
			demand := ratelimit.Demand{Rate: report.Rate, Limited: report.Limited}
			pool.limiter.others[from] = rateReport{demand: demand, address: m.Address, receivedAt: ctx.Now, hasPart: m.HasPart}
		}
	}
}
