// Package relay coordinates requests that are routed by host and path to
// upstreams of one service, or to one upstream of each shard of an index. It
// places them on upstreams, hedges and retries on budgets, refuses what cannot be
// served, and gathers the replies of shards into one answer.
//
// A node dispatches by itself to every upstream, over its own share of the
// upstream's connections. A lane is what the node has to do with one upstream: its
// connections, the attempts that wait or run there, and what was learned of it. Shards
// that have no upstream near the node may be asked by a node of another failure domain,
// in a subquery.
package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

const component = "relay"

// Counters.
const (
	metricHedges       effect.Metric = "relay_hedges_total"
	metricRetries      effect.Metric = "relay_retries_total"
	metricExtraDenied  effect.Metric = "relay_extra_attempts_denied_total"
	metricRefused      effect.Metric = "relay_refused_total"
	metricFailed       effect.Metric = "relay_failed_total"
	metricPartial      effect.Metric = "relay_partial_answers_total"
	metricAbandoned    effect.Metric = "relay_abandoned_attempts_total"
	metricInvalid      effect.Metric = "relay_invalid_replies_total"
	metricLost         effect.Metric = "relay_lost_replies_total"
	metricCallersGone  effect.Metric = "relay_callers_gone_total"
	metricMisdirected  effect.Metric = "relay_misdirected_total"
	metricConnectFails effect.Metric = "relay_failed_connects_total"
)

// Settings are the limits that the nodes share.
type Settings struct {
	// ExtraAttemptBudget and ExtraAttemptSlack bound the arrivals at a service beyond the first
	// of each request, over all nodes, within a window: the share of the requests
	// plus the slack.
	ExtraAttemptBudget model.Percent
	ExtraAttemptSlack  float64
}

// Suspicions takes the news of requests that crashed upstreams, for the other
// nodes.
type Suspicions interface {
	ReportSuspicion(ctx *step.Context, suspicion message.Suspicion)
}

// State holds the open requests and the lanes of one node.
type State struct {
	settings   Settings
	quarantine *quarantine.State
	suspicions Suspicions
	replicas   *replica.Table
	// nodes is how many nodes share the upstreams and the budgets.
	nodes int
	// helpers are the other nodes that serve, by failure domain, and helperRests until
	// when one that did not report in time is left alone.
	helpers     map[model.FailureDomain][]model.Member
	helperRests map[model.HostID]model.Instant

	table    *model.RouteTable
	routes   map[string]*route
	hosts    map[string][]*route
	services map[model.ServiceName]*service

	lanes       map[model.UpstreamID]*lane
	lanesByID   map[uint64]*lane
	connections map[model.ConnectionID]*connection
	requests    map[uint64]*request
	calls       map[model.CallID]*request
	attempts    map[uint64]*attempt
	// delegations are the subqueries at other nodes, and subqueries those of other nodes
	// here.
	delegations map[uint64]*delegation
	subqueries  map[origin]*request

	nextLane       uint64
	nextRequest    uint64
	nextAttempt    uint64
	nextDelegation uint64
	nextConnection model.ConnectionID
}

// New returns a state without routes and upstreams.
func New(settings Settings, q *quarantine.State, suspicions Suspicions) *State {
	return &State{
		settings:    settings,
		quarantine:  q,
		suspicions:  suspicions,
		replicas:    replica.NewTable(),
		nodes:       1,
		routes:      make(map[string]*route),
		hosts:       make(map[string][]*route),
		services:    make(map[model.ServiceName]*service),
		lanes:       make(map[model.UpstreamID]*lane),
		lanesByID:   make(map[uint64]*lane),
		connections: make(map[model.ConnectionID]*connection),
		requests:    make(map[uint64]*request),
		calls:       make(map[model.CallID]*request),
		attempts:    make(map[uint64]*attempt),
		helperRests: make(map[model.HostID]model.Instant),
		delegations: make(map[uint64]*delegation),
		subqueries:  make(map[origin]*request),
	}
}

// Configure replaces the settings.
func (s *State) Configure(settings Settings) { s.settings = settings }

// InFlight returns the number of open requests.
func (s *State) InFlight() int { return len(s.requests) }

