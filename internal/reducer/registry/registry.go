// Package registry keeps a node's view of routes, upstreams and other nodes, as read
// from the registry in the platform's store, together with the age of each part. It
// decides when the registry is read, watched and written, and how the view changes
// after a result or a failure.
package registry

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

const component = "registry"

// metricCalls counts the calls by task.
const metricCalls effect.Metric = "registry_calls_total"

// Settings are the intervals and timeouts of the registry calls.
type Settings struct {
	// PollInterval is the longest time between two confirmations of the upstreams while
	// the registry responds. It bounds the delay until the node sees that an upstream is
	// leaving.
	PollInterval time.Duration
	// RouteWait is how long one watch of the routes waits for a change. A watch over a
	// dead connection is detected RouteWait plus WatchMargin after its start, so their
	// sum must stay well below the time within which a configuration must take effect.
	RouteWait time.Duration
	// MemberWait is how long one watch of the nodes waits for a change.
	MemberWait time.Duration
	// LeaseTime is how long the announcement of an entry node stays in the registry
	// without a renewal, and SpareLeaseTime that of another node. Callers meet an entry
	// node that has failed, so that its lease is shorter.
	LeaseTime      time.Duration
	SpareLeaseTime time.Duration
	// BootstrapTime is how long after its start a node makes only stale reads while it
	// waits for the view of a reader.
	BootstrapTime time.Duration
	// ReregisterTime is how long registrations that are missing after a store outage
	// are kept: within this time each live upstream registers again.
	ReregisterTime time.Duration
}

// Default settings.
const (
	// DefaultPollInterval leaves two thirds of the platform's shortest drain time of
	// 3 s for slow calls.
	DefaultPollInterval = 1 * time.Second
	// DefaultRouteWait is half of the platform's shortest time of 3 s within which a
	// configuration must take effect.
	DefaultRouteWait = 1500 * time.Millisecond
	// DefaultMemberWait is longer than DefaultRouteWait, because a late update of the
	// nodes only makes entry replies name an address too many or too few.
	DefaultMemberWait = 5 * time.Second
	// DefaultLeaseTime lets a lease survive two lost renewals.
	DefaultLeaseTime = 4 * time.Second
	// DefaultSpareLeaseTime saves a third of the renewals of the nodes that callers do not
	// use. It leaves a second until the time of 8 s, on the platform's deployments with such
	// nodes, after which a host that is off may no longer be named.
	DefaultSpareLeaseTime = 6 * time.Second
	// DefaultBootstrapTime is long enough for a fleet that starts together to announce
	// itself and to subscribe to its readers.
	DefaultBootstrapTime = 2400 * time.Millisecond
	// DefaultReregisterTime is the 2 s within which upstreams register again on the
	// platform, plus a margin of half a heartbeat.
	DefaultReregisterTime = 2500 * time.Millisecond
)

// Timeouts and intervals of the registry calls.
const (
	// callTimeout bounds a call that does not wait for a change.
	callTimeout = 1 * time.Second
	// WatchMargin is how long the reply to a watch may take beyond the requested wait.
	WatchMargin = 500 * time.Millisecond
	// retryInterval is the time between calls while the store fails. It is not shorter
	// because refused calls are charged as well.
	retryInterval = 300 * time.Millisecond
	// maxRetryDoublings bounds the backoff of the node's announcement, at 2.4 s: a node
	// that the store refuses for long is used by its callers without one.
	maxRetryDoublings = 3
	// memberWatchDelay and routeWatchDelay separate two watches, so that changes in
	// quick succession arrive in one reply: when all nodes start together, each
	// announcement would otherwise wake every watch.
	memberWatchDelay = 500 * time.Millisecond
	routeWatchDelay  = 50 * time.Millisecond
	// memberWatchDelayPerNode lengthens the delay in proportion to the list of nodes,
	// which is sent again with each change. Otherwise the start of a large fleet would
	// saturate a reader's link.
	memberWatchDelayPerNode = 5 * time.Millisecond
	// renewalsPerLease is the number of renewals within LeaseTime.
	renewalsPerLease = 3
	// upstreamDelayShare is the delay between two watches of the upstreams as a share of
	// PollInterval; the watch waits for the rest. Upstreams change their entries all the
	// time, and the changes within the delay arrive in one reply.
	upstreamDelayShare = 0.5
	// catchUpWait is the wait of the first watch of a node that used the view of another
	// before. A longer one would only delay the discovery that it gets no response.
	catchUpWait = 100 * time.Millisecond
	// bootstrapInterval is the time between two stale reads of the members, and bounds
	// the jitter of the node's own reads at the end of the bootstrap.
	bootstrapInterval = 400 * time.Millisecond
	// staleReadPollIntervals is the assumed age of a stale read, in poll intervals, so
	// that the view of another node replaces it.
	staleReadPollIntervals = 1
	// outagePollIntervals is the time between two successful reads of the upstreams, in
	// poll intervals, above which registrations may have expired in an outage of the
	// store.
	outagePollIntervals = 2.5
	// minSilence is how long the store must have failed to answer a task's calls to count as
	// away: longer than a single failed call and its retry.
	minSilence = 500 * time.Millisecond
)

