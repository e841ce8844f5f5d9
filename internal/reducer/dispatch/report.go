package dispatch

import (
	"reflect"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Repetition of unchanged reports.
const (
	// reportRefresh is the time after which an unchanged report is sent again, and
	// reportRefreshMany the same for an audience of more than manyReaders.
	reportRefresh     = 5 * time.Second
	reportRefreshMany = 15 * time.Second
	manyReaders       = 16
)

// report is what the other nodes were last told of an upstream.
type report struct {
	sent model.IndexReport
	// at is when it was sent; zero if never.
	at model.Instant
	// readers lists who has been told since joining the audience.
	readers []reader
}

// currentReport returns what the node knows of the upstream now.
func (l *lane) currentReport(ctx *step.Context) model.IndexReport {
	return model.IndexReport{
		Upstream:  l.upstream.ID,
		Observed:  ctx.Now,
		Holdings:  l.status.holdings,
		Draining:  l.isDraining(),
		Reachable: l.isOpen(),
		FreeSlots: l.freeSlots(ctx.Now),
		Queued:    l.queue.Len(),
		Limit:     max(1, l.limit.Current(ctx.Now)),

		ReportedInFlight: l.status.inFlight,
		ReportedAge:      ctx.Now.Sub(l.status.observed),
	}
}

// reportIfChanged tells the audience when something that they route by has changed.
func (s *State) reportIfChanged(ctx *step.Context, l *lane) {
	if !l.owner || l.status.observed == 0 && !l.isDraining() {
		return
	}
	current := l.currentReport(ctx)
	if l.reported.at != 0 && !differs(l.reported.sent, current) {
		return
	}
	s.sendReport(ctx, l, current)
}

// differs compares what matters for routing; the queue's state changes too often
// to be spread.
func differs(a, b model.IndexReport) bool {
	return a.Draining != b.Draining || a.Reachable != b.Reachable || a.Limit != b.Limit ||
		!reflect.DeepEqual(a.Holdings, b.Holdings)
}

// refreshReport repeats a report that is old, for nodes that have missed it.
func (s *State) refreshReport(ctx *step.Context, l *lane) {
	interval := reportRefresh
	if len(l.reported.readers) > manyReaders {
		interval = reportRefreshMany
	}
	if l.owner && l.reported.at != 0 && ctx.Now.Sub(l.reported.at) >= interval {
		s.sendReport(ctx, l, l.currentReport(ctx))
	}
}

// sendReport tells the service's audience and this node.
func (s *State) sendReport(ctx *step.Context, l *lane, r model.IndexReport) {
	l.reported.sent = r
	l.reported.at = ctx.Now
	m := message.IndexReport{Report: r}
	for _, host := range s.audience.Recipients(ctx, l.upstream.ID.Service()) {
		ctx.Send(host, m)
	}
	l.reported.readers = s.readers(ctx, l)
	ctx.Send(ctx.Self.Host, m)
}

// reader is a life of a member that has got a lane's reports.
type reader struct {
	host        model.HostID
	incarnation model.Incarnation
}

// SetReportRecipients names who hears of upstreams; without it all members do.
func (s *State) SetReportRecipients(audience ReportRecipients) { s.audience = audience }

// reportToNewReaders tells those what is known of the upstreams that may have
// missed reports: members that have joined the audience, started again, or were
// suspected.
func (s *State) reportToNewReaders(ctx *step.Context) {
	for _, l := range s.lanes {
		if l.owner && l.reported.at != 0 {
			s.reportLane(ctx, l)
		}
	}
}

// reportLane tells a lane's new readers what is known of its upstream.
func (s *State) reportLane(ctx *step.Context, l *lane) {
	readers := s.readers(ctx, l)
	for _, r := range readers {
		if !slices.Contains(l.reported.readers, r) {
			ctx.Send(r.host, message.IndexReport{Report: l.currentReport(ctx)})
		}
	}
	l.reported.readers = readers
}

// readers returns the audience of a lane without suspected members, which may
// miss what is sent.
func (s *State) readers(ctx *step.Context, l *lane) []reader {
	var readers []reader
	for _, host := range s.audience.Recipients(ctx, l.upstream.ID.Service()) {
		if member, known := ctx.View.Member(host); known && member.State != model.Suspected {
			readers = append(readers, reader{host: host, incarnation: member.Incarnation})
		}
	}
	return readers
}

// ReportServices tells one node what is known of the upstreams of services.
func (s *State) ReportServices(ctx *step.Context, services []model.ServiceName, to model.HostID) {
	for _, l := range s.lanes {
		if l.owner && l.reported.at != 0 && slices.Contains(services, l.upstream.ID.Service()) {
			ctx.Send(to, message.IndexReport{Report: l.currentReport(ctx)})
		}
	}
}
