package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// origin identifies a subquery: the node that sent it, its number there, and the ID of
// the caller's request, which distinguishes incarnations of that node.
type origin struct {
	host      model.HostID
	address   string
	number    uint64
	requestID string
}

// HandleSubquery runs the parts of another node's request. A subquery without services is
// answered with an empty report, which opens the stream back to the sender.
func (s *State) HandleSubquery(ctx *step.Context, from model.HostID, m message.Subquery) {
	key := origin{host: from, address: m.Address, number: m.Number, requestID: m.RequestID}
	if len(m.Services) == 0 {
		ctx.Emit(effect.SendPeer{To: from, Address: m.Address, Message: message.SubqueryReport{}})
		return
	}
	if s.subqueries[key] != nil {
		return
	}
	r := s.newSubqueryRequest(ctx, key, m)
	s.subqueries[key] = r
	s.open(r)
	if s.quarantine.Check(ctx, model.ServiceName(r.config.Name), r.fingerprint) == quarantine.Blocked {
		for i := range r.parts {
			r.settle(&r.parts[i], partFailed)
		}
	} else {
		s.offerParts(ctx, r)
	}
	s.progress(ctx, r)
}

// newSubqueryRequest returns the request for a subquery. Each part is offered to one
// upstream, and any number of answered parts is reported.
func (s *State) newSubqueryRequest(ctx *step.Context, from origin, m message.Subquery) *request {
	config := &model.Route{
		Name:          m.Route,
		Gather:        m.Services,
		TopRecords:    m.TopRecords,
		Repeatable:    true,
		MaxAttempts:   1,
		Timeout:       time.Duration(m.Timeout),
		TargetLatency: time.Duration(m.TimeToAnswer),
	}
	r := &request{
		origin: &from,
		incoming: &model.ForwardRequest{
			ID: m.RequestID, Method: m.Method, Authority: m.Authority, URI: m.URI, Header: m.Header, Body: m.Body,
		},
		route:     s.routes[m.Route],
		config:    config,
		version:   s.version(),
		arrivedAt: ctx.Now,
		deadline:  ctx.Now.Add(config.Timeout),
		answerBy:  ctx.Now.Add(config.TargetLatency),
		offerBy:   ctx.Now.Add(config.TargetLatency),
		reportAt:  ctx.Now.Add(time.Duration(m.TimeToFirstReport)),
	}
	r.fingerprint = fingerprint(config, r.incoming)
	if r.route == nil {
		// The version of the route table with this route has not arrived yet.
		r.route = &route{config: config}
	}
	s.addParts(r)
	return r
}

// HandleSubqueryCancel abandons a subquery.
func (s *State) HandleSubqueryCancel(ctx *step.Context, from model.HostID, m message.SubqueryCancel) {
	for key, r := range s.subqueries {
		if key.host == from && key.number == m.Number && key.requestID == m.RequestID {
			s.close(ctx, r)
			return
		}
	}
}

// reportParts reports the parts that were settled since the last report to the node that
// sent the subquery.
func (s *State) reportParts(ctx *step.Context, r *request) {
	r.reportAt = 0
	m := message.SubqueryReport{Number: r.origin.number, RequestID: r.incoming.ID}
	var bodies [][]byte
	for i := range r.parts {
		p := &r.parts[i]
		switch {
		case p.reported || p.state == partOpen:
			continue
		case p.state == partAnswered:
			m.Answered = append(m.Answered, message.SubqueryPart{Index: i, Signature: p.reply.Signature})
			bodies = append(bodies, p.reply.Body)
		case p.possibleRuns > 0:
			m.Failed = append(m.Failed, message.SubqueryFailure{Index: i, Status: message.StatusFailed})
		default:
			m.Failed = append(m.Failed, message.SubqueryFailure{Index: i, Status: message.StatusRefused})
		}
		p.reported = true
	}
	if len(m.Answered)+len(m.Failed) == 0 {
		return
	}
	m.Records = largestRecords(bodies, r.config.TopRecords)
	ctx.Emit(effect.SendPeer{To: r.origin.host, Address: r.origin.address, Message: m})
}

// hasUnreportedFailure reports whether a failed part has not been reported yet.
func (r *request) hasUnreportedFailure() bool {
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partFailed && !p.reported {
			return true
		}
	}
	return false
}

// progressSubquery sends the first report when it is due, and later ones as parts are
// settled. Failures are reported immediately, so that the node that sent the subquery can
// retry the parts.
func (s *State) progressSubquery(ctx *step.Context, r *request) {
	switch {
	case r.unsettled == 0 || ctx.Now >= r.deadline:
		s.reportParts(ctx, r)
		s.logRequest(ctx, r, "subquery", nil)
		s.close(ctx, r)
		return
	case r.reportAt == 0, ctx.Now >= r.reportAt, r.hasUnreportedFailure():
		s.reportParts(ctx, r)
	}
	s.scheduleWakeup(ctx, r)
}
