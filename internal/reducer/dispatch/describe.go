package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/limit"
)

// maxDescribed bounds the upstreams in a description.
const maxDescribed = 1000

// Description describes the dispatcher for the state dump and for show.
type Description struct {
	// UpstreamPools is the number of upstreams; Upstreams lists at most maxDescribed.
	UpstreamPools int                   `json:"lanes"`
	Connections   int                   `json:"connections"`
	Jobs          int                   `json:"jobs"`
	Upstreams     []UpstreamDescription `json:"upstreams"`
}

// UpstreamDescription describes what the node has to do with one upstream.
type UpstreamDescription struct {
	Upstream model.UpstreamID `json:"upstream"`
	Address  string           `json:"address"`
	// Role is "dispatcher", "retiring" or "finishing".
	Role string `json:"role"`
	Rank int    `json:"rank"`
	// Slots is this node's share; Limit is what it uses of it, and LimitReason
	// tells why.
	Slots           int          `json:"slots"`
	Limit           int          `json:"limit"`
	LimitReason     limit.Reason `json:"limit_reason"`
	InFlight        int          `json:"in_flight"`
	Queued          int          `json:"queued"`
	OpenConnections int          `json:"open_connections"`
	Connections     int          `json:"connections"`
	// MaxConnections is this node's share of the upstream's limit.
	MaxConnections int  `json:"max_connections"`
	Reachable      bool `json:"reachable"`
	Failures       int  `json:"failed_connects"`
	// DrainingBy is the sign by which the upstream is leaving, or empty.
	DrainingBy  string        `json:"draining_by,omitempty"`
	ServiceTime time.Duration `json:"service_time_nanos"`
	// StatusAge is the age of the status that ReportedInFlight comes from;
	// negative if none was read.
	StatusAge        time.Duration   `json:"status_age_nanos"`
	ReportedInFlight int             `json:"reported_in_flight"`
	Versions         []model.Version `json:"versions"`
}

// Describe returns a bounded description of the dispatcher.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		UpstreamPools: len(s.lanes),
		Connections:   len(s.connections),
		Jobs:          len(s.jobs),
		Upstreams:     make([]UpstreamDescription, 0, min(maxDescribed, len(s.lanes))),
	}
	for _, l := range s.lanes[:min(maxDescribed, len(s.lanes))] {
		d.Upstreams = append(d.Upstreams, l.describe(now))
	}
	return d
}

// describe describes one lane.
func (l *lane) describe(now model.Instant) UpstreamDescription {
	d := UpstreamDescription{
		Upstream:         l.upstream.ID,
		Address:          l.upstream.Address,
		Role:             l.role(now),
		Rank:             l.part.rank,
		Slots:            l.slots,
		Limit:            l.limit.Current(now),
		LimitReason:      l.limit.Reason(now),
		InFlight:         len(l.inFlight),
		Queued:           l.queue.Len(),
		OpenConnections:  l.openConnections(),
		Connections:      len(l.connections),
		MaxConnections:   l.maxConnections,
		Reachable:        l.isOpen(),
		Failures:         l.opening.Failures,
		DrainingBy:       string(l.drainingBy()),
		ServiceTime:      l.service.mean,
		StatusAge:        -1,
		ReportedInFlight: l.status.inFlight,
		Versions:         make([]model.Version, 0, len(l.status.holdings)),
	}
	if l.status.observed != 0 {
		d.StatusAge = now.Sub(l.status.observed)
	}
	for _, h := range l.status.holdings {
		d.Versions = append(d.Versions, h.Version)
	}
	return d
}

// role names what the lane does.
func (l *lane) role(now model.Instant) string {
	switch {
	case l.owner:
		return "dispatcher"
	case l.serves(now):
		return "retiring"
	default:
		return "finishing"
	}
}
