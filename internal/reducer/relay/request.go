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

// request is an open request: a caller's own, or a subquery of another node.
type request struct {
	number   uint64
	call     model.CallID
	incoming *model.ForwardRequest
	route    *route
	// config is the route's configuration when the request arrived.
	config      *model.Route
	version     model.Revision
	fingerprint model.Fingerprint

	arrivedAt model.Instant
	// offerBy is the time by which an attempt must have been sent: an early refusal
	// serves the caller better than a later first attempt.
	offerBy model.Instant
	// answerBy is when a gathered request is answered with the parts that have arrived.
	answerBy model.Instant
	deadline model.Instant
	// wakeAt is when the pending timer fires; zero means none.
	wakeAt model.Instant

	// origin identifies the subquery; nil for a caller's own request.
	origin *origin
	// reportAt is when the first report of a subquery is due; zero afterwards.
	reportAt model.Instant

	parts     []part
	unsettled int
	answered  int
	ledger    outcome.Ledger
	// delegations are the subqueries that were sent for the request. mergedRecords holds
	// the records of each report that contained answers.
	delegations   []*delegation
	mergedRecords [][]byte
	// failureCode is the code of the latest failure.
	failureCode model.Code
	// retryDenial is the reason why a part was last not retried; empty if none was denied.
	retryDenial retryDenial
	// anySent is true once any part was sent to an upstream or a helper.
	anySent bool
	// hadLostAttempt is true once the connection of an attempt ended without a reply.
	hadLostAttempt bool
	closed         bool
}

// partState is the state of a part.
type partState uint8

const (
	partOpen partState = iota
	partAnswered
	partFailed
)

// part is the contribution of one service to the answer.
type part struct {
	service  *service
	state    partState
	attempts []*attempt
	// openAttempts counts the attempts and delegations that are not settled.
	// possibleRuns counts all attempts and delegations that an upstream may have run.
	openAttempts int
	possibleRuns int
	// hedgeAt is when a hedge is due; zero means never.
	hedgeAt model.Instant
	// reply is the successful reply, or the latest signed failure of an upstream. The
	// records of a delegated part are in the request's mergedRecords instead.
	reply *model.ForwardedReply
	// reopenable means that the part failed without a retry because the answer could lack
	// it.
	reopenable bool
	// delegation is the open subquery that includes the part, or nil.
	delegation *delegation
	// reported is true once a report of the subquery has included the part.
	reported bool
}

// attempt is one offer of a part to one upstream.
type attempt struct {
	number  uint64
	request *request
	part    int
	pool    *upstreamPool
	// queueEntry is the attempt's entry in the pool's queue.
	queueEntry queue.Entry[*attempt]
	connection *connection
	createdAt  model.Instant
	// sentAt is when the attempt was sent, and sentOn the connection on which; zero before.
	sentAt  model.Instant
	sentOn  model.ConnectionID
	hedge   bool
	settled bool
	// result is the class of the reply and resultCode its HTTP status; both are zero without a
	// reply.
	result     event.ForwardStatus
	resultCode int
	// refusedIdle means that the upstream refused the attempt although it had free slots.
	refusedIdle bool
	// knownSuspect means that the content was already suspected of a crash when the
	// attempt was sent.
	knownSuspect bool
	// abandoned means that the reply is no longer needed.
	abandoned bool
}

// offerShare is the share of its route's target latency after which a request that was not
// offered is refused. It leaves the caller time to retry elsewhere.
const offerShare = 0.25

// Limits of the retry time while the node knows no routes or no upstreams yet.
const (
	// minStartRetryAfter is the time in which a registry that responds is read.
	minStartRetryAfter = 50 * time.Millisecond
	// maxStartRetryAfter bounds the wait for a registry that does not respond: other nodes
	// may serve the caller, and its entry reply names them by then.
	maxStartRetryAfter = 2 * time.Second
	// startRetrySpread is the range of the random delay as a share of the outage so far.
	startRetrySpread = 0.5
)

// startRetryAfter returns when the caller of a request should return that the node refuses
// because it is starting. An outage of the registry of which nothing is known but its length
// so far probably lasts as long again. Callers that return earlier would only be refused
// again, and most of them retry once.
func (s *State) startRetryAfter(ctx *step.Context) time.Duration {
	outage := min(ctx.Now.Sub(s.startedAt), maxStartRetryAfter)
	spread := time.Duration(startRetrySpread * float64(outage))
	return max(minStartRetryAfter, outage+time.Duration(ctx.Random.Int64N(max(1, int64(spread)))))
}

// quarantineRetryAfter is the retry time for content that crashes upstreams.
const quarantineRetryAfter = 10 * time.Second

