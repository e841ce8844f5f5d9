package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/blame"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/limit"
)

// maxDescribedEntries bounds the routes and the upstreams in a description.
const maxDescribedEntries = 1000

// Description is the relay's part of the state dump.
type Description struct {
	// EntryNodes is the number of nodes that callers are told to use, OtherNodes that of
	// the other serving nodes. IsEntryNode is true if this node is an entry node.
	EntryNodes  int  `json:"entry_nodes"`
	OtherNodes  int  `json:"other_nodes"`
	IsEntryNode bool `json:"entry_node"`
	Requests    int  `json:"requests"`
	Attempts    int  `json:"attempts"`
	Connections int  `json:"connections"`
	// Delegations counts the open subqueries that this node sent, and Subqueries those
	// that it received.
	Delegations int `json:"delegations"`
	Subqueries  int `json:"subqueries"`
	// Blame describes the contents that are suspected of crashing upstreams.
	Blame     blame.Description     `json:"blame"`
	Helpers   []HelperDescription   `json:"helpers"`
	Routes    []RouteDescription    `json:"routes"`
	Upstreams []UpstreamDescription `json:"upstreams"`
}

// HelperDescription describes a node that may run subqueries.
type HelperDescription struct {
	Host          model.HostID        `json:"host"`
	FailureDomain model.FailureDomain `json:"failure_domain"`
	// Paused is true while the helper gets no subqueries, because it was lost, did not
	// report in time, or has not replied to a greeting yet.
	Paused bool `json:"rests"`
}

// RouteDescription describes the latency statistics of a route.
type RouteDescription struct {
	Name       string        `json:"name"`
	Samples    int           `json:"samples"`
	HedgeAfter time.Duration `json:"hedge_after_nanos"`
}

// UpstreamDescription describes the pool of one upstream.
type UpstreamDescription struct {
	Upstream model.UpstreamID `json:"upstream"`
	Address  string           `json:"address"`
	Usable   bool             `json:"usable"`
	Draining bool             `json:"draining"`
	// Leaving is true if the upstream's replies state that it is leaving.
	Leaving bool `json:"leaving"`
	// RateLimit is the limit of requests per second that the upstream names, and RateShare this
	// node's part of it; absent if there is none.
	RateLimit *float64 `json:"rate_limit,omitempty"`
	RateShare *float64 `json:"rate_share,omitempty"`
	// NotBefore is the time for which the upstream still wants no requests.
	NotBefore       time.Duration `json:"not_before_nanos,omitempty"`
	Misdirected     bool          `json:"misdirected"`
	InFlight        int           `json:"in_flight"`
	Waiting         int           `json:"waiting"`
	OpenConnections int           `json:"open_connections"`
	MaxConnections  int           `json:"max_connections"`
	Limit           int           `json:"limit"`
	LimitReason     limit.Reason  `json:"limit_reason"`
	FailureRate     float64       `json:"failing"`
	Latency         time.Duration `json:"latency_nanos"`
	ExtraTokens     float64       `json:"extra_tokens"`
}

// Describe returns a description of the relay with at most maxDescribedEntries routes and
// upstreams.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		EntryNodes: s.sharing.entryNodes, OtherNodes: s.sharing.otherNodes, IsEntryNode: s.sharing.isEntry,
		Requests: len(s.requests), Attempts: len(s.attempts), Connections: len(s.connections),
		Delegations: len(s.delegations), Subqueries: len(s.subqueries), Blame: s.blame.Describe(now),
	}
	for host, h := range s.helpers {
		d.Helpers = append(d.Helpers, HelperDescription{Host: host, FailureDomain: h.member.FailureDomain, Paused: !h.isUsable(now)})
	}
	slices.SortFunc(d.Helpers, func(a, b HelperDescription) int { return cmp.Compare(a.Host, b.Host) })
	for _, found := range s.routes {
		r := request{route: found, config: found.config}
		if found.latency.Samples() > 0 && len(d.Routes) < maxDescribedEntries {
			d.Routes = append(d.Routes, RouteDescription{Name: found.config.Name, Samples: found.latency.Samples(), HedgeAfter: s.hedgeDelay(&r)})
		}
	}
	for _, pool := range s.pools {
		if len(d.Upstreams) < maxDescribedEntries {
			d.Upstreams = append(d.Upstreams, s.describePool(pool, now))
		}
	}
	slices.SortFunc(d.Routes, func(a, b RouteDescription) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(d.Upstreams, func(a, b UpstreamDescription) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return d
}

// describePool describes one upstream pool.
func (s *State) describePool(pool *upstreamPool, now model.Instant) UpstreamDescription {
	d := UpstreamDescription{
		Upstream:        pool.registration.Upstream.ID,
		Address:         pool.registration.Upstream.Address,
		Usable:          pool.usable(),
		Draining:        pool.registration.Upstream.Draining,
		Leaving:         pool.leavingSince != 0,
		Misdirected:     pool.misdirectedAt != 0,
		InFlight:        len(pool.inFlight),
		Waiting:         pool.waiting.Len(),
		OpenConnections: pool.openConnections(),
		MaxConnections:  pool.maxConnections,
		Limit:           pool.limit.Current(now),
		LimitReason:     pool.limit.Reason(now),
		FailureRate:     pool.decayedFailureRate(now),
		Latency:         s.replicas.Latency(pool.registration.Upstream.ID),
		ExtraTokens:     pool.service.extraAttempts.Tokens(),
	}
	d.NotBefore = max(0, pool.notBefore.Sub(now))
	if pool.limiter != nil {
		limit, share := pool.limiter.limit, pool.limiter.bucket.Rate()
		d.RateLimit, d.RateShare = &limit, &share
	}
	return d
}
