package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/limit"
)

// maxDescribed bounds the number of upstreams in a description.
const maxDescribed = 1000

// Description describes the dispatcher for the state dump and the show
// statement.
type Description struct {
	// UpstreamPools is the number of upstream pools; Upstreams lists at most
	// maxDescribed of them.
	UpstreamPools int                   `json:"lanes"`
	Connections   int                   `json:"connections"`
	Jobs          int                   `json:"jobs"`
	Upstreams     []UpstreamDescription `json:"upstreams"`
}

// UpstreamDescription describes one upstream pool of the node.
type UpstreamDescription struct {
	Upstream model.UpstreamID `json:"upstream"`
	Address  string           `json:"address"`
	// Role is "dispatcher" while this node dispatches for the upstream, "retiring" while
	// it may still send after it has ceased to be a dispatcher, and then "finishing".
	Role string `json:"role"`
	// Rank is the position of this node among the upstream's dispatchers.
	Rank int `json:"rank"`
	// Slots is this node's share of the upstream's slots; Limit is its current
	// concurrency limit, and LimitReason what determines the limit.
	Slots           int          `json:"slots"`
	Limit           int          `json:"limit"`
	LimitReason     limit.Reason `json:"limit_reason"`
	InFlight        int          `json:"in_flight"`
	Queued          int          `json:"queued"`
	OpenConnections int          `json:"open_connections"`
	Connections     int          `json:"connections"`
	// MaxConnections is this node's share of the upstream's connection limit.
	MaxConnections int  `json:"max_connections"`
	Reachable      bool `json:"reachable"`
	FailedConnects int  `json:"failed_connects"`
	// DrainingBy is the source of the upstream's drain state; empty if it is not
	// draining.
	DrainingBy  string        `json:"draining_by,omitempty"`
	ServiceTime time.Duration `json:"service_time_nanos"`
	// StatusAge is the age of the status that ReportedInFlight comes from, in
	// nanoseconds; negative if none was read.
	StatusAge        time.Duration   `json:"status_age_nanos"`
	ReportedInFlight int             `json:"reported_in_flight"`
	Versions         []model.Version `json:"versions"`
}

// Describe returns a bounded description of the dispatcher.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		UpstreamPools: len(s.pools),
		Connections:   len(s.connections),
		Jobs:          len(s.jobs),
		Upstreams:     make([]UpstreamDescription, 0, min(maxDescribed, len(s.pools))),
	}
	for _, pool := range s.pools[:min(maxDescribed, len(s.pools))] {
		d.Upstreams = append(d.Upstreams, pool.describe(now))
	}
	return d
}

// describe returns the description of one pool.
func (p *upstreamPool) describe(now model.Instant) UpstreamDescription {
	d := UpstreamDescription{
		Upstream:         p.upstream.ID,
		Address:          p.upstream.Address,
		Role:             p.role(now),
		Rank:             p.share.rank,
		Slots:            p.slots,
		Limit:            p.limit.Current(now),
		LimitReason:      p.limit.Reason(now),
		InFlight:         len(p.inFlight),
		Queued:           p.queue.Len(),
		OpenConnections:  p.openConnections(),
		Connections:      len(p.connections),
		MaxConnections:   p.maxConnections,
		Reachable:        p.hasOpenConnection(),
		FailedConnects:   p.connectBackoff.Failures,
		DrainingBy:       string(p.drainingBy()),
		ServiceTime:      p.serviceTime.mean,
		StatusAge:        -1,
		ReportedInFlight: p.status.inFlight,
		Versions:         make([]model.Version, 0, len(p.status.holdings)),
	}
	if p.status.observedAt != 0 {
		d.StatusAge = now.Sub(p.status.observedAt)
	}
	for _, h := range p.status.holdings {
		d.Versions = append(d.Versions, h.Version)
	}
	return d
}

// role returns the pool's role: "dispatcher", "retiring" or "finishing".
func (p *upstreamPool) role(now model.Instant) string {
	switch {
	case p.owned:
		return "dispatcher"
	case p.maySend(now):
		return "retiring"
	default:
		return "finishing"
	}
}
