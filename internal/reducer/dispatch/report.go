package dispatch

import (
	"reflect"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// reportRefresh is the time after which an unchanged report is sent again.
const reportRefresh = 5 * time.Second

// report is what the other nodes were last told of an upstream.
type report struct {
	sent model.IndexReport
	// at is when it was sent; zero if never.
	at model.Instant
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

// reportIfChanged tells all nodes when something that they route by has changed.
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
	if l.owner && l.reported.at != 0 && ctx.Now.Sub(l.reported.at) >= reportRefresh {
		s.sendReport(ctx, l, l.currentReport(ctx))
	}
}

// sendReport tells all nodes, this one included.
func (s *State) sendReport(ctx *step.Context, l *lane, r model.IndexReport) {
	l.reported = report{sent: r, at: ctx.Now}
	m := message.IndexReport{Report: r}
	ctx.Broadcast(m)
	ctx.Send(ctx.Self.Host, m)
}

// reader is a member that has got all reports.
type reader struct {
	host        model.HostID
	incarnation model.Incarnation
}

// reportToNewMembers tells the members that may have missed reports what is known
// of all upstreams: those that have joined, started again, or were suspected.
func (s *State) reportToNewMembers(ctx *step.Context) {
	known := make(map[reader]bool, len(s.readers))
	for _, r := range s.readers {
		known[r] = true
	}
	s.readers = s.readers[:0]
	for _, member := range ctx.View.Members() {
		if member.Host == ctx.Self.Host || member.State == model.Suspected {
			continue
		}
		r := reader{host: member.Host, incarnation: member.Incarnation}
		s.readers = append(s.readers, r)
		if !known[r] {
			s.reportAllTo(ctx, member.Host)
		}
	}
}

// reportAllTo tells one node what is known of all upstreams.
func (s *State) reportAllTo(ctx *step.Context, host model.HostID) {
	for _, l := range s.lanes {
		if l.owner && l.reported.at != 0 {
			ctx.Send(host, message.IndexReport{Report: l.currentReport(ctx)})
		}
	}
}