// prepare returns a new request for its route, or a refusal if the node has no routes or no
// upstreams yet, no route matches, the body is too large, the content is blocked, or the node
// stops before the request can be answered.
func (s *State) prepare(ctx *step.Context, e event.Forward) (*request, *refusal) {
	if s.table == nil {
		return nil, &refusal{failure: model.Failf(model.CodeUnavailable, "the node does not know the routes yet"), retryAfter: s.startRetryAfter(ctx)}
	}
	if s.nextPool == 0 {
		return nil, &refusal{failure: model.Failf(model.CodeUnavailable, "the node does not know the upstreams yet"), retryAfter: s.startRetryAfter(ctx)}
	}
	if limit := s.table.Limits.BodyBytes; limit > 0 && len(e.Request.Body) > limit {
		return nil, &refusal{failure: model.Failf(model.CodeTooLarge, "the body is over %d bytes", limit)}
	}
	matched := s.lookup(e.Request.Host, e.Request.Path)
	if matched == nil {
		return nil, &refusal{failure: model.Failf(model.CodeUnknownRoute, "no route for %.100q and this path", e.Request.Host)}
	}
	config := matched.config
	r := &request{
		call:        e.Call,
		incoming:    e.Request,
		route:       matched,
		config:      config,
		version:     s.table.Version,
		fingerprint: fingerprint(config, e.Request),
		arrivedAt:   ctx.Now,
	}
	if s.quarantine.Check(ctx, model.ServiceName(config.Name), r.fingerprint) == quarantine.Blocked {
		return nil, &refusal{failure: model.Failf(model.CodeQuarantined, "this content crashes upstreams"), retryAfter: quarantineRetryAfter, route: config.Name}
	}
	if wait := s.trialWait(ctx, r); wait > 0 {
		return nil, &refusal{failure: model.Failf(model.CodeQuarantined, "this content may crash upstreams"), retryAfter: wait, route: config.Name}
	}
	r.setTimes(matched.budget.spent(ctx.Now, e.Request.Timeout), s.lag())
	if s.outlastsStop(r) {
		return nil, &refusal{failure: model.Failf(model.CodeStopping, "the node is stopping"), retryAfter: minRetryAfter, route: config.Name}
	}
	if s.stopBy != 0 {
		r.endBy(s.stopBy)
	}
	s.addParts(r)
	return r, nil
}

// fingerprint returns the hash that identifies the content of a request, equal for all of
// its attempts.
func fingerprint(config *model.Route, incoming *model.ForwardRequest) model.Fingerprint {
	content := make([]byte, 0, len(incoming.Method)+len(incoming.URI)+len(incoming.Body)+2)
	content = append(content, incoming.Method...)
	content = append(content, ' ')
	content = append(content, incoming.URI...)
	content = append(content, '\n')
	content = append(content, incoming.Body...)
	return quarantine.Fingerprint(model.ServiceName(config.Name), content)
}

// setTimes sets the request's deadline and times from its route and the caller's timeout.
// spent is the time that the caller has spent on the request, and lag that by which the
// node's timers fire late.
func (r *request) setTimes(spent, lag time.Duration) {
	timeout := r.config.Timeout
	if r.incoming.Timeout > 0 && (timeout == 0 || r.incoming.Timeout < timeout) {
		timeout = r.incoming.Timeout
	}
	if timeout == 0 {
		timeout = model.DefaultDeadline
	}
	target := min(timeout, r.config.TargetLatency)
	if target == 0 {
		target = timeout
	}
	r.deadline = r.arrivedAt.Add(timeout)
	r.offerBy = r.arrivedAt.Add(time.Duration(offerShare * float64(target)))
	r.answerBy = r.arrivedAt.Add(timeToAnswer(target, r.incoming.RoundTrip, spent, lag))
}

// addParts adds one part for each service that the answer needs.
func (s *State) addParts(r *request) {
	names := r.config.Gather
	switch {
	case len(names) > 0:
	case len(r.config.Split) > 0:
		names = []model.ServiceName{r.route.pickService()}
	default:
		names = []model.ServiceName{r.config.Service}
	}
	r.parts = make([]part, len(names))
	r.unsettled = len(names)
	for i, name := range names {
		r.parts[i].service = s.ensureService(name)
	}
}

// isGathered reports whether the answer is merged from the replies of shards.
func (r *request) isGathered() bool { return len(r.config.Gather) > 0 }

// settle sets the final state of an open part.
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

// coverage returns the share of the shards that n parts represent.
func (r *request) coverage(n int) model.Percent {
	return model.Coverage{Searched: n, Total: len(r.parts)}.Percent()
}

// isSufficient reports whether n parts suffice for an answer.
func (r *request) isSufficient(n int) bool {
	if !r.isGathered() {
		return n == len(r.parts)
	}
	return n > 0 && r.coverage(n) >= r.config.MinCoverage-coverageTolerance
}

// coverageTolerance absorbs rounding errors of percentages.
const coverageTolerance model.Percent = 1e-6