// DefaultSettings returns the settings of a node.
func DefaultSettings() Settings {
	return Settings{
		PollInterval:   DefaultPollInterval,
		RouteWait:      DefaultRouteWait,
		MemberWait:     DefaultMemberWait,
		LeaseTime:      DefaultLeaseTime,
		SpareLeaseTime: DefaultSpareLeaseTime,
		BootstrapTime:  DefaultBootstrapTime,
		ReregisterTime: DefaultReregisterTime,
	}
}

// task is the purpose of a registry call. Each task has at most one call in flight.
type task uint8

const (
	taskRoutes task = iota
	taskUpstreams
	taskMembers
	taskLease
	taskReport
	// taskSubscribe subscribes to the reads of another node.
	taskSubscribe
	taskCount
)

// taskNames are the names of the tasks in log lines and metrics.
var taskNames = [taskCount]string{"routes", "upstreams", "members", "lease", "suspicions", "sharing"}

// taskState is the state of one task's calls.
type taskState struct {
	// operation identifies the call in flight; it is zero if there is none.
	operation model.OperationID
	// verb is the verb of the call in flight or, without one, of the last call.
	verb effect.RegistryVerb
	// watchRevision is the revision from which the next watch continues. At zero the
	// task reads before it watches again.
	watchRevision uint64
	// revision is the registry revision up to which the task's part of the view holds all
	// changes, zero if that is unknown.
	revision uint64
	// nextCallAt is when the next call starts; zero if none is scheduled. Timers that
	// fire earlier belong to a call that has been postponed, and are ignored.
	nextCallAt model.Instant
	// confirmedAt is when the part of the view was last known to be current, by a call
	// of this node or by an update from another; for other tasks, when the last call
	// succeeded. It is zero before the first time.
	confirmedAt model.Instant
	// allowStale is true if the call in flight may return old data, and era is the newest era that
	// was known when the call began.
	allowStale bool
	era        uint64
	// startedAt is when the call in flight or, without one, the last call began.
	startedAt model.Instant
	// dueAt is when a store that is not slow has answered that call.
	dueAt model.Instant
	// stale is true while the task's part of the view comes from stale reads.
	stale bool
	// failures counts the calls that failed since the last success.
	failures int
	// silentSince is when the first call since the last success was to be answered at the
	// latest; zero if there was none. Updates from another node count as successes.
	silentSince model.Instant
}

// State is the registry view of one node. It is not safe for concurrent use.
type State struct {
	settings      Settings
	startedAt     model.Instant
	lastOperation model.OperationID
	tasks         [taskCount]taskState
	era           era
	// answeredAt is when the store last answered a call of any task, possibly with old data.
	answeredAt model.Instant

	routes    *model.RouteTable
	upstreams upstreams
	members   members
	lease     lease
	reports   []message.Suspicion
	// written are the latest reports that were written.
	written []writtenReport
	sharing sharing
}

// Changes reports which parts of the view an event has changed.
type Changes struct {
	Routes    bool
	Upstreams bool
	Members   bool
	// Suspicions are reports of requests that may have crashed upstreams.
	Suspicions []message.Suspicion
	// Observations aggregate the results that the nodes of the failure domain got from
	// upstreams.
	Observations []model.Observation
}

// New returns a state with an empty view.
func New(settings Settings) *State {
	return &State{
		settings:  settings,
		upstreams: newUpstreams(),
		members:   newMembers(),
		sharing:   sharing{subscribers: make(map[model.HostID]*subscriber)},
	}
}

// Configure replaces the settings. They apply from the next call of each task.
func (s *State) Configure(settings Settings) { s.settings = settings }

// Start starts the first reads and schedules the first subscription.
func (s *State) Start(ctx *step.Context) {
	s.startedAt = ctx.Now
	s.scheduleCall(ctx, taskSubscribe, firstSubscribeDelay)
	for _, t := range []task{taskRoutes, taskUpstreams, taskMembers} {
		s.startCall(ctx, t)
	}
}

// Routes returns the newest routes that the node has seen, or nil if it has seen none.
func (s *State) Routes() *model.RouteTable { return s.routes }

// Ready reports whether the node has the routes and the upstreams.
func (s *State) Ready() bool { return s.routes != nil && s.tasks[taskUpstreams].confirmedAt != 0 }

