// Package relay coordinates requests that are routed by host and path, either to one
// upstream of a service or to one upstream of each shard of an index. It selects the
// upstreams, hedges and retries within budgets, refuses requests that cannot be served,
// and merges the replies of the shards into one answer.
//
// Each node dispatches to every upstream on its own, over its share of the upstream's
// connections. An upstreamPool holds a node's connections to one upstream, the attempts
// that wait or run there, and the statistics and load reports of the upstream. If many
// shards have no replica in the node's failure domain, a node of another domain may query
// them in a subquery.
package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/blame"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/latency"
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
	metricWithheld     effect.Metric = "relay_withheld_failures_total"
	metricPartial      effect.Metric = "relay_partial_answers_total"
	metricAbandoned    effect.Metric = "relay_abandoned_attempts_total"
	metricInvalid      effect.Metric = "relay_invalid_replies_total"
	metricLost         effect.Metric = "relay_lost_replies_total"
	metricCallersGone  effect.Metric = "relay_callers_gone_total"
	metricMisdirected  effect.Metric = "relay_misdirected_total"
	metricCrashes      effect.Metric = "relay_crashes_total"
	metricMismatched   effect.Metric = "relay_mismatched_replies_total"
	metricResends      effect.Metric = "relay_resends_total"
	metricConnectFails effect.Metric = "relay_failed_connects_total"
	metricNotices      effect.Metric = "relay_notices_total"
)

// Settings are the limits that apply to all nodes together.
type Settings struct {
	// ExtraAttemptBudget and ExtraAttemptSlack bound the attempts that reach a service
	// beyond the first of each request, over all nodes within a window:
	// ExtraAttemptBudget is a percentage of the requests, and ExtraAttemptSlack is a
	// number of attempts on top of it.
	ExtraAttemptBudget model.Percent
	ExtraAttemptSlack  float64
	// BudgetWindow is the length of the window. At zero the slack is granted only once.
	BudgetWindow time.Duration
}

// SuspicionReporter reports requests that may have crashed upstreams to the other nodes.
type SuspicionReporter interface {
	ReportSuspicion(ctx *step.Context, suspicion message.Suspicion)
}

// State holds the open requests and the upstream pools of one node.
type State struct {
	settings          Settings
	quarantine        *quarantine.State
	blame             *blame.State
	suspicionReporter SuspicionReporter
	replicas          *replica.Table
	sharing           sharing
	// entryMembers are the nodes that callers are told to use.
	entryMembers []model.Member
	// stopBy is when the last requests are answered before the node exits; zero unless the
	// node is stopping.
	stopBy model.Instant
	// stopsAsEntry is true on a stopping node that callers were told to use until then. They
	// use it for a while yet.
	stopsAsEntry bool
	startedAt    model.Instant
	// helpers are the nodes of other failure domains that may run subqueries.
	helpers map[model.HostID]*helper

	table    *model.RouteTable
	routes   map[string]*route
	hosts    map[string][]*route
	services map[model.ServiceName]*service

	pools         map[model.UpstreamID]*upstreamPool
	poolsByNumber map[uint64]*upstreamPool
	connections   map[model.ConnectionID]*connection
	requests      map[uint64]*request
	// notices are those of upstreams whose pools were removed.
	notices  map[model.UpstreamID]rememberedNotices
	calls    map[model.CallID]*request
	attempts map[uint64]*attempt
	// delegations are the subqueries that this node sent, by number. subqueries are those
	// that it received.
	delegations map[uint64]*delegation
	subqueries  map[origin]*request

	// reportsRates is true while the timer of the reports on limited upstreams is set.
	reportsRates bool
	// verdictAt is the time of the last verdict timer that was set.
	verdictAt model.Instant
	// tells counts the messages about crashes since tellsSince.
	tells      int
	tellsSince model.Instant
	// timerLag tracks how late the timers of requests fire.
	timerLag latency.Tracker
	// attemptsSent counts the attempts that were sent to upstreams.
	attemptsSent   uint64
	nextPool       uint64
	nextRequest    uint64
	nextAttempt    uint64
	nextDelegation uint64
	nextConnection model.ConnectionID
}

