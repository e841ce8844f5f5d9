// Package edge is the state machine of a node on a platform whose registry holds
// routes, upstreams and nodes. It routes events to the parts that decide, and runs
// the node's life from start to stop. Like package reducer it has no clock, I/O or
// goroutine; the loop of package runtime feeds it.
package edge

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/registry"
	"github.com/hawthorntack/hawthorntack/internal/reducer/relay"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

const component = "edge"

// Settings are a node's own settings.
type Settings struct {
	// Self describes the node; its State is ignored.
	Self     model.Member
	Registry registry.Settings
	Relay    relay.Settings
	// AdoptDelay is how long newer routes wait for the upstreams of their services.
	AdoptDelay time.Duration
	// EntryTTL is how long a caller may keep an entry answer.
	EntryTTL time.Duration
	// StopGrace bounds a graceful stop.
	StopGrace time.Duration
}

// State is a node's whole state. It is not safe for concurrent use.
type State struct {
	settings   Settings
	self       model.Member
	timers     timer.Queue
	registry   *registry.State
	quarantine *quarantine.State
	relay      *relay.State
	lifecycle  lifecycle
	// pending are routes that wait for upstreams until pendingUntil, or nil.
	pending      *model.RouteTable
	pendingUntil model.Instant
	ctx          step.Context
	source       *rand.PCG
	// last is the time of the last event.
	last model.Instant
}

// New returns the state of a node that has just started.
func New(settings Settings) *State {
	s := &State{
		settings:   settings,
		self:       settings.Self,
		registry:   registry.New(settings.Registry),
		quarantine: quarantine.New(),
		source:     rand.NewPCG(0, 0),
	}
	s.self.State = model.Starting
	s.relay = relay.New(settings.Relay, s.quarantine, s.registry)
	s.registry.SetObserver(s.relay)
	s.ctx = step.Context{Random: rand.New(s.source), View: noPeers{}, Timers: &s.timers, Config: &model.Config{}}
	return s
}

// noPeers is the view of a node that speaks to others through the registry only.
type noPeers struct{}

// Members implements step.View.
func (noPeers) Members() []model.Member { return nil }

// Member implements step.View.
func (noPeers) Member(model.HostID) (model.Member, bool) { return model.Member{}, false }

// NextWake returns when the next event.Wake is due, and false if no timer is set.
func (s *State) NextWake() (model.Instant, bool) { return s.timers.Next() }

// Reduce applies one event and returns what the runtime is to do. The returned
// slice is valid until the next call.
func (s *State) Reduce(envelope event.Envelope) []effect.Effect {
	s.source.Seed(envelope.Random, uint64(envelope.Now))
	ctx := &s.ctx
	ctx.Now = envelope.Now
	ctx.Self = s.self
	ctx.Effects = ctx.Effects[:0]
	s.noticePause(ctx)
	s.last = envelope.Now
	s.stepEvent(ctx, envelope.Event)
	return ctx.Effects
}

// stepEvent routes an event to the part that owns it.
func (s *State) stepEvent(ctx *step.Context, e event.Event) {
	switch e := e.(type) {
	case event.Start:
		s.stepStart(ctx)
	case event.Wake:
		s.stepWake(ctx)
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
		s.stepRegistry(ctx, s.registry.HandleResult(ctx, e))
	case event.PeerMessage:
		s.stepMessage(ctx, e)
	case event.PeerLost:
		s.relay.HandlePeerLost(ctx, e.Host)
	case event.Entry:
		s.stepEntry(ctx, e)
	case event.Reconfigured:
		s.stepReconfigured(ctx, e)
	case event.DumpRequest:
		ctx.Emit(effect.ReplyDump{Call: e.Call, JSON: s.dump(ctx)})
	case event.StopRequested:
		s.stepStop(ctx)
	}
}

// stepWake fires the timers that are due.
func (s *State) stepWake(ctx *step.Context) {
	for {
		due, ok := s.timers.PopDue(ctx.Now)
		if !ok {
			return
		}
		switch due.Owner {
		case timer.Relay:
			s.relay.HandleTimer(ctx, due.ID)
		case timer.Registry:
			s.registry.HandleTimer(ctx, due.ID)
		case timer.Quarantine:
			s.quarantine.HandleTimer(ctx, due.ID)
		case timer.Lifecycle:
			s.handleLifecycleTimer(ctx, due.ID)
		}
	}
}

