package edge

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/relay"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Times of a graceful shutdown.
const (
	// stopCheckInterval is the time between two checks of a stopping node's progress.
	stopCheckInterval = 50 * time.Millisecond
	// listenFraction is the fraction of the grace period after which the node stops
	// listening. Until then each answer closes its connection; open requests have the
	// rest of the grace period to be answered.
	listenFraction = 0.33
	// idleBeforeExit is how long no request may be open before the exit, so that the
	// last answers are sent.
	idleBeforeExit = 200 * time.Millisecond
	// exitMargin is the part of the grace period that is reserved for closing the
	// listeners.
	exitMargin = 600 * time.Millisecond
	// answerMargin is the time before the exit at which the last open requests are answered.
	answerMargin = 150 * time.Millisecond
)

// Identifiers of the lifecycle's timers.
const (
	stopTimer uint64 = iota
	pendingRoutesTimer
	loadTimer
)

// lifecycle is the progress of a node's shutdown.
type lifecycle struct {
	// stopRequestedAt is when the shutdown was requested; zero before.
	stopRequestedAt model.Instant
	// lastBusy is when a request was last open; also set when the shutdown starts and
	// when the listeners close.
	lastBusy model.Instant
	// listenersClosed is set once the node has stopped listening for callers.
	listenersClosed bool
	exited          bool
}

// handleStart starts the node; it is not ready yet.
func (s *State) handleStart(ctx *step.Context) {
	ctx.Log(effect.Info, component, "started",
		effect.Field{Name: "host", Value: string(s.self.Host)},
		effect.Field{Name: "incarnation", Value: strconv.FormatUint(uint64(s.self.Incarnation), 10)})
	s.registry.Start(ctx)
	s.relay.Start(ctx)
	ctx.After(loadInterval, timer.Lifecycle, loadTimer)
}

// serveWhenReady changes a starting node to serving once it has routes and upstreams.
func (s *State) serveWhenReady(ctx *step.Context) {
	if s.self.State != model.Starting || !s.registry.Ready() {
		return
	}
	s.setState(ctx, model.Serving)
	ctx.Emit(effect.PublishReady{Ready: true})
}

// setState changes the node's state and announces it.
func (s *State) setState(ctx *step.Context, state model.MemberState) {
	s.self.State = state
	ctx.Self = s.self
	s.registry.Announce(ctx, s.self)
	s.updateEntryNodes(ctx)
	ctx.Log(effect.Info, component, string(state))
}

// handleStopRequested starts a graceful shutdown, or exits at once if one is in
// progress.
func (s *State) handleStopRequested(ctx *step.Context) {
	if s.lifecycle.stopRequestedAt != 0 {
		s.exit(ctx)
		return
	}
	s.lifecycle.stopRequestedAt = ctx.Now
	s.lifecycle.lastBusy = ctx.Now
	ctx.Emit(effect.PublishReady{Ready: false})
	s.relay.Stop(ctx, ctx.Now.Add(max(0, s.settings.StopGrace-exitMargin-answerMargin)))
	s.setState(ctx, model.Leaving)
	ctx.After(stopCheckInterval, timer.Lifecycle, stopTimer)
}

// handleLifecycleTimer applies pending routes at their deadline, reports the node's
// load, or continues a shutdown.
func (s *State) handleLifecycleTimer(ctx *step.Context, id uint64) {
	switch id {
	case pendingRoutesTimer:
		s.applyPendingRoutes(ctx)
	case loadTimer:
		s.reportLoad(ctx)
	default:
		s.continueStop(ctx)
	}
}

// continueStop closes the listeners after listenFraction of the grace period. It exits
// once no request has been open for idleBeforeExit since then, or at the end of the
// grace period.
func (s *State) continueStop(ctx *step.Context) {
	elapsed := ctx.Now.Sub(s.lifecycle.stopRequestedAt)
	if s.relay.InFlight() > 0 {
		s.lifecycle.lastBusy = ctx.Now
	}
	if !s.lifecycle.listenersClosed && elapsed >= time.Duration(listenFraction*float64(s.settings.StopGrace)) {
		s.lifecycle.listenersClosed = true
		s.lifecycle.lastBusy = ctx.Now
		ctx.Emit(effect.CloseCallerListeners{})
	}
	idle := s.lifecycle.listenersClosed && ctx.Now.Sub(s.lifecycle.lastBusy) >= idleBeforeExit
	if idle || elapsed >= s.settings.StopGrace-exitMargin {
		s.exit(ctx)
		return
	}
	ctx.After(stopCheckInterval, timer.Lifecycle, stopTimer)
}

// exit ends the process and logs the number of aborted requests.
func (s *State) exit(ctx *step.Context) {
	if s.lifecycle.exited {
		return
	}
	s.lifecycle.exited = true
	s.registry.Withdraw(ctx)
	severity := effect.Info
	if s.relay.InFlight() > 0 {
		severity = effect.Warning
	}
	ctx.Log(severity, component, "stopped",
		effect.Field{Name: "cut_requests", Value: strconv.Itoa(s.relay.InFlight())},
		effect.Field{Name: "after", Value: ctx.Now.Sub(s.lifecycle.stopRequestedAt).String()})
	ctx.Emit(effect.Exit{OpenRequests: s.relay.InFlight()})
}

// stateDump is the JSON form of the state.
type stateDump struct {
	Self      model.Member      `json:"self"`
	State     model.MemberState `json:"state"`
	Version   model.Revision    `json:"version"`
	RoutesAge string            `json:"routes_age"`
	// RegistryEra is the newest era of the registry that the node knows, zero if none was stated.
	RegistryEra uint64 `json:"registry_era"`
	// UpstreamsAge and MembersAge are the times since these lists were known to be current.
	UpstreamsAge string         `json:"upstreams_age"`
	MembersAge   string         `json:"members_age"`
	Members      []model.Member `json:"members"`
	// EntryHosts are the nodes that callers are told to use.
	EntryHosts []model.HostID    `json:"entry_hosts"`
	Relay      relay.Description `json:"relay"`
}

// dump returns the state as JSON.
func (s *State) dump(ctx *step.Context) []byte {
	d := stateDump{Self: s.self, State: s.self.State, Members: s.registry.Members(), Relay: s.relay.Describe(ctx.Now)}
	for _, member := range s.guidance.Subset() {
		d.EntryHosts = append(d.EntryHosts, member.Host)
	}
	d.RegistryEra = s.registry.Era()
	d.RoutesAge = s.registry.RoutesAge(ctx.Now).String()
	d.UpstreamsAge = s.registry.UpstreamsAge(ctx.Now).String()
	d.MembersAge = s.registry.MembersAge(ctx.Now).String()
	if routes := s.registry.Routes(); routes != nil {
		d.Version = routes.Version
	}
	encoded, err := json.Marshal(d)
	if err != nil {
		ctx.Log(effect.Error, component, "state dump cannot be encoded", effect.Field{Name: "error", Value: err.Error()})
		return []byte("{}")
	}
	return encoded
}
