package reducer

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Intervals and delays of the lifecycle.
const (
	// lifecycleInterval is the interval between two checks of the lifecycle.
	lifecycleInterval = 100 * time.Millisecond
	// leavingPropagationDelay is how long other nodes may continue to return a
	// leaving node in their replies to entry queries.
	leavingPropagationDelay = 500 * time.Millisecond
	// idleBeforeExit is how long nothing must have been in flight before the node
	// exits, so that the last replies and messages have been sent.
	idleBeforeExit = 300 * time.Millisecond
)

// lifecycle is the progress of the node from start to exit.
type lifecycle struct {
	state model.MemberState
	// stopRequestedAt is when the shutdown was requested; zero before.
	stopRequestedAt model.Instant
	// sealed is true once the handover of the sessions has started.
	sealed bool
	// lastBusy is when something was last in flight after the sessions were sealed.
	lastBusy model.Instant
	// exited is true once Exit was emitted.
	exited bool
}

// startLifecycle puts the node in the state Starting, in which it is not ready.
func (s *State) startLifecycle(ctx *step.Context) {
	s.lifecycle.state = model.Starting
	ctx.After(lifecycleInterval, timer.Lifecycle, 0)
}

// handleLifecycleTimer advances the lifecycle: from Starting to Serving and back, and
// from Leaving to the exit.
func (s *State) handleLifecycleTimer(ctx *step.Context) {
	s.publishOperators(ctx)
	switch s.lifecycle.state {
	case model.Starting:
		s.serveWhenReady(ctx)
	case model.Serving:
		s.pauseUnlessReady(ctx)
	case model.Leaving:
		s.advanceLeaving(ctx)
	}
	ctx.After(lifecycleInterval, timer.Lifecycle, 0)
}

// serveWhenReady moves the node to Serving once it has a recent configuration and its
// membership view is complete enough to place work.
func (s *State) serveWhenReady(ctx *step.Context) {
	if !s.config.Ready() || !s.membership.ReadyForPlacement(ctx.Now) {
		return
	}
	s.lifecycle.state = model.Serving
	s.membership.SetState(ctx, model.Serving)
	s.handleViewChange(ctx, true)
	ctx.Log(effect.Info, "lifecycle", "serving")
}

// pauseUnlessReady moves the node back to Starting if its configuration may be
// outdated.
func (s *State) pauseUnlessReady(ctx *step.Context) {
	if s.config.Ready() {
		return
	}
	s.lifecycle.state = model.Starting
	s.membership.SetState(ctx, model.Starting)
	s.handleViewChange(ctx, true)
	ctx.Log(effect.Warning, "lifecycle", "out of service until the configuration is recent")
}

// publishOperators passes the operators in force to the administration API. While
// the node catches up with the configuration, it publishes nothing, because an old
// revision may lack operators.
func (s *State) publishOperators(ctx *step.Context) {
	if !s.config.Ready() || s.publishedConfig == ctx.Config {
		return
	}
	s.publishedConfig = ctx.Config
	ctx.Emit(effect.PublishOperators{Operators: ctx.Config.Operators})
}

// handleStopRequested starts the graceful shutdown. A second request exits at once.
func (s *State) handleStopRequested(ctx *step.Context) {
	if s.lifecycle.state == model.Leaving {
		s.exit(ctx)
		return
	}
	s.lifecycle.state = model.Leaving
	s.lifecycle.stopRequestedAt = ctx.Now
	s.membership.SetState(ctx, model.Leaving)
	s.handleViewChange(ctx, true)
	ctx.Log(effect.Info, "lifecycle", "leaving")
}

// advanceLeaving seals the sessions once no caller holds a valid entry reply that
// names this node, and exits when nothing has been in flight for idleBeforeExit or
// when StopGrace has passed. Until the exit the node continues to serve requests.
func (s *State) advanceLeaving(ctx *step.Context) {
	elapsed := ctx.Now.Sub(s.lifecycle.stopRequestedAt)
	if elapsed >= s.settings.StopGrace {
		s.exit(ctx)
		return
	}
	if elapsed < s.settings.Entry.TTL+leavingPropagationDelay {
		return
	}
	if !s.lifecycle.sealed {
		s.lifecycle.sealed = true
		s.lifecycle.lastBusy = ctx.Now
		s.session.Seal(ctx)
	}
	if s.openRequests() > 0 || !s.session.HandedOver() {
		s.lifecycle.lastBusy = ctx.Now
	}
	if ctx.Now.Sub(s.lifecycle.lastBusy) >= idleBeforeExit {
		s.exit(ctx)
	}
}

// openRequests returns the number of requests that an exit would abort.
func (s *State) openRequests() int {
	return s.interest.InFlight() + s.query.InFlight() + s.session.InFlight() + s.dispatch.InFlight()
}

// exit ends the process and logs the number of aborted requests.
func (s *State) exit(ctx *step.Context) {
	if s.lifecycle.exited {
		return
	}
	s.lifecycle.exited = true
	aborted := s.openRequests()
	severity := effect.Info
	if aborted > 0 || !s.session.HandedOver() {
		severity = effect.Warning
	}
	ctx.Log(severity, "lifecycle", "stopped",
		countField("cut_requests", s.query.InFlight()),
		countField("cut_order_calls", s.session.InFlight()),
		countField("cut_sub_requests", s.dispatch.InFlight()),
		effect.Field{Name: "handover_ended", Value: strconv.FormatBool(s.session.HandedOver())},
		effect.Field{Name: "after", Value: ctx.Now.Sub(s.lifecycle.stopRequestedAt).String()})
	ctx.Emit(effect.Exit{OpenRequests: aborted})
}

// countField returns a log field with an integer value.
func countField(name string, n int) effect.Field {
	return effect.Field{Name: name, Value: strconv.Itoa(n)}
}

// detectPause resynchronises the configuration after a gap in the node's own clock,
// because the process was paused and its state may be outdated.
func (s *State) detectPause(ctx *step.Context) {
	if s.lastEvent == 0 || ctx.Now.Sub(s.lastEvent) < s.settings.PauseThreshold {
		return
	}
	ctx.Log(effect.Warning, "lifecycle", "clock gap: resynchronising",
		effect.Field{Name: "gap", Value: ctx.Now.Sub(s.lastEvent).String()})
	s.config.HandleResume(ctx)
}
