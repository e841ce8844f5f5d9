package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/backoff"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/limit"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch/queue"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// lane is what the node has to do with one upstream.
type lane struct {
	number   uint64
	record   model.Registration
	service  *service
	replica  snapshot.Replica
	gone     bool
	inFlight []*attempt
	waiting  *queue.Queue[*attempt]
	// connections counts against the node's share until their end is reported.
	connections    []*connection
	maxConnections int

	limit   limit.Limit
	opening backoff.Backoff
	// load is what the upstream last said of itself, at the time loadAt.
	load   model.ReportedLoad
	loadAt model.Instant
	// crowded is when the upstream last said that more requests wait there than run.
	crowded model.Instant
	// failing is the moving share of failed outcomes.
	failing   float64
	failingAt model.Instant
	// seen is what this node saw since it last told the others, and shared what the
	// nodes of the failure domain saw together.
	seen   model.Observation
	shared shared
	// warmUntil is when the upstream has warmed up.
	warmUntil model.Instant
	// misdirected is when another upstream answered at the address; zero if none
	// has since the registration.
	misdirected model.Instant
	crash       crash
}

// Limits of a lane.
const (
	// spareSlots is how many attempts a node keeps at an upstream beyond its
	// slots, so that a slot is not idle for a round trip between two of them.
	spareSlots = 1
	// maxOpening bounds the connections that a lane opens at a time, because each
	// costs the upstream time.
	maxOpening = 1
)

// HandleUpstreams follows the registrations.
func (s *State) HandleUpstreams(ctx *step.Context, registrations []model.Registration) {
	wanted := make(map[model.UpstreamID]bool, len(registrations))
	for _, registration := range registrations {
		wanted[registration.Upstream.ID] = true
		s.follow(ctx, registration)
	}
	for id, l := range s.lanes {
		if !wanted[id] {
			s.drop(ctx, l, "gone from the registry")
		}
	}
}

// follow takes in an upstream's registration.
func (s *State) follow(ctx *step.Context, registration model.Registration) {
	l := s.lanes[registration.Upstream.ID]
	if l != nil && (l.record.Incarnation != registration.Incarnation || l.record.Upstream.Address != registration.Upstream.Address) {
		s.drop(ctx, l, "started again")
		l = nil
	}
	if l == nil {
		l = s.addLane(registration)
		ctx.Log(effect.Info, component, "upstream found", upstreamFields(l)...)
	}
	drains := registration.Upstream.Draining && !l.record.Upstream.Draining
	l.record = registration
	l.replica.Domain = registration.Upstream.FailureDomain
	l.replica.Draining = registration.Upstream.Draining
	l.warmUntil = ctx.Now.Add(registration.Warmup)
	s.shareLane(l)
	if drains {
		ctx.Log(effect.Info, component, "upstream drains", upstreamFields(l)...)
		s.moveWaiting(ctx, l)
		s.trim(ctx, l)
	}
}

// addLane adds a lane for an upstream.
func (s *State) addLane(registration model.Registration) *lane {
	s.nextLane++
	upstream := registration.Upstream
	l := &lane{
		number:  s.nextLane,
		record:  registration,
		service: s.serviceOf(upstream.ID.Service()),
		waiting: queue.New[*attempt](),
		replica: snapshot.Replica{ID: upstream.ID, Domain: upstream.FailureDomain, Reachable: true},
	}
	at, _ := slices.BinarySearchFunc(l.service.lanes, upstream.ID, func(l *lane, id model.UpstreamID) int {
		return cmp.Compare(l.record.Upstream.ID, id)
	})
	l.service.lanes = slices.Insert(l.service.lanes, at, l)
	s.lanes[upstream.ID] = l
	s.lanesByID[l.number] = l
	return l
}

// shareLane sets the node's part of an upstream's connections and slots.
func (s *State) shareLane(l *lane) {
	upstream := &l.record.Upstream
	accepted := upstream.MaxConnections
	if s.table != nil && s.table.MaxConnections[upstream.ID.Service()] > 0 {
		accepted = s.table.MaxConnections[upstream.ID.Service()]
	}
	// One node more than known still fits: the nodes learn of each other late.
	l.maxConnections = max(1, accepted/(s.nodes+1))
	l.limit.SetCeiling(min(l.maxConnections, max(1, upstream.Slots)+spareSlots))
}

// drop ends a lane: what waits moves to other upstreams, and what was sent runs to
// its end.
func (s *State) drop(ctx *step.Context, l *lane, reason string) {
	ctx.Log(effect.Info, component, "upstream dropped", append(upstreamFields(l), effect.Field{Name: "reason", Value: reason})...)
	l.gone = true
	delete(s.lanes, l.record.Upstream.ID)
	l.service.lanes = slices.DeleteFunc(l.service.lanes, func(other *lane) bool { return other == l })
	s.replicas.Remove(l.record.Upstream.ID)
	s.moveWaiting(ctx, l)
	s.trim(ctx, l)
	s.forgetIfUnused(l)
}

// forgetIfUnused forgets a dropped lane after its last connection.
func (s *State) forgetIfUnused(l *lane) {
	if l.gone && len(l.connections) == 0 {
		delete(s.lanesByID, l.number)
	}
}

// usable reports whether the lane may get new attempts. One that could not connect
// gets none until a connection of its own has told that the upstream is back.
func (l *lane) usable() bool {
	if l.gone || l.record.Upstream.Draining || l.misdirected != 0 {
		return false
	}
	return l.opening.Failures == 0 || l.openConnections() > 0
}

