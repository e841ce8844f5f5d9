package reducer

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// Times of the node's life.
const (
	// lifecyclePeriod is the time between two looks at the node's own progress.
	lifecyclePeriod = 100 * time.Millisecond
	// leavingSpread is how long other nodes may go on naming a leaving node in
	// entry answers.
	leavingSpread = 500 * time.Millisecond
	// quietBeforeExit is how long nothing may be in flight before the exit, so
	// that the last replies and messages have left.
	quietBeforeExit = 300 * time.Millisecond
)

// lifecycle is where the node stands between start and exit.
type lifecycle struct {
	state model.MemberState
	// stopped is when the stop was requested; zero before.
	stopped model.Instant
	// sealed is true once the sessions are being handed over.
	sealed bool
	// busy is when something was last in flight after the seal.
	busy   model.Instant
	exited bool
}

// startLifecycle begins the node's life as not ready.
func (s *State) startLifecycle(ctx *step.Context) {
	s.lifecycle.state = model.Starting
	ctx.After(lifecyclePeriod, timer.Lifecycle, 0)
}

// handleLifecycleTimer moves the node from starting to serving, and from leaving
// to its exit.
func (s *State) handleLifecycleTimer(ctx *step.Context) {
	s.publishOperators(ctx)
	switch s.lifecycle.state {
	case model.Starting:
		s.serveWhenReady(ctx)
	case model.Serving:
		s.pauseUnlessReady(ctx)
	case model.Leaving:
		s.stepLeaving(ctx)
	}
	ctx.After(lifecyclePeriod, timer.Lifecycle, 0)
}

// serveWhenReady starts to serve once the node has a configuration and knows the
// other members.
func (s *State) serveWhenReady(ctx *step.Context) {
	if !s.config.Ready() || !s.membership.Settled(ctx.Now) {
		return
	}
	s.lifecycle.state = model.Serving
	s.membership.SetState(ctx, model.Serving)
	s.viewChanged(ctx, true)
	ctx.Log(effect.Info, "lifecycle", "serving")
}

// pauseUnlessReady takes the node out of service while its configuration may be
// long out of date.
func (s *State) pauseUnlessReady(ctx *step.Context) {
	if s.config.Ready() {
		return
	}
	s.lifecycle.state = model.Starting
	s.membership.SetState(ctx, model.Starting)
	s.viewChanged(ctx, true)
	ctx.Log(effect.Warning, "lifecycle", "out of service until the configuration is recent")
}

// publishOperators tells the administration API which operators are in force.
// While the node catches up with the configuration it publishes nothing: an old
// revision may lack the operators.
func (s *State) publishOperators(ctx *step.Context) {
	if !s.config.Ready() || s.published == ctx.Config {
		return
	}
	s.published = ctx.Config
	ctx.Emit(effect.PublishOperators{Operators: ctx.Config.Operators})
}

// stepStop starts the graceful stop, or ends it at once when asked again.
func (s *State) stepStop(ctx *step.Context) {
	if s.lifecycle.state == model.Leaving {
		s.exit(ctx)
		return
	}
	s.lifecycle.state = model.Leaving
	s.lifecycle.stopped = ctx.Now
	s.membership.SetState(ctx, model.Leaving)
	s.viewChanged(ctx, true)
	ctx.Log(effect.Info, "lifecycle", "leaving")
}

// stepLeaving seals the sessions once no caller holds a valid entry answer, and
// exits when nothing has been in flight for a while. Until then it serves what
// arrives.
func (s *State) stepLeaving(ctx *step.Context) {
	elapsed := ctx.Now.Sub(s.lifecycle.stopped)
	if elapsed >= s.settings.StopGrace {
		s.exit(ctx)
		return
	}
	if elapsed < s.settings.Entry.TTL+leavingSpread {
		return
	}
	if !s.lifecycle.sealed {
		s.lifecycle.sealed = true
		s.lifecycle.busy = ctx.Now
		s.session.Seal(ctx)
	}
	if s.openRequests() > 0 || !s.session.HandedOver() {
		s.lifecycle.busy = ctx.Now
	}
	if ctx.Now.Sub(s.lifecycle.busy) >= quietBeforeExit {
		s.exit(ctx)
	}
}

// openRequests counts what an exit would cut.
func (s *State) openRequests() int {
	return s.interest.InFlight() + s.query.InFlight() + s.session.InFlight() + s.dispatch.InFlight()
}

// exit ends the process and logs what it cuts.
func (s *State) exit(ctx *step.Context) {
	if s.lifecycle.exited {
		return
	}
	s.lifecycle.exited = true
	cut := s.openRequests()
	severity := effect.Info
	if cut > 0 || !s.session.HandedOver() {
		severity = effect.Warning
	}
	ctx.Log(severity, "lifecycle", "stopped",
		countField("cut_requests", s.query.InFlight()),
		countField("cut_order_calls", s.session.InFlight()),
		countField("cut_sub_requests", s.dispatch.InFlight()),
		effect.Field{Name: "handover_ended", Value: strconv.FormatBool(s.session.HandedOver())},
		effect.Field{Name: "after", Value: ctx.Now.Sub(s.lifecycle.stopped).String()})
	ctx.Emit(effect.Exit{OpenRequests: cut})
}

// countField returns a log field with a number.
func countField(name string, n int) effect.Field {
	return effect.Field{Name: name, Value: strconv.Itoa(n)}
}

// noticePause resynchronises after a gap in the node's own clock: what it
// believed before the pause may be long out of date.
func (s *State) noticePause(ctx *step.Context) {
	if s.last == 0 || ctx.Now.Sub(s.last) < s.settings.PauseThreshold {
		return
	}
	ctx.Log(effect.Warning, "lifecycle", "clock gap: resynchronising",
		effect.Field{Name: "gap", Value: ctx.Now.Sub(s.last).String()})
	s.config.HandleResume(ctx)
}
