// Package edge is the state machine of a node on a platform whose registry holds
// routes, upstreams and nodes. It passes each event to the component that handles it,
// and runs the node's lifecycle from start to stop. Like package reducer it uses no
// clock, I/O or goroutine; the loop of package runtime feeds it.
package edge

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/guidance"
	"github.com/hawthorntack/hawthorntack/internal/reducer/liveness"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/registry"
	"github.com/hawthorntack/hawthorntack/internal/reducer/relay"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

const component = "edge"

// Settings are the settings of one node.
type Settings struct {
	// Self describes the node; its State is ignored.
	Self     model.Member
	Registry registry.Settings
	Relay    relay.Settings
	// AdoptDelay is how long newer routes wait at most for the upstreams of their
	// services before they take effect.
	AdoptDelay time.Duration
	// EntryTTL is how long a caller may cache an entry reply.
	EntryTTL time.Duration
	// StopGrace bounds the duration of a graceful shutdown.
	StopGrace time.Duration
	// AttemptCapacity is the number of attempts a second that the host can send.
	AttemptCapacity float64
}

// State is the whole state of a node. It is not safe for concurrent use.
type State struct {
	settings   Settings
	self       model.Member
	timers     timer.Queue
	registry   *registry.State
	quarantine *quarantine.State
	relay      *relay.State
	lifecycle  lifecycle
	guidance   *guidance.State
	loadMeter  guidance.Meter
	liveness   *liveness.State
	// serving and entryNodes are the nodes that the relay was told of last.
	serving    []model.Member
	entryNodes []model.Member
	// pendingRoutes are routes that wait for upstreams, at most until pendingDeadline;
	// nil if none wait.
	pendingRoutes   *model.RouteTable
	pendingDeadline model.Instant
	ctx             step.Context
	randomSource    *rand.PCG
	// lastEvent is the time of the last event.
	lastEvent model.Instant
}

// New returns the state of a node that has not started yet.
func New(settings Settings) *State {
	s := &State{
		settings:     settings,
		self:         settings.Self,
		registry:     registry.New(settings.Registry),
		quarantine:   quarantine.New(),
		guidance:     guidance.New(),
		liveness:     liveness.New(),
		randomSource: rand.NewPCG(0, 0),
	}
	s.self.State = model.Starting
	s.relay = relay.New(settings.Relay, s.quarantine, s.registry)
	s.registry.SetObserver(s.relay)
	s.ctx = step.Context{Random: rand.New(s.randomSource), View: noPeers{}, Timers: &s.timers, Config: &model.Config{}}
	return s
}

// noPeers is an empty membership view: nodes find each other through the registry.
type noPeers struct{}

// Members implements step.View.
func (noPeers) Members() []model.Member { return nil }

// Member implements step.View.
func (noPeers) Member(model.HostID) (model.Member, bool) { return model.Member{}, false }

// NextWake returns when the next event.Wake is due, and false if no timer is set.
func (s *State) NextWake() (model.Instant, bool) { return s.timers.Next() }

// Reduce applies one event and returns the effects for the runtime to carry out. The
// returned slice is valid until the next call.
func (s *State) Reduce(envelope event.Envelope) []effect.Effect {
	s.randomSource.Seed(envelope.Random, uint64(envelope.Now))
	ctx := &s.ctx
	ctx.Now = envelope.Now
	ctx.Self = s.self
	ctx.Effects = ctx.Effects[:0]
	s.logClockGap(ctx)
	s.lastEvent = envelope.Now
	s.handleEvent(ctx, envelope.Event)
	return ctx.Effects
}

// handleEvent passes an event to the component that handles it.
func (s *State) handleEvent(ctx *step.Context, e event.Event) {
	switch e := e.(type) {
	case event.Start:
		s.handleStart(ctx)
	case event.Wake:
		s.handleWake(ctx)
	case event.Forward:
		s.relay.HandleForward(ctx, e)
	case event.ForwardReply:
		s.relay.HandleReply(ctx, e)
	case event.CallerGone:
		s.relay.HandleCallerGone(ctx, e.Call)
	case event.ConnectionOpened:
		s.relay.HandleOpened(ctx, e)
	case event.ConnectionClosed:
		s.relay.HandleClosed(ctx, e)
	case event.RegistryResult:
		s.applyRegistryChanges(ctx, s.registry.HandleResult(ctx, e))
	case event.PeerMessage:
		s.handleMessage(ctx, e)
	case event.PeerLost:
		s.relay.HandlePeerLost(ctx, e.Host)
	case event.Entry:
		s.handleEntry(ctx, e)
	case event.Reconfigured:
		s.handleReconfigured(ctx, e)
	case event.DumpRequest:
		ctx.Emit(effect.ReplyDump{Call: e.Call, JSON: s.dump(ctx)})
	case event.StopRequested:
		s.handleStopRequested(ctx)
	}
}

// handleWake fires the timers that are due.
func (s *State) handleWake(ctx *step.Context) {
	for {
		due, ok := s.timers.PopDue(ctx.Now)
		if !ok {
			return
		}
		switch due.Owner {
		case timer.Relay:
			s.relay.HandleTimer(ctx, due.ID)
		case timer.Registry:
			if changes := s.registry.HandleTimer(ctx, due.ID); changes.Upstreams {
				s.applyRegistryChanges(ctx, changes)
			}
		case timer.Quarantine:
			s.quarantine.HandleTimer(ctx, due.ID)
		case timer.Lifecycle:
			s.handleLifecycleTimer(ctx, due.ID)
		}
	}
}