// openConnections counts the connections that carry or could carry a request.
func (l *lane) openConnections() int {
	count := 0
	for _, c := range l.connections {
		if c.state == idle || c.state == working {
			count++
		}
	}
	return count
}

// free returns how many more attempts the upstream would take now.
func (l *lane) free(now model.Instant) int {
	return l.limit.Current(now) - len(l.inFlight) - l.waiting.Len()
}

// moveWaiting takes all waiting attempts of a lane back and places them anew.
func (s *State) moveWaiting(ctx *step.Context, l *lane) {
	for _, e := range l.waiting.Entries() {
		s.settleUnsent(ctx, e.Value, model.CodeUnavailable)
	}
}

// pump sends the waiting attempts that can be sent now.
func (s *State) pump(ctx *step.Context, l *lane) {
	for l.waiting.Len() > 0 {
		if len(l.inFlight) >= l.limit.Current(ctx.Now) {
			s.wakeAfterPause(ctx, l)
			return
		}
		c := s.idleConnection(ctx, l)
		if c == nil {
			s.connect(ctx, l)
			return
		}
		a := l.waiting.First().Value
		l.waiting.Remove(&a.waiting)
		s.send(ctx, l, c, a)
	}
}

// wakeAfterPause pumps again when the limit's pause ends; without a pause the next
// reply does.
func (s *State) wakeAfterPause(ctx *step.Context, l *lane) {
	if pause := l.limit.PausedUntil().Sub(ctx.Now); pause > 0 {
		after(ctx, pause, l.number, laneTimer)
	}
}

// send writes an attempt.
func (s *State) send(ctx *step.Context, l *lane, c *connection, a *attempt) {
	c.state = working
	c.attempt = a
	a.connection = c
	a.sent = ctx.Now
	l.inFlight = append(l.inFlight, a)
	r := a.request
	a.warned = s.isWarned(ctx, r)
	r.parts[a.part].ran++
	r.offered = true
	ctx.Emit(effect.SendForward{
		Connection: c.id,
		Attempt:    a.number,
		Instance:   l.record.Instance,
		Request:    r.asked,
		TimeLeft:   r.deadline.Sub(ctx.Now),
		Hedge:      a.hedge,
	})
}

// loadTime is how long an upstream's own report of its load is believed.
const loadTime = 100 * time.Millisecond

// refresh brings the lane's description for the choice of a replica up to date.
func (s *State) refresh(ctx *step.Context, l *lane, stallAfter time.Duration) *snapshot.Replica {
	now := ctx.Now
	l.replica.Reachable = l.usable()
	l.replica.Limit = max(1, l.limit.Current(now))
	l.replica.Queued = l.waiting.Len()
	l.replica.FreeSlots = l.free(now)
	if now.Sub(l.loadAt) < loadTime {
		others := l.load.Running + l.load.Waiting - len(l.inFlight)
		l.replica.FreeSlots = min(l.replica.FreeSlots, max(1, l.load.Slots)-len(l.inFlight)-max(0, others))
	}
	l.replica.Updated = now
	l.replica.Handicap = s.handicap(ctx, l, stallAfter)
	return &l.replica
}

// Handicaps in the choice of an upstream.
const (
	// stalledHandicap is that of an upstream whose oldest attempt is overdue: it
	// pauses, or is about to be found slow.
	stalledHandicap = 8
	// warmingHandicap is that of an upstream that has just started.
	warmingHandicap = 1.6
	// coldHandicap is that of a connection that must be opened first.
	coldHandicap = 1.5
	// remoteHandicap is that of another failure domain: bytes between domains are
	// paid for, and a near upstream that is a little slower is as good.
	remoteHandicap = 3
	// failingWeight turns the share of failed outcomes into a handicap: a failed
	// attempt costs the time of a hedge or retry.
	failingWeight = 20
	// failingFade is the time constant with which failures are forgiven.
	failingFade = 3 * time.Second
)

// handicap rates what the mean latency of an upstream does not show.
func (s *State) handicap(ctx *step.Context, l *lane, stallAfter time.Duration) float64 {
	h := 1.0
	if l.stalled(ctx.Now, stallAfter) {
		h *= stalledHandicap
	}
	if ctx.Now < l.warmUntil {
		h *= warmingHandicap
	}
	if l.openConnections() == 0 {
		h *= coldHandicap
	}
	if l.replica.Domain != ctx.Self.FailureDomain {
		h *= remoteHandicap
	}
	failing := l.failingShare(ctx.Now)
	if l.shared.isFresh(ctx.Now) {
		failing = max(failing, l.shared.failing())
		h *= l.shared.ratio(s.replicas.Latency(l.record.Upstream.ID))
	}
	return h * (1 + failingWeight*failing)
}

// stalled reports whether an attempt has been at the upstream for long.
func (l *lane) stalled(now model.Instant, after time.Duration) bool {
	for _, a := range l.inFlight {
		if now.Sub(a.sent) > after {
			return true
		}
	}
	return false
}

// failingGain is the weight of one outcome in the share of failures.
const failingGain = 0.2

// failingShare returns the moving share of failures, faded since the last outcome.
func (l *lane) failingShare(now model.Instant) float64 {
	if l.failing == 0 {
		return 0
	}
	return l.failing * fade(now.Sub(l.failingAt), failingFade)
}

// noteOutcome takes in whether an attempt failed.
func (l *lane) noteOutcome(now model.Instant, failed bool) {
	share := l.failingShare(now) * (1 - failingGain)
	if failed {
		share += failingGain
		l.seen.Failed++
	}
	l.failing, l.failingAt = share, now
}
