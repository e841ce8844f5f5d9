// Package dispatch holds the connections to upstreams. It sends a sub-request
// only into a free slot; the rest wait in an earliest-deadline queue, where they
// can still be taken back as not run.
//
// Each upstream that the node dispatches for has a lane. A lane owns the
// upstream's connections, its jobs (the sub-requests that are queued or sent),
// and what was learned of the upstream.
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

// component names the package in logs.
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

// Placement tells which nodes dispatch for an upstream.
type Placement interface {
	Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID
	// MaxDispatchers returns how many nodes dispatch for one upstream while
	// enough members are known.
	MaxDispatchers() int
}

// ReportRecipients tells which other nodes hear of a service's upstreams.
type ReportRecipients interface {
	Recipients(ctx *step.Context, service model.ServiceName) []model.HostID
}

// allMembers is the audience of every service while none is set.
type allMembers struct{}

// Recipients implements Audience.
func (allMembers) Recipients(ctx *step.Context, _ model.ServiceName) []model.HostID {
	var hosts []model.HostID
	for _, member := range ctx.View.Members() {
		if member.Host != ctx.Self.Host {
			hosts = append(hosts, member.Host)
		}
	}
	return hosts
}

// State holds one lane for each upstream that this node dispatches for.
type State struct {
	placement Placement
	settings  Settings
	// lanes is ordered by upstream.
	lanes       []*lane
	byUpstream  map[model.UpstreamID]*lane
	byNumber    map[uint64]*lane
	connections map[model.ConnectionID]*connection
	jobs        map[model.AttemptID]*job
	// sentOnce remembers the sent work that must run at most once.
	sentOnce recentAttempts
	// refusedOnce remembers such work of which it was said that it did not run: a
	// copy that arrives later must not run.
	refusedOnce recentAttempts
	// audience tells who hears of a service's upstreams.
	audience ReportRecipients
	// listed holds the upstreams that the platform says are leaving.
	listed map[model.UpstreamID]bool
	// configured holds the upstreams of the configuration last seen.
	configured     map[model.UpstreamID]bool
	nextLane       uint64
	nextConnection model.ConnectionID
}

// New returns a state without connections and with the default settings.
func New(placement Placement) *State { return NewWith(placement, Settings{}) }

// NewWith returns a state without connections.
func NewWith(placement Placement, settings Settings) *State {
	return &State{
		audience:    allMembers{},
		placement:   placement,
		settings:    settings.withDefaults(),
		byUpstream:  make(map[model.UpstreamID]*lane),
		byNumber:    make(map[uint64]*lane),
		connections: make(map[model.ConnectionID]*connection),
		jobs:        make(map[model.AttemptID]*job),
		sentOnce:    newRecentAttempts(),
		refusedOnce: newRecentAttempts(),
		listed:      make(map[model.UpstreamID]bool),
		configured:  make(map[model.UpstreamID]bool),
	}
}

// HandleDispatch runs, queues or refuses a sub-request of a coordinator. A
// sub-request that is already queued or sent is not taken on again, and one that
// must run at most once not even after its end.
func (s *State) HandleDispatch(ctx *step.Context, from model.HostID, m message.Dispatch) {
	if m.DispatcherIncarnation != 0 && m.DispatcherIncarnation != ctx.Self.Incarnation {
		return
	}
	if _, open := s.jobs[m.Attempt]; open || s.sentOnce.has(m.Attempt) {
		return
	}
	j := s.newJob(ctx, from, m)
	l := s.byUpstream[m.Upstream]
	if l == nil || !l.takesOn(ctx.Now) || s.refusedOnce.has(m.Attempt) {
		s.reply(ctx, j, notOwner())
		return
	}
	s.accept(ctx, l, j)
}

// reply sends a job's result, and remembers that it did not run if that was said
// of work that must run at most once.
func (s *State) reply(ctx *step.Context, j *job, result message.DispatchResult) {
	if !j.request.Repeatable && result.Status.NotRun() {
		s.refusedOnce.add(j.request.Attempt)
	}
	j.reply(ctx, result)
}

// HandleCancel takes a sub-request back.
func (s *State) HandleCancel(ctx *step.Context, from model.HostID, m message.Cancel) {
	if j := s.jobs[m.Attempt]; j != nil && j.from == from {
		s.cancel(ctx, j)
	}
}

// HandlePeerLost cancels the sub-requests of a coordinator that is gone. Work
// that must run at most once and was written runs on.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) {
	for _, j := range s.jobsOf(host) {
		if j.isQueued() || j.request.Repeatable {
			s.cancel(ctx, j)
		}
	}
}

// jobsOf returns the jobs of one coordinator in the order of their attempts.
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

// HandleReply takes in an upstream's reply.
func (s *State) HandleReply(ctx *step.Context, e event.UpstreamReply) {
	c := s.connections[e.Connection]
	if c == nil || c.job == nil || c.job.request.Attempt != e.Attempt {
		return
	}
	l, j := c.lane, c.job
	c.job = nil
	c.endWork(ctx, e.Closing)
	s.observeReply(ctx, l, j, e)
	s.finish(ctx, j, resultOf(l, e))
	s.proceed(ctx, l)
}

// proceed uses what has become free on a lane: it gives queued work back if the
// upstream drains, closes surplus connections, opens missing ones, sends what
// can be sent, and reports.
func (s *State) proceed(ctx *step.Context, l *lane) {
	s.refuseIfDraining(ctx, l)
	s.trim(ctx, l)
	s.connect(ctx, l)
	s.pump(ctx, l)
	s.reportIfChanged(ctx, l)
	s.removeIfUnused(l)
}

// InFlight returns the number of sub-requests that are queued or sent.
func (s *State) InFlight() int { return len(s.jobs) }
