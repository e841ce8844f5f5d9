package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// origin names a subquery: the node that sent it, its number there, and the caller's
// request, which tells two lives of that node apart.
type origin struct {
	host    model.HostID
	address string
	number  uint64
	request string
}

// HandleSubquery runs some shards of another node's request.
func (s *State) HandleSubquery(ctx *step.Context, from model.HostID, m message.Subquery) {
	name := origin{host: from, address: m.Address, number: m.Number, request: m.RequestID}
	if len(m.Services) == 0 {
		ctx.Emit(effect.SendPeer{To: from, Address: m.Address, Message: message.SubqueryReport{}})
		return
	}
	if s.subqueries[name] != nil {
		return
	}
	r := s.subquery(ctx, name, m)
	s.subqueries[name] = r
	s.open(r)
	if s.quarantine.Check(ctx, model.ServiceName(r.config.Name), r.print) == quarantine.Blocked {
		for i := range r.parts {
			r.settle(&r.parts[i], partFailed)
		}
	} else {
		s.scatter(ctx, r)
	}
	s.progress(ctx, r)
}

// subquery returns the request of a subquery. Each part is offered to one upstream, and
// any of them are worth an answer.
func (s *State) subquery(ctx *step.Context, from origin, m message.Subquery) *request {
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
		asked: &model.ForwardRequest{
			ID: m.RequestID, Method: m.Method, Authority: m.Authority, URI: m.URI, Header: m.Header, Body: m.Body,
		},
		route:    s.routes[m.Route],
		config:   config,
		version:  s.version(),
		arrived:  ctx.Now,
		deadline: ctx.Now.Add(config.Timeout),
		answerBy: ctx.Now.Add(config.TargetLatency),
		offerBy:  ctx.Now.Add(config.TargetLatency),
		reportAt: ctx.Now.Add(time.Duration(m.TimeToFirstReport)),
	}
	r.print = fingerprint(config, r.asked)
	if r.route == nil {
		// The version that names the route is still on its way.
		r.route = &route{config: config}
	}
	s.addParts(r)
	return r
}

// HandleSubqueryCancel gives a subquery up.
func (s *State) HandleSubqueryCancel(ctx *step.Context, from model.HostID, m message.SubqueryCancel) {
	for name, r := range s.subqueries {
		if name.host == from && name.number == m.Number && name.request == m.RequestID {
			s.close(ctx, r)
			return
		}
	}
}

// reportParts tells the node that sent a subquery what has become of its parts since the
// last report.
func (s *State) reportParts(ctx *step.Context, r *request) {
	r.reportAt = 0
	m := message.SubqueryReport{Number: r.origin.number, RequestID: r.asked.ID}
	var bodies [][]byte
	for i := range r.parts {
		p := &r.parts[i]
		switch {
		case p.reported || p.state == partOpen:
			continue
		case p.state == partAnswered:
			m.Answered = append(m.Answered, message.SubqueryPart{Index: i, Signature: p.reply.Signature})
			bodies = append(bodies, p.reply.Body)
		case p.ran > 0:
			m.Failed = append(m.Failed, message.SubqueryFailure{Index: i, Status: message.StatusFailed})
		default:
			m.Failed = append(m.Failed, message.SubqueryFailure{Index: i, Status: message.StatusRefused})
		}
		p.reported = true
	}
	if len(m.Answered)+len(m.Failed) == 0 {
		return
	}
	m.Records = greatest(bodies, r.config.TopRecords)
	ctx.Emit(effect.SendPeer{To: r.origin.host, Address: r.origin.address, Message: m})
}

// hasFailed reports whether a part has failed of which no report has told.
func (r *request) hasFailed() bool {
	for i := range r.parts {
		if p := &r.parts[i]; p.state == partFailed && !p.reported {
			return true
		}
	}
	return false
}

// progressSubquery reports a subquery's parts when the first report is due, and then as
// they come; a failure at once, so that the part can be retried.
func (s *State) progressSubquery(ctx *step.Context, r *request) {
	switch {
	case r.unsettled == 0 || ctx.Now >= r.deadline:
		s.reportParts(ctx, r)
		s.log(ctx, r, "subquery", nil)
		s.close(ctx, r)
		return
	case r.reportAt == 0, ctx.Now >= r.reportAt, r.hasFailed():
		s.reportParts(ctx, r)
	}
	s.arm(ctx, r)
}