// handleMessage handles a message from another node.
func (s *State) handleMessage(ctx *step.Context, e event.PeerMessage) {
	s.liveness.Heard(e.From)
	switch m := e.Message.(type) {
	case message.RegistrySubscribe:
		s.registry.HandleSubscribe(ctx, e.From, m)
		s.relay.HandleObservations(ctx, s.registry.Observations(ctx))
	case message.RegistryUpdate:
		s.applyRegistryChanges(ctx, s.registry.HandleUpdate(ctx, m))
	case message.Subquery:
		if len(m.Services) == 0 && s.self.State == model.Leaving {
			// The others stop naming this node sooner if it does not return greetings.
			return
		}
		s.relay.HandleSubquery(ctx, e.From, m)
	case message.SubqueryReport:
		s.relay.HandleSubqueryReport(ctx, e.From, m)
	case message.RateReports:
		s.relay.HandleRateReports(ctx, e.From, m)
	case message.Suspicion:
		s.relay.HandleSuspicion(ctx, m)
	case message.Unblock:
		s.relay.HandleUnblock(ctx, m)
	case message.SubqueryCancel:
		s.relay.HandleSubqueryCancel(ctx, e.From, m)
	}
}

// applyRegistryChanges applies changes of the registry view to the other components.
func (s *State) applyRegistryChanges(ctx *step.Context, changes registry.Changes) {
	if changes.Upstreams {
		s.relay.HandleUpstreams(ctx, s.registry.Upstreams())
	}
	if changes.Routes {
		s.stageRoutes(ctx)
	}
	s.applyPendingRoutes(ctx)
	if changes.Members || changes.Upstreams {
		s.updateEntryNodes(ctx)
	}
	s.relay.HandleObservations(ctx, changes.Observations)
	for _, suspicion := range changes.Suspicions {
		s.relay.HandleSuspicion(ctx, suspicion)
	}
	s.serveWhenReady(ctx)
}

// stageRoutes holds newer routes back for up to AdoptDelay if a route that can be
// served now would lose its upstreams. This happens when an index is split into other
// shards while the store recovers from an outage: the old shards keep serving until the
// new version has to be in force everywhere.
func (s *State) stageRoutes(ctx *step.Context) {
	waiting := s.pendingRoutes != nil
	s.pendingRoutes = s.registry.Routes()
	if waiting {
		// The deadline of the first pending version also applies to the newest one.
		return
	}
	s.pendingDeadline = ctx.Now.Add(s.settings.AdoptDelay)
	if s.relay.WouldLoseRoutes(s.pendingRoutes) {
		ctx.Log(effect.Info, component, "routes wait for upstreams", effect.Field{Name: "version", Value: strconv.FormatUint(uint64(s.pendingRoutes.Version), 10)})
		s.registry.RefreshUpstreams(ctx)
		ctx.After(s.settings.AdoptDelay, timer.Lifecycle, pendingRoutesTimer)
	}
}

// applyPendingRoutes puts pending routes in force once no route loses its upstreams or
// the deadline has passed.
func (s *State) applyPendingRoutes(ctx *step.Context) {
	if s.pendingRoutes == nil || ctx.Now < s.pendingDeadline && s.relay.WouldLoseRoutes(s.pendingRoutes) {
		return
	}
	s.relay.HandleRoutes(ctx, s.pendingRoutes)
	ctx.Emit(effect.LimitRequests{Limits: s.pendingRoutes.Limits})
	s.pendingRoutes = nil
}

// handleReconfigured applies settings that have changed while the node runs.
func (s *State) handleReconfigured(ctx *step.Context, e event.Reconfigured) {
	s.settings.Relay = relay.Settings{ExtraAttemptBudget: e.ExtraAttemptBudget, ExtraAttemptSlack: e.ExtraAttemptSlack, BudgetWindow: e.BudgetWindow}
	s.settings.StopGrace = e.StopGrace
	s.settings.EntryTTL = e.EntryTTL
	s.settings.AdoptDelay = e.AdoptDelay
	s.settings.Registry.PollInterval = e.PollInterval
	s.settings.Registry.RouteWait = e.RouteWait
	s.relay.Configure(s.settings.Relay)
	s.registry.Configure(s.settings.Registry)
	ctx.Log(effect.Info, component, "settings reloaded")
}

// clockGapThreshold is the shortest gap between two events after which the process is
// assumed to have been paused: the loop checks its timers at least once a second.
const clockGapThreshold = 2 * time.Second

// logClockGap logs a gap in the node's clock. After a gap the registry view may be
// older than its age shows; the failures of the registry calls then reveal it.
func (s *State) logClockGap(ctx *step.Context) {
	if s.lastEvent != 0 && ctx.Now.Sub(s.lastEvent) >= clockGapThreshold {
		ctx.Log(effect.Warning, component, "clock gap", effect.Field{Name: "gap", Value: ctx.Now.Sub(s.lastEvent).String()})
	}
}
