package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// request is an open routed request.
type request struct {
	number uint64
	call   model.CallID
	asked  *model.ForwardRequest
	route  *route
	// config is the route as it was when the request arrived.
	config  *model.Route
	version model.Revision
	print   model.Fingerprint

	arrived model.Instant
	// offerBy is until when some upstream must have been offered the request: a
	// later first offer is worth less than an early refusal.
	offerBy model.Instant
	// answerBy is when a gathered answer goes out with the parts that are in.
	answerBy model.Instant
	deadline model.Instant
	// wakeAt is when the pending timer fires; zero means none.
	wakeAt model.Instant

	// origin is the node that sent the subquery, nil for a caller's own request.
	origin *origin
	// reportAt is when a subquery's first report is due; zero afterwards.
	reportAt model.Instant

	parts     []part
	unsettled int
	answered  int
	ledger    outcome.Ledger
	// delegations are the subqueries of the request, and merged the records that they
	// brought.
	delegations []*delegation
	merged      [][]byte
	// reason is why the last attempt failed.
	reason model.Code
	// offered is true once any part was sent.
	offered bool
	// crashed is true once an attempt was lost with its connection.
	crashed bool
	closed  bool
}

// partState tells whether a part still needs work.
type partState uint8

const (
	partOpen partState = iota
	partAnswered
	partFailed
)

// part is what one service contributes to the answer.
type part struct {
	service  *service
	state    partState
	attempts []*attempt
	// open counts the attempts that are not settled, and ran those that an
	// upstream may have run.
	open int
	ran  int
	// hedgeAt is when another attempt is due; zero means never.
	hedgeAt model.Instant
	// reply is the success, or the latest failure that an upstream signed. The records of
	// a reply from a delegation are among the request's merged ones.
	reply *model.ForwardedReply
	// delegation is the open subquery that the part belongs to, or nil.
	delegation *delegation
	// reported is true once a report of the subquery has told of the part.
	reported bool
}

// attempt is one offer of a part to one upstream.
type attempt struct {
	number  uint64
	request *request
	part    int
	lane    *lane
	// waiting is the attempt's place in the lane's queue.
	waiting    queue.Entry[*attempt]
	connection *connection
	created    model.Instant
	// sent is when it was written; zero before.
	sent    model.Instant
	hedge   bool
	settled bool
	// warned means that the content was known to have cost an upstream when it was sent.
	warned bool
	// abandoned means that nobody waits for the reply any more.
	abandoned bool
}

// Times of a request as shares of its route's target latency.
const (
	// offerShare leaves a caller that is refused the time to be served elsewhere.
	offerShare = 0.25
	// answerShare leaves the rest for the way back to the caller.
	answerShare = 0.85
)

// noRoutesRetry is what a node that does not know the routes yet asks callers to
// wait: a reading of the registry takes a few milliseconds.
const noRoutesRetry = 50 * time.Millisecond

// quarantineRetry is asked of callers whose content crashes upstreams.
const quarantineRetry = 10 * time.Second

// prepare finds the route of a request and checks what can be known at once.
func (s *State) prepare(ctx *step.Context, e event.Forward) (*request, *refusal) {
	if s.table == nil {
		return nil, &refusal{failure: model.Failf(model.CodeUnavailable, "the node does not know the routes yet"), retryAfter: noRoutesRetry}
	}
	if limit := s.table.Limits.BodyBytes; limit > 0 && len(e.Request.Body) > limit {
		return nil, &refusal{failure: model.Failf(model.CodeTooLarge, "the body is over %d bytes", limit)}
	}
	found := s.lookup(e.Request.Host, e.Request.Path)
	if found == nil {
		return nil, &refusal{failure: model.Failf(model.CodeUnknownRoute, "no route for %.100q and this path", e.Request.Host)}
	}
	config := found.config
	r := &request{
		call:    e.Call,
		asked:   e.Request,
		route:   found,
		config:  config,
		version: s.table.Version,
		print:   fingerprint(config, e.Request),
		arrived: ctx.Now,
	}
	if s.quarantine.Check(ctx, model.ServiceName(config.Name), r.print) == quarantine.Blocked {
		return nil, &refusal{failure: model.Failf(model.CodeQuarantined, "this content crashes upstreams"), retryAfter: quarantineRetry, route: config.Name}
	}
	r.setTimes()
	s.addParts(r)
	return r, nil
}

// fingerprint identifies the content of a request, whichever attempt it is.
func fingerprint(config *model.Route, asked *model.ForwardRequest) model.Fingerprint {
	content := make([]byte, 0, len(asked.Method)+len(asked.URI)+len(asked.Body)+2)
	content = append(content, asked.Method...)
	content = append(content, ' ')
	content = append(content, asked.URI...)
	content = append(content, '\n')
	content = append(content, asked.Body...)
	return quarantine.Fingerprint(model.ServiceName(config.Name), content)
}

// setTimes derives the request's times from its route and the caller's timeout.
func (r *request) setTimes() {
	timeout := r.config.Timeout
	if r.asked.Timeout > 0 && (timeout == 0 || r.asked.Timeout < timeout) {
		timeout = r.asked.Timeout
	}
	if timeout == 0 {
		timeout = model.DefaultDeadline
	}
	target := min(timeout, r.config.TargetLatency)
	if target == 0 {
		target = timeout
	}
	r.deadline = r.arrived.Add(timeout)
	r.offerBy = r.arrived.Add(time.Duration(offerShare * float64(target)))
	r.answerBy = r.arrived.Add(time.Duration(answerShare * float64(target)))
}

// addParts makes one part of each service that the answer needs.
func (s *State) addParts(r *request) {
	names := r.config.Gather
	switch {
	case len(names) > 0:
	case len(r.config.Split) > 0:
		names = []model.ServiceName{r.route.pick()}
	default:
		names = []model.ServiceName{r.config.Service}
	}
	r.parts = make([]part, len(names))
	r.unsettled = len(names)
	for i, name := range names {
		r.parts[i].service = s.serviceOf(name)
	}
}

// isGathered reports whether the answer is merged from several shards.
func (r *request) isGathered() bool { return len(r.config.Gather) > 0 }

// settle ends a part.
func (r *request) settle(p *part, state partState) {
	if p.state != partOpen {
		return
	}
	p.state = state
	p.hedgeAt = 0
	r.unsettled--
	if state == partAnswered {
		r.answered++
	}
}

// coverage returns the share of the shards that n parts are.
func (r *request) coverage(n int) model.Percent {
	return model.Coverage{Searched: n, Total: len(r.parts)}.Percent()
}

// covered reports whether n parts suffice for an answer.
func (r *request) covered(n int) bool {
	if !r.isGathered() {
		return n == len(r.parts)
	}
	return n > 0 && r.coverage(n) >= r.config.MinCoverage-coverageTolerance
}

// coverageTolerance absorbs the rounding of shares, in percent.
const coverageTolerance model.Percent = 1e-6
