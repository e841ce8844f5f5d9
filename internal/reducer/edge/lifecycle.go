package edge

import (
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/relay"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Times of a graceful stop.
const (
	// stopPeriod is the time between two looks at a stopping node's progress.
	stopPeriod = 50 * time.Millisecond
	// entranceShare of the grace passes before the node stops listening. Until then
	// each answer ends its connection; afterwards what is open has the rest of the
	// grace to be answered.
	entranceShare = 0.33
	// quietBeforeExit is how long nothing may be open before the exit, so that the
	// last answers have left.
	quietBeforeExit = 200 * time.Millisecond
	// exitMargin is kept from the grace, for the closing of the listeners.
	exitMargin = 600 * time.Millisecond
)

// The lifecycle's timers.
const (
	stopTimer uint64 = iota
	adoptTimer
)

// lifecycle is where the node stands between start and exit.
type lifecycle struct {
	// stopped is when the stop was requested; zero before.
	stopped model.Instant
	// busy is when a request was last open.
	busy model.Instant
	// entranceClosed is true once the node has stopped listening for callers.
	entranceClosed bool
	exited         bool
}

// stepStart begins the node's life as not ready.
func (s *State) stepStart(ctx *step.Context) {
	ctx.Log(effect.Info, component, "started",
		effect.Field{Name: "host", Value: string(s.self.Host)},
		effect.Field{Name: "incarnation", Value: strconv.FormatUint(uint64(s.self.Incarnation), 10)})
	s.registry.Start(ctx)
}

// serveWhenKnown starts to serve once routes and upstreams are known.
func (s *State) serveWhenKnown(ctx *step.Context) {
	if s.self.State != model.Starting || !s.registry.Known() {
		return
	}
	s.setState(ctx, model.Serving)
	ctx.Emit(effect.PublishReady{Ready: true})
}

// setState changes what the node says of itself.
func (s *State) setState(ctx *step.Context, state model.MemberState) {
	s.self.State = state
	ctx.Self = s.self
	s.registry.Announce(ctx, s.self)
	ctx.Log(effect.Info, component, string(state))
}

// stepStop starts the graceful stop, or ends it at once when asked again.
func (s *State) stepStop(ctx *step.Context) {
	if s.lifecycle.stopped != 0 {
		s.exit(ctx)
		return
	}
	s.lifecycle.stopped = ctx.Now
	s.lifecycle.busy = ctx.Now
	ctx.Emit(effect.PublishReady{Ready: false})
	s.setState(ctx, model.Leaving)
	ctx.After(stopPeriod, timer.Lifecycle, stopTimer)
}

// handleLifecycleTimer ends the wait of pending routes, or goes on with a stop.
func (s *State) handleLifecycleTimer(ctx *step.Context, id uint64) {
	if id == adoptTimer {
		s.adoptRoutes(ctx)
		return
	}
	s.goOnStopping(ctx)
}

// goOnStopping closes the entrance after a while, and exits when nothing has been open
// since, or at the end of the grace.
func (s *State) goOnStopping(ctx *step.Context) {
	elapsed := ctx.Now.Sub(s.lifecycle.stopped)
	if s.relay.InFlight() > 0 {
		s.lifecycle.busy = ctx.Now
	}
	if !s.lifecycle.entranceClosed && elapsed >= time.Duration(entranceShare*float64(s.settings.StopGrace)) {
		s.lifecycle.entranceClosed = true
		s.lifecycle.busy = ctx.Now
		ctx.Emit(effect.CloseCallerListeners{})
	}
	quiet := s.lifecycle.entranceClosed && ctx.Now.Sub(s.lifecycle.busy) >= quietBeforeExit
	if quiet || elapsed >= s.settings.StopGrace-exitMargin {
		s.exit(ctx)
		return
	}
	ctx.After(stopPeriod, timer.Lifecycle, stopTimer)
}

// exit ends the process and logs what it cuts.
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
		effect.Field{Name: "after", Value: ctx.Now.Sub(s.lifecycle.stopped).String()})
	ctx.Emit(effect.Exit{OpenRequests: s.relay.InFlight()})
}

// serving returns the nodes that callers may use, this one included while it
// serves, ordered by host.
func (s *State) serving() []model.Member {
	var members []model.Member
	for _, member := range s.registry.Members() {
		if member.Host != s.self.Host && member.State == model.Serving {
			members = append(members, member)
		}
	}
	if s.self.State == model.Serving {
		members = append(members, s.self)
	}
	slices.SortFunc(members, func(a, b model.Member) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return members
}

// stepEntry answers which nodes a caller may use. Any node serves any request.
func (s *State) stepEntry(ctx *step.Context, e event.Entry) {
	members := s.serving()
	if len(members) == 0 {
		ctx.Emit(effect.ReplyEntry{Call: e.Call, Failure: model.Failf(model.CodeUnavailable, "no node is known to serve")})
		return
	}
	reply := effect.ReplyEntry{Call: e.Call, TTL: s.settings.EntryTTL}
	for _, member := range members {
		reply.Addresses = append(reply.Addresses, effect.EntryAddress{
			Address: member.CallerAddress, Host: member.Host, FailureDomain: member.FailureDomain,
		})
	}
	ctx.Emit(reply)
}

// dumped is the state dump.
type dumped struct {
	Self      model.Member      `json:"self"`
	State     model.MemberState `json:"state"`
	Version   model.Revision    `json:"version"`
	RoutesAge string            `json:"routes_age"`
	Members   []model.Member    `json:"members"`
	Relay     relay.Description `json:"relay"`
}

// dump describes the state as JSON.
func (s *State) dump(ctx *step.Context) []byte {
	d := dumped{Self: s.self, State: s.self.State, Members: s.registry.Members(), Relay: s.relay.Describe(ctx.Now)}
	d.RoutesAge = s.registry.RoutesAge(ctx.Now).String()
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