// SetMembers tells which nodes serve: they share the upstreams' connections and the
// budgets.
func (s *State) SetMembers(ctx *step.Context, members []model.Member) {
	s.setHelpers(ctx, members)
	nodes := max(1, len(members))
	if nodes == s.nodes {
		return
	}
	s.nodes = nodes
	for _, l := range s.lanes {
		s.shareLane(l)
	}
	ctx.Log(effect.Info, component, "upstreams are shared", countField("nodes", nodes))
}

// HandleForward starts a caller's request.
func (s *State) HandleForward(ctx *step.Context, e event.Forward) {
	r, refused := s.prepare(ctx, e)
	if refused != nil {
		s.refuse(ctx, e, refused)
		return
	}
	s.calls[r.call] = r
	s.open(r)
	s.scatter(ctx, r)
	s.progress(ctx, r)
}

// HandleCallerGone gives a request up whose caller has closed its connection.
func (s *State) HandleCallerGone(ctx *step.Context, call model.CallID) {
	r := s.calls[call]
	if r == nil {
		return
	}
	ctx.Count(metricCallersGone, "")
	s.log(ctx, r, "caller gone", nil)
	s.close(ctx, r)
}

// open registers a prepared request.
func (s *State) open(r *request) {
	s.nextRequest++
	r.number = s.nextRequest
	s.requests[r.number] = r
}

// close gives up what is open of a request and forgets it.
func (s *State) close(ctx *step.Context, r *request) {
	r.closed = true
	for i := range r.parts {
		for _, a := range r.parts[i].attempts {
			s.giveUp(ctx, a)
		}
	}
	s.cancelDelegations(ctx, r)
	delete(s.requests, r.number)
	if r.origin != nil {
		delete(s.subqueries, *r.origin)
		return
	}
	delete(s.calls, r.call)
}

// refusal is why a request is not taken on.
type refusal struct {
	failure    *model.Failure
	retryAfter time.Duration
	route      string
}

// refuse answers a request of which nothing was sent.
func (s *State) refuse(ctx *step.Context, e event.Forward, refused *refusal) {
	var fresh outcome.Ledger
	ended := fresh.End(outcome.Reason{Failure: refused.failure, RetryAfter: refused.retryAfter})
	ctx.Count(metricRefused, string(refused.failure.Code))
	ctx.Log(effect.Info, component, "refused",
		effect.Field{Name: "request", Value: e.Request.ID},
		effect.Field{Name: "route", Value: refused.route},
		effect.Field{Name: "outcome", Value: string(ended.Outcome)},
		effect.Field{Name: "code", Value: string(refused.failure.Code)},
		effect.Field{Name: "reason", Value: refused.failure.Message},
		effect.Field{Name: "retry_after", Value: refused.retryAfter.String()},
		countField("version", int(s.version())))
	ctx.Emit(effect.ReplyForward{Call: e.Call, Route: refused.route, Answer: model.ForwardAnswer{
		Outcome: ended.Outcome, Failure: ended.Failure, RetryAfter: ended.RetryAfter,
	}})
}

// version returns the version of the routes in force; zero if there are none.
func (s *State) version() model.Revision {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// timerKind is what a timer is for. A timer's identifier is the subject's number
// times timerKinds plus the kind.
type timerKind uint64

// The kinds of timers.
const (
	requestTimer timerKind = iota
	attemptTimer
	laneTimer
	timerKinds
)

// after sets a timer.
func after(ctx *step.Context, d time.Duration, number uint64, kind timerKind) {
	ctx.After(d, timer.Relay, number*uint64(timerKinds)+uint64(kind))
}

// HandleTimer handles the times of requests, abandoned attempts and lanes.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	number := id / uint64(timerKinds)
	switch timerKind(id % uint64(timerKinds)) {
	case requestTimer:
		s.handleRequestTimer(ctx, number)
	case attemptTimer:
		s.handleAttemptTimer(ctx, number)
	case laneTimer:
		if l := s.lanesByID[number]; l != nil {
			s.probe(ctx, l)
			s.pump(ctx, l)
		}
	}
}