// RoutesAge returns how long ago the routes were last known to be current.
func (s *State) RoutesAge(now model.Instant) time.Duration {
	return now.Sub(s.tasks[taskRoutes].confirmedAt)
}

// startCall starts the next call of a task, unless one is in flight. While updates from
// another node keep the task's part of the view current, the call is postponed.
func (s *State) startCall(ctx *step.Context, t task) {
	state := &s.tasks[t]
	if state.operation != 0 {
		return
	}
	if sharedUntil := s.sharing.sharedUntil[t]; ctx.Now < sharedUntil {
		s.scheduleCall(ctx, t, sharedUntil.Sub(ctx.Now))
		return
	}
	e, due := s.nextCall(ctx, t)
	if !due {
		return
	}
	s.lastOperation++
	state.operation = s.lastOperation
	state.nextCallAt = 0
	state.verb = e.Verb
	state.allowStale = e.AllowStale
	state.era = s.era.number
	state.startedAt = ctx.Now
	state.dueAt = ctx.Now.Add(e.Wait)
	if state.silentSince == 0 {
		state.silentSince = state.dueAt
	}
	e.Operation = s.lastOperation
	e.Timeout = callTimeout + e.Wait
	if e.Wait > 0 {
		e.Timeout = e.Wait + WatchMargin
	}
	ctx.Count(metricCalls, taskNames[t])
	ctx.Emit(e)
}

// nextCall returns the next call of a task, and false if there is none to make.
func (s *State) nextCall(ctx *step.Context, t task) (effect.CallRegistry, bool) {
	switch t {
	case taskRoutes:
		return s.readOrWatch(ctx, t, effect.ReadRoutes, effect.WatchRoutes, s.settings.RouteWait), true
	case taskUpstreams:
		return s.readOrWatch(ctx, t, effect.ReadUpstreams, effect.WatchUpstreams, s.settings.PollInterval-s.upstreamDelay()), true
	case taskMembers:
		return s.readOrWatch(ctx, t, effect.ReadMembers, effect.WatchMembers, s.settings.MemberWait), true
	case taskLease:
		return s.nextLeaseCall()
	default:
		return s.nextReportCall()
	}
}

// readOrWatch returns a read if the task has no revision to watch from, and otherwise a
// watch.
func (s *State) readOrWatch(ctx *step.Context, t task, read, watch effect.RegistryVerb, wait time.Duration) effect.CallRegistry {
	if revision := s.tasks[t].watchRevision; revision != 0 {
		if s.sharing.sharedUntil[t] != 0 {
			wait = min(wait, catchUpWait)
		}
		return effect.CallRegistry{Verb: watch, After: revision, Wait: wait}
	}
	return effect.CallRegistry{Verb: read, AllowStale: s.isBootstrapping(ctx) && !s.era.changed}
}

// isBootstrapping reports whether the node has just started and does not know its reader
// yet. When a whole fleet starts, each node would otherwise read every page of the
// registry. A stale read is cheap, and suffices until the reader has sent its view.
func (s *State) isBootstrapping(ctx *step.Context) bool {
	return s.sharing.reader == "" && ctx.Now.Sub(s.startedAt) < s.settings.BootstrapTime
}

// keptUpstreamsTimer identifies the timer for the end of the time in which missing
// registrations are kept. Smaller identifiers are those of tasks.
const keptUpstreamsTimer = uint64(taskCount)

// HandleTimer starts the call that is scheduled for now, or removes the registrations that
// are still missing after an outage.
func (s *State) HandleTimer(ctx *step.Context, id uint64) Changes {
	if id >= uint64(taskCount) {
		return Changes{Upstreams: s.dropKeptUpstreams(ctx)}
	}
	state := &s.tasks[id]
	if state.nextCallAt == 0 || ctx.Now < state.nextCallAt {
		return Changes{}
	}
	state.nextCallAt = 0
	if task(id) == taskSubscribe {
		s.handleSubscribeTimer(ctx)
		return Changes{}
	}
	s.startCall(ctx, task(id))
	return Changes{}
}

// scheduleCall schedules the next call of a task after a delay.
func (s *State) scheduleCall(ctx *step.Context, t task, d time.Duration) {
	s.tasks[t].nextCallAt = ctx.Now.Add(d)
	ctx.After(d, timer.Registry, uint64(t))
}

// HandleResult handles the result of a call. It ignores results of calls that are not
// in flight.
func (s *State) HandleResult(ctx *step.Context, e event.RegistryResult) Changes {
	for t := range s.tasks {
		if state := &s.tasks[t]; state.operation != 0 && state.operation == e.Operation {
			// The task counts as busy until it is known whether the result begins an era.
			isAdmitted := s.admitResult(ctx, state, e)
			state.operation = 0
			if !isAdmitted {
				s.discardResult(ctx, task(t))
				return Changes{}
			}
			changes := s.handleTaskResult(ctx, task(t), e)
			if e.Status == event.StoreOK {
				s.answeredAt = ctx.Now
			}
			return changes
		}
	}
	return Changes{}
}