// New returns a state without routes and upstreams. It sets the durations of blocks.
func New(settings Settings, q *quarantine.State, suspicions SuspicionReporter) *State {
	q.Configure(quarantine.Settings{FirstBlock: firstBlock, BlockGrowth: blockGrowth})
	return &State{
		settings:          settings,
		quarantine:        q,
		blame:             blame.New(),
		suspicionReporter: suspicions,
		replicas:          replica.NewTable(),
		sharing:           newSharing(),
		routes:            make(map[string]*route),
		hosts:             make(map[string][]*route),
		services:          make(map[model.ServiceName]*service),
		pools:             make(map[model.UpstreamID]*upstreamPool),
		poolsByNumber:     make(map[uint64]*upstreamPool),
		connections:       make(map[model.ConnectionID]*connection),
		requests:          make(map[uint64]*request),
		notices:           make(map[model.UpstreamID]rememberedNotices),
		calls:             make(map[model.CallID]*request),
		attempts:          make(map[uint64]*attempt),
		delegations:       make(map[uint64]*delegation),
		subqueries:        make(map[origin]*request),
	}
}

// Configure replaces the settings.
func (s *State) Configure(settings Settings) { s.settings = settings }

// AttemptsSent returns the number of attempts sent to upstreams since the start.
func (s *State) AttemptsSent() uint64 { return s.attemptsSent }

// InFlight returns the number of open requests.
func (s *State) InFlight() int { return len(s.requests) }

// HandleForward starts a caller's request, or refuses it.
func (s *State) HandleForward(ctx *step.Context, e event.Forward) {
	r, refused := s.prepare(ctx, e)
	if refused != nil {
		s.refuse(ctx, e, refused)
		return
	}
	s.calls[r.call] = r
	s.open(r)
	s.offerParts(ctx, r)
	s.progress(ctx, r)
}

// HandleCallerGone abandons a request whose caller has closed its connection.
func (s *State) HandleCallerGone(ctx *step.Context, call model.CallID) {
	r := s.calls[call]
	if r == nil {
		return
	}
	ctx.Count(metricCallersGone, "")
	s.logRequest(ctx, r, "caller gone", nil)
	s.close(ctx, r)
}

// open assigns a number to a prepared request and registers it.
func (s *State) open(r *request) {
	s.nextRequest++
	r.number = s.nextRequest
	s.requests[r.number] = r
}

// close abandons the open attempts and delegations of a request and deletes it.
func (s *State) close(ctx *step.Context, r *request) {
	r.closed = true
	for i := range r.parts {
		for _, a := range r.parts[i].attempts {
			s.abandon(ctx, a)
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

// refusal states why a request is not accepted and when the caller may retry.
type refusal struct {
	failure    *model.Failure
	retryAfter time.Duration
	route      string
}

// refuse answers a request that was refused before any attempt was sent.
func (s *State) refuse(ctx *step.Context, e event.Forward, refused *refusal) {
	var ledger outcome.Ledger
	ended := ledger.End(outcome.Reason{Failure: refused.failure, RetryAfter: refused.retryAfter})
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

// version returns the version of the active route table, or zero if there is none.
func (s *State) version() model.Revision {
	if s.table == nil {
		return 0
	}
	return s.table.Version
}

// timerKind is the purpose of a timer. A timer's identifier is the number of its request,
// attempt or pool times timerKindCount plus the kind.
type timerKind uint64

// The kinds of timers.
const (
	requestTimer timerKind = iota
	attemptTimer
	poolTimer
	warmTimer
	rateTimer
	verdictTimer
	timerKindCount
)

// setTimer sets a timer of the given kind for a request, attempt or pool.
func setTimer(ctx *step.Context, d time.Duration, number uint64, kind timerKind) {
	ctx.After(d, timer.Relay, number*uint64(timerKindCount)+uint64(kind))
}

// HandleTimer handles the timers of requests, abandoned attempts, upstream pools, the opening
// of connections ahead of requests, the reports on limited upstreams and the verdicts on crashes.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {
	number := id / uint64(timerKindCount)
	switch timerKind(id % uint64(timerKindCount)) {
	case requestTimer:
		s.handleRequestTimer(ctx, number)
	case attemptTimer:
		s.handleAttemptTimer(ctx, number)
	case poolTimer:
		if pool := s.poolsByNumber[number]; pool != nil {
			s.reconnect(ctx, pool)
			s.drainQueue(ctx, pool)
		}
	case warmTimer:
		s.handleWarmTimer(ctx)
	case rateTimer:
		s.handleRateTimer(ctx)
	case verdictTimer:
		s.judgeCrashes(ctx)
	}
}