// stepMessage takes in what another node sends.
func (s *State) stepMessage(ctx *step.Context, e event.PeerMessage) {
	switch m := e.Message.(type) {
	case message.RegistrySubscribe:
		s.registry.HandleFollow(ctx, e.From, m)
		s.relay.HandleObservations(ctx, s.registry.Observations(ctx))
	case message.RegistryUpdate:
		s.stepRegistry(ctx, s.registry.HandleBeliefs(ctx, m))
	case message.Subquery:
		s.relay.HandleSubquery(ctx, e.From, m)
	case message.SubqueryReport:
		s.relay.HandleSubqueryReport(ctx, e.From, m)
	case message.SubqueryCancel:
		s.relay.HandleSubqueryCancel(ctx, e.From, m)
	}
}

// stepRegistry lets the parts follow what the registry has told.
func (s *State) stepRegistry(ctx *step.Context, changes registry.Changes) {
	if changes.Upstreams {
		s.relay.HandleUpstreams(ctx, s.registry.Upstreams())
	}
	if changes.Routes {
		s.prepareRoutes(ctx)
	}
	s.adoptRoutes(ctx)
	if changes.Members {
		s.relay.SetMembers(ctx, s.serving())
	}
	s.relay.HandleObservations(ctx, changes.Observations)
	for _, suspicion := range changes.Suspicions {
		s.quarantine.HandleSuspicion(ctx, suspicion)
	}
	s.serveWhenKnown(ctx)
}

// prepareRoutes lets newer routes wait for a moment when a route would lose its
// upstreams by them. It answers the pattern "an index is cut into other shards while
// the store comes back": the old shards serve on until the version is due everywhere.
func (s *State) prepareRoutes(ctx *step.Context) {
	waiting := s.pending != nil
	s.pending = s.registry.Routes()
	if waiting {
		// The version that came first is due first, and with it the newest.
		return
	}
	s.pendingUntil = ctx.Now.Add(s.settings.AdoptDelay)
	if s.relay.WouldLoseRoutes(s.pending) {
		ctx.Log(effect.Info, component, "routes wait for upstreams", effect.Field{Name: "version", Value: strconv.FormatUint(uint64(s.pending.Version), 10)})
		s.registry.RefreshUpstreams(ctx)
		ctx.After(s.settings.AdoptDelay, timer.Lifecycle, adoptTimer)
	}
}

// adoptRoutes puts pending routes in force when they lose nothing or have waited long
// enough.
func (s *State) adoptRoutes(ctx *step.Context) {
	if s.pending == nil || ctx.Now < s.pendingUntil && s.relay.WouldLoseRoutes(s.pending) {
		return
	}
	s.relay.HandleRoutes(ctx, s.pending)
	s.pending = nil
}

// stepReconfigured takes in settings that have changed while the node runs.
func (s *State) stepReconfigured(ctx *step.Context, e event.Reconfigured) {
	s.settings.Relay = relay.Settings{ExtraAttemptBudget: e.ExtraAttemptBudget, ExtraAttemptSlack: e.ExtraAttemptSlack}
	s.settings.StopGrace = e.StopGrace
	s.settings.EntryTTL = e.EntryTTL
	s.settings.AdoptDelay = e.AdoptDelay
	s.settings.Registry.PollInterval = e.PollInterval
	s.settings.Registry.RouteWait = e.RouteWait
	s.relay.Configure(s.settings.Relay)
	s.registry.Configure(s.settings.Registry)
	ctx.Log(effect.Info, component, "settings reloaded")
}

// pauseThreshold is the gap between two events that counts as a pause of the
// process: the loop looks at its timers once a second at least.
const pauseThreshold = 2 * time.Second

// noticePause logs a gap in the node's own clock: beliefs may be older than they
// seem, and the registry's calls show that by their failures.
func (s *State) noticePause(ctx *step.Context) {
	if s.last != 0 && ctx.Now.Sub(s.last) >= pauseThreshold {
		ctx.Log(effect.Warning, component, "clock gap", effect.Field{Name: "gap", Value: ctx.Now.Sub(s.last).String()})
	}
}
