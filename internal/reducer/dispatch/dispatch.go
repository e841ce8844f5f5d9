// Package dispatch manages the connections to upstreams. It sends a sub-request
// only into a free slot; the others wait in an earliest-deadline-first queue, from
// which they can be cancelled without having run.
//
// Each upstream that the node dispatches for has an upstream pool. A pool owns
// the upstream's connections, its jobs (the sub-requests that are queued or
// sent), and the observed state of the upstream.
package dispatch

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// component is the component name in log lines.
const component = "dispatch"

// Counters.
const (
	metricRefused    effect.Metric = "dispatch_refused_total"
	metricMismatched effect.Metric = "dispatch_mismatched_replies_total"
	metricLost       effect.Metric = "dispatch_lost_total"
	metricCrashes    effect.Metric = "dispatch_upstream_crashes_total"
	metricRequeued   effect.Metric = "dispatch_requeued_total"
	metricShed       effect.Metric = "dispatch_shed_total"
	metricDrains     effect.Metric = "dispatch_drains_total"
)

// Placement selects the nodes that dispatch for an upstream.
type Placement interface {
	// Dispatchers returns the upstream's dispatchers in the order of their rank.
	Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID
	// MaxDispatchers returns how many nodes dispatch for one upstream when enough
	// members are known.
	MaxDispatchers() int
}

// ReportRecipients selects the other nodes that receive reports on a service's
// upstreams.
type ReportRecipients interface {
	// Recipients returns the hosts that receive the service's reports.
	Recipients(ctx *step.Context, service model.ServiceName) []model.HostID
}

// allMembers selects all other members as recipients. It is the default.
type allMembers struct{}

// Recipients implements ReportRecipients.
func (allMembers) Recipients(ctx *step.Context, _ model.ServiceName) []model.HostID {
	var hosts []model.HostID
	for _, member := range ctx.View.Members() {
		if member.Host != ctx.Self.Host {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// State holds the upstream pools of a node.
type State struct {
	placement Placement
	settings  Settings
	// pools is sorted by upstream.
	pools       []*upstreamPool
	byUpstream  map[model.UpstreamID]*upstreamPool
	byNumber    map[uint64]*upstreamPool
	connections map[model.ConnectionID]*connection
	jobs        map[model.AttemptID]*job
	// sentAtMostOnce records the jobs that must run at most once and were sent.
	sentAtMostOnce recentAttempts
	// refusedAtMostOnce records the jobs that must run at most once and were
	// reported as not run: a duplicate that arrives later must not run.
	refusedAtMostOnce recentAttempts
	// recipients selects the nodes that receive reports.
	recipients ReportRecipients
	// platformDraining holds the upstreams that the platform lists as draining.
	platformDraining map[model.UpstreamID]bool
	// configured holds the upstreams of the configuration last applied.
	configured     map[model.UpstreamID]bool
	nextPool       uint64
	nextConnection model.ConnectionID
}

// New returns a state without connections and with the default settings.
func New(placement Placement) *State { return NewWith(placement, Settings{}) }

// NewWith returns a state without connections.
func NewWith(placement Placement, settings Settings) *State {
	return &State{
		recipients:        allMembers{},
		placement:         placement,
		settings:          settings.withDefaults(),
		byUpstream:        make(map[model.UpstreamID]*upstreamPool),
		byNumber:          make(map[uint64]*upstreamPool),
		connections:       make(map[model.ConnectionID]*connection),
		jobs:              make(map[model.AttemptID]*job),
		sentAtMostOnce:    newRecentAttempts(),
		refusedAtMostOnce: newRecentAttempts(),
		platformDraining:  make(map[model.UpstreamID]bool),
		configured:        make(map[model.UpstreamID]bool),
	}
}

// HandleDispatch sends, queues or refuses a sub-request of a coordinator. It ignores
// a sub-request that is already queued or sent, one that must run at most once
// and was sent before, and one that is addressed to another incarnation.
func (s *State) HandleDispatch(ctx *step.Context, from model.HostID, m message.Dispatch) {
	if m.DispatcherIncarnation != 0 && m.DispatcherIncarnation != ctx.Self.Incarnation {
		return
	}
	if _, open := s.jobs[m.Attempt]; open || s.sentAtMostOnce.has(m.Attempt) {
		return
	}
	j := s.newJob(ctx, from, m)
	pool := s.byUpstream[m.Upstream]
	if pool == nil || !pool.acceptsWork(ctx.Now) || s.refusedAtMostOnce.has(m.Attempt) {
		s.reply(ctx, j, notOwner())
		return
	}
	s.accept(ctx, pool, j)
}

// reply sends a job's result to its coordinator. If the job must run at most once
// and the result says that it did not run, later duplicates are refused.
func (s *State) reply(ctx *step.Context, j *job, result message.DispatchResult) {
	if !j.request.Repeatable && result.Status.NotRun() {
		s.refusedAtMostOnce.add(j.request.Attempt)
	}
	j.reply(ctx, result)
}

// HandleCancel cancels a sub-request if the coordinator that sent it asks for it.
func (s *State) HandleCancel(ctx *step.Context, from model.HostID, m message.Cancel) {
	if j := s.jobs[m.Attempt]; j != nil && j.from == from {
		s.cancel(ctx, j)
	}
}

// HandlePeerLost cancels the sub-requests of a lost coordinator. A job that must run
// at most once and was sent is left to complete.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	for _, j := range s.jobsOf(host) {
		if j.isQueued() || j.request.Repeatable {
			s.cancel(ctx, j)
		}
	}
}

// jobsOf returns the jobs of one coordinator, sorted by attempt number.
func (s *State) jobsOf(host model.HostID) []*job {
	var jobs []*job
	for _, j := range s.jobs {
		if j.from == host {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int {
		return cmp.Compare(a.request.Attempt.Number, b.request.Attempt.Number)
	})
	return jobs
}

// HandleReply handles an upstream's reply to a sub-request.
func (s *State) HandleReply(ctx *step.Context, e event.UpstreamReply) {
	c := s.connections[e.Connection]
	if c == nil || c.job == nil || c.job.request.Attempt != e.Attempt {
		return
	}
	pool, j := c.pool, c.job
	c.job = nil
	c.releaseAfterReply(ctx, e.Closing)
	s.observeReply(ctx, pool, j, e)
	s.finish(ctx, j, resultOf(pool, e))
	s.reconcile(ctx, pool)
}

// reconcile brings a pool up to date after a change: it refuses queued jobs if the
// upstream is draining, closes excess connections, opens missing ones, sends
// queued jobs, reports changes, and removes the pool if it is no longer used.
func (s *State) reconcile(ctx *step.Context, pool *upstreamPool) {
	s.refuseIfDraining(ctx, pool)
	s.closeExcessConnections(ctx, pool)
	s.connect(ctx, pool)
	s.dispatchQueued(ctx, pool)
	s.reportIfChanged(ctx, pool)
	s.removeIfUnused(pool)
}

// InFlight returns the number of sub-requests that are queued or sent.
func (s *State) InFlight() int { return len(s.jobs) }