// handleTaskResult handles the result of a task's call and schedules the next one.
func (s *State) handleTaskResult(ctx *step.Context, t task, e event.RegistryResult) Changes {
	state := &s.tasks[t]
	if e.Status != event.StoreOK {
		s.handleFailure(ctx, t, e)
		return Changes{}
	}
	if t == taskMembers {
		s.noteMembersRegained(ctx.Now)
	}
	if state.failures > 0 {
		state.failures = 0
		ctx.Log(effect.Info, component, "the registry answers again", effect.Field{Name: "task", Value: taskNames[t]})
	}
	if s.isSuperseded(t, e) {
		state.silentSince = 0
		state.watchRevision = state.revision
		s.scheduleCall(ctx, t, s.callDelay(ctx, t))
		return Changes{Suspicions: e.Suspicions}
	}
	readAt := ctx.Now
	if state.allowStale {
		readAt = ctx.Now.Add(-staleReadPollIntervals * s.settings.PollInterval)
	}
	s.sharing.sharedUntil[t] = 0
	changes := s.applyResult(ctx, t, e, readAt)
	state.silentSince = 0
	state.revision = e.Revision
	if e.Incomplete {
		// The rest follows at once. Until then the view is not known to be current.
		state.watchRevision = e.Revision
		s.startCall(ctx, t)
		return changes
	}
	state.confirmedAt = readAt
	state.stale = state.allowStale
	if state.allowStale {
		// The revision of old data may be that of the store, and a watch from there would
		// miss changes.
		state.revision = 0
	}
	state.watchRevision = state.revision
	s.scheduleCall(ctx, t, s.callDelay(ctx, t))
	if t == taskRoutes || t == taskUpstreams || t == taskMembers {
		s.sharing.suspicions = changes.Suspicions
		s.updateSubscribers(ctx)
	}
	return changes
}

// isSuperseded reports whether a result is older than a list that another node has sent
// during the call.
func (s *State) isSuperseded(t task, e event.RegistryResult) bool {
	state := &s.tasks[t]
	if t != taskUpstreams && t != taskMembers || state.revision == 0 {
		return false
	}
	return state.allowStale || e.Revision != 0 && e.Revision < state.revision
}

// applyResult applies a successful result whose data was current at readAt.
func (s *State) applyResult(ctx *step.Context, t task, e event.RegistryResult, readAt model.Instant) Changes {
	switch t {
	case taskRoutes:
		return s.applyRoutes(e)
	case taskUpstreams:
		read := e.Upstreams
		if s.tasks[t].verb == effect.WatchUpstreams {
			read = s.upstreams.merge(e.Upstreams, e.RemovedUpstreams)
		}
		return Changes{Upstreams: s.applyUpstreams(ctx, read, readAt)}
	case taskMembers:
		return s.applyMembers(e)
	case taskLease:
		s.applyLease(e)
	case taskReport:
		s.noteWritten(ctx.Now)
	}
	return Changes{}
}

// applyRoutes applies the result of a read or watch of the routes.
func (s *State) applyRoutes(e event.RegistryResult) Changes {
	return Changes{Routes: s.setRoutesIfNewer(e.Routes)}
}

// setRoutesIfNewer replaces the routes and reports true if the given ones are newer.
// Results may arrive late, so an older version never replaces a newer one.
func (s *State) setRoutesIfNewer(routes *model.RouteTable) bool {
	if routes == nil || s.routes != nil && routes.Version <= s.routes.Version {
		return false
	}
	s.routes = routes
	return true
}

// handleFailure schedules another call after a failure. The revision to watch from may
// be lost, so the task reads before it watches again.
func (s *State) handleFailure(ctx *step.Context, t task, e event.RegistryResult) {
	state := &s.tasks[t]
	if e.Status == event.StoreUnknown || e.Status == event.StoreRejected {
		s.era.knownAt = max(s.era.knownAt, state.startedAt)
	}
	state.watchRevision = 0
	if t == taskLease {
		s.handleLeaseFailure(e)
	}
	if e.Status == event.StoreTruncated || e.Status == event.StoreConflict {
		s.startCall(ctx, t)
		return
	}
	state.failures++
	if state.failures == 1 {
		ctx.Log(effect.Warning, component, "the registry fails",
			effect.Field{Name: "task", Value: taskNames[t]},
			effect.Field{Name: "age", Value: ctx.Now.Sub(state.confirmedAt).String()})
	}
	s.scheduleCall(ctx, t, s.retryDelay(ctx, t))
}
