package model

import "github.com/hawthorntack/hawthorntack/internal/bounded"

// The methods Bound bring the numbers of a value that another process has sent into the bounds
// of package bounded. They are called where the value is decoded.

// Bound bounds the numbers of a route table.
func (t *RouteTable) Bound() {
	for i := range t.Routes {
		t.Routes[i].bound()
	}
	for name, n := range t.MaxConnections {
		t.MaxConnections[name] = bounded.Count(n)
	}
	limits := &t.Limits
	limits.HeaderBytes = bounded.Number(limits.HeaderBytes, 0, bounded.MaxBytes)
	limits.BodyBytes = bounded.Number(limits.BodyBytes, 0, bounded.MaxBytes)
	limits.HeaderTimeout = bounded.Duration(limits.HeaderTimeout)
	limits.IdleTimeout = bounded.Duration(limits.IdleTimeout)
}

// bound bounds the numbers of a route.
func (r *Route) bound() {
	r.TopRecords = bounded.Count(r.TopRecords)
	r.MinCoverage = bounded.Number(r.MinCoverage, 0, wholePercent)
	r.MaxAttempts = max(1, bounded.Count(r.MaxAttempts))
	r.Timeout = bounded.Duration(r.Timeout)
	r.TargetLatency = bounded.Duration(r.TargetLatency)
	r.Rank = bounded.Count(r.Rank)
	for i := range r.Split {
		r.Split[i].Weight = bounded.Rate(r.Split[i].Weight)
	}
}

// wholePercent is all of something.
const wholePercent Percent = 100

// Bound bounds the numbers of a registration.
func (r *Registration) Bound() {
	r.Upstream.Slots = bounded.Count(r.Upstream.Slots)
	r.Upstream.MaxConnections = bounded.Count(r.Upstream.MaxConnections)
	r.Warmup = bounded.Duration(r.Warmup)
}

// Bound bounds the numbers of a member.
func (m *Member) Bound() {
	m.Weight = bounded.Count(m.Weight)
	m.Load = bounded.Count(m.Load)
}

// Bound bounds the numbers of an observation.
func (o *Observation) Bound() {
	o.Answered = bounded.Count(o.Answered)
	o.Failed = bounded.Count(o.Failed)
	o.TotalLatency = bounded.Duration(o.TotalLatency)
}
