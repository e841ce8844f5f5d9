package peer

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/bounded"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// bound returns a received message with its numbers brought into the bounds of package bounded. The
// sender may run another build, or may have taken a number from an upstream without a bound.
// Identifiers, versions and sequence numbers are only compared and stay as they are.
func bound(m message.Message) message.Message {
	switch m := m.(type) {
	case message.Dispatch:
		m.TimeLeft, m.MaxQueueWait = boundSpan(m.TimeLeft), boundSpan(m.MaxQueueWait)
		return m
	case message.DispatchResult:
		m.RetryAfter = bounded.Nanoseconds(m.RetryAfter)
		m.FreeSlots, m.Queued = boundBalance(m.FreeSlots), bounded.Count(m.Queued)
		return m
	case message.IndexReport:
		boundIndexReport(&m.Report)
		return m
	case message.OrderForward:
		m.TimeLeft = boundSpan(m.TimeLeft)
		return m
	case message.OrderOutcome:
		boundAnswer(&m.Answer)
		return m
	case message.SessionHandover:
		for i := range m.Outcomes {
			boundAnswer(&m.Outcomes[i].Answer)
		}
		return m
	case message.Digest:
		boundDigest(&m)
		return m
	case message.Suspicion:
		m.Bound()
		return m
	case message.RegistrySubscribe:
		boundObservations(m.Observations)
		return m
	case message.RegistryUpdate:
		boundRegistryUpdate(&m)
		return m
	case message.Subquery:
		m.TopRecords = bounded.Count(m.TopRecords)
		m.Timeout = boundSpan(m.Timeout)
		m.TimeToFirstReport, m.TimeToAnswer = boundSpan(m.TimeToFirstReport), boundSpan(m.TimeToAnswer)
		return m
	case message.RateReports:
		boundRateReports(m.Reports)
		return m
	default:
		return m
	}
}

// boundSpan bounds a number of nanoseconds that may lie in the past.
func boundSpan(n int64) int64 { return int64(bounded.Span(time.Duration(n))) }

// boundAge bounds an age in nanoseconds. A negative age means that there is none.
func boundAge(n int64) int64 { return bounded.Number(n, -1, int64(bounded.MaxDuration)) }

// boundBalance bounds a count that may be negative.
func boundBalance(n int) int { return bounded.Number(n, -bounded.MaxCount, bounded.MaxCount) }

// boundIndexReport bounds the numbers of a report on an upstream.
func boundIndexReport(r *model.IndexReport) {
	r.FreeSlots, r.Queued, r.Limit = boundBalance(r.FreeSlots), bounded.Count(r.Queued), bounded.Count(r.Limit)
	r.Observed = max(0, r.Observed)
	r.ReportedInFlight, r.ReportedAge = bounded.Count(r.ReportedInFlight), bounded.Span(r.ReportedAge)
}

// boundAnswer bounds the numbers of an answer.
func boundAnswer(a *model.Answer) {
	a.RetryAfter = bounded.Duration(a.RetryAfter)
	a.Attempts, a.Planned = bounded.Count(a.Attempts), bounded.Count(a.Planned)
	if a.Coverage != nil {
		a.Coverage.Searched, a.Coverage.Total = bounded.Count(a.Coverage.Searched), bounded.Count(a.Coverage.Total)
	}
}

// boundDigest bounds the numbers of a digest.
func boundDigest(m *message.Digest) {
	m.Member.Bound()
	for i := range m.InForce {
		m.InForce[i].Age = boundAge(m.InForce[i].Age)
	}
	for i := range m.Rumors {
		m.Rumors[i].Member.Bound()
	}
}

// boundRegistryUpdate bounds the numbers of a registry view.
func boundRegistryUpdate(m *message.RegistryUpdate) {
	m.EraAge = boundAge(m.EraAge)
	m.RoutesAge, m.UpstreamsAge, m.MembersAge = boundAge(m.RoutesAge), boundAge(m.UpstreamsAge), boundAge(m.MembersAge)
	if m.Routes != nil {
		m.Routes.Bound()
	}
	for i := range m.Upstreams {
		m.Upstreams[i].Bound()
	}
	for i := range m.Members {
		m.Members[i].Bound()
	}
	for i := range m.Suspicions {
		m.Suspicions[i].Bound()
	}
	boundObservations(m.Observations)
}

// boundObservations bounds the numbers of observations.
func boundObservations(list []model.Observation) {
	for i := range list {
		list[i].Bound()
	}
}

// boundRateReports bounds the numbers of rate reports.
func boundRateReports(list []message.RateReport) {
	for i := range list {
		r := &list[i]
		r.Limit, r.Rate, r.Age = bounded.Rate(r.Limit), bounded.Rate(r.Rate), boundAge(r.Age)
	}
}
