package dispatch

import (
	"reflect"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Refresh of unchanged reports.
const (
	// reportRefresh is the interval at which an unchanged report is sent again, and
	// reportRefreshMany the interval for more than manyRecipients.
	reportRefresh     = 5 * time.Second
	reportRefreshMany = 15 * time.Second
	manyRecipients    = 16
)

// report is the last report on an upstream that was sent to other nodes.
type report struct {
	last model.IndexReport
	// sentAt is when it was sent; zero if never.
	sentAt model.Instant
	// recipients lists the members that have received a report since they became
	// recipients.
	recipients []recipient
}

// currentReport returns a report on the current state of the upstream.
func (p *upstreamPool) currentReport(ctx *step.Context) model.IndexReport {
	return model.IndexReport{
		Upstream:  p.upstream.ID,
		Observed:  ctx.Now,
		Holdings:  p.status.holdings,
		Draining:  p.isDraining(),
		Reachable: p.hasOpenConnection(),
		FreeSlots: p.freeSlots(ctx.Now),
		Queued:    p.queue.Len(),
		Limit:     max(1, p.limit.Current(ctx.Now)),

		ReportedInFlight: p.status.inFlight,
		ReportedAge:      ctx.Now.Sub(p.status.observedAt),
	}
}

// reportIfChanged sends a report if a value that is used for routing has changed.
func (s *State) reportIfChanged(ctx *step.Context, pool *upstreamPool) {
	if !pool.owned || pool.status.observedAt == 0 && !pool.isDraining() {
		return
	}
	current := pool.currentReport(ctx)
	if pool.reported.sentAt != 0 && !routingChanged(pool.reported.last, current) {
		return
	}
	s.sendReport(ctx, pool, current)
}

// routingChanged reports whether values that are used for routing differ. It leaves
// out the state of the queue, which changes too often to be sent each time.
func routingChanged(a, b model.IndexReport) bool {
	return a.Draining != b.Draining || a.Reachable != b.Reachable || a.Limit != b.Limit ||
		!reflect.DeepEqual(a.Holdings, b.Holdings)
}

// refreshReport sends an unchanged report again after the refresh interval, for
// nodes that have missed it.
func (s *State) refreshReport(ctx *step.Context, pool *upstreamPool) {
	interval := reportRefresh
	if len(pool.reported.recipients) > manyRecipients {
		interval = reportRefreshMany
	}
	if pool.owned && pool.reported.sentAt != 0 && ctx.Now.Sub(pool.reported.sentAt) >= interval {
		s.sendReport(ctx, pool, pool.currentReport(ctx))
	}
}

// sendReport sends a report to the service's recipients and to this node.
func (s *State) sendReport(ctx *step.Context, pool *upstreamPool, r model.IndexReport) {
	pool.reported.last = r
	pool.reported.sentAt = ctx.Now
	m := message.IndexReport{Report: r}
	for _, host := range s.recipients.Recipients(ctx, pool.upstream.ID.Service()) {
		ctx.Send(host, m)
	}
	pool.reported.recipients = s.reportRecipients(ctx, pool)
	ctx.Send(ctx.Self.Host, m)
}

// recipient is one incarnation of a member that receives a pool's reports.
type recipient struct {
	host        model.HostID
	incarnation model.Incarnation
}

// SetReportRecipients sets the selection of the nodes that receive reports on
// upstreams. The default is all members.
func (s *State) SetReportRecipients(recipients ReportRecipients) { s.recipients = recipients }

// reportToNewRecipients sends the current reports to members that may have missed
// them: members that have become recipients, have restarted, or were suspected.
func (s *State) reportToNewRecipients(ctx *step.Context) {
	for _, pool := range s.pools {
		if pool.owned && pool.reported.sentAt != 0 {
			s.reportPoolToNewRecipients(ctx, pool)
		}
	}
}

// reportPoolToNewRecipients sends the current report on a pool's upstream to its new
// recipients.
func (s *State) reportPoolToNewRecipients(ctx *step.Context, pool *upstreamPool) {
	recipients := s.reportRecipients(ctx, pool)
	for _, r := range recipients {
		if !slices.Contains(pool.reported.recipients, r) {
			ctx.Send(r.host, message.IndexReport{Report: pool.currentReport(ctx)})
		}
	}
	pool.reported.recipients = recipients
}

// reportRecipients returns the recipients of a pool's reports, without suspected
// members, which may miss messages.
func (s *State) reportRecipients(ctx *step.Context, pool *upstreamPool) []recipient {
	var recipients []recipient
	for _, host := range s.recipients.Recipients(ctx, pool.upstream.ID.Service()) {
		if member, known := ctx.View.Member(host); known && member.State != model.Suspected {
			recipients = append(recipients, recipient{host: host, incarnation: member.Incarnation})
		}
	}
	return recipients
}

// ReportServices sends the current reports on the upstreams of services to one node.
func (s *State) ReportServices(ctx *step.Context, services []model.ServiceName, to model.HostID) {
	for _, pool := range s.pools {
		if pool.owned && pool.reported.sentAt != 0 && slices.Contains(services, pool.upstream.ID.Service()) {
			ctx.Send(to, message.IndexReport{Report: pool.currentReport(ctx)})
		}
	}
}
