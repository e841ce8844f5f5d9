package reducer

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// stepEvent routes an event to the part that owns it.
func (s *State) stepEvent(ctx *step.Context, e event.Event) {
	switch e := e.(type) {
	case event.Start:
		s.stepStart(ctx)
	case event.Wake:
		s.stepWake(ctx)
	case event.Entry:
		s.entry.HandleEntry(ctx, e)
	case event.Search:
		s.stepSearch(ctx, e)
	case event.Order:
		s.session.HandleOrder(ctx, e)
	case event.CallerGone:
		s.interest.HandleCallerGone(e.Call)
		s.query.HandleCallerGone(ctx, e.Call)
		s.session.HandleCallerGone(ctx, e.Call)
	case event.PeerMessage:
		s.stepMessage(ctx, e.From, e.Incarnation, e.Message)
	case event.PeerLost:
		s.stepPeerLost(ctx, e.Host)
	case event.Statement:
		s.stepStatement(ctx, e)
	case event.DumpRequest:
		s.stepDump(ctx, e)
	case event.StopRequested:
		s.stepStop(ctx)
	default:
		s.stepUpstream(ctx, e)
		s.stepPlatform(ctx, e)
	}
}

// stepStart begins the node's life.
func (s *State) stepStart(ctx *step.Context) {
	s.membership.Start(ctx)
	s.config.Start(ctx)
	s.startLifecycle(ctx)
}

// stepUpstream routes what upstreams send to the dispatcher.
func (s *State) stepUpstream(ctx *step.Context, e event.Event) {
	switch e := e.(type) {
	case event.ConnectionOpened:
		s.dispatch.HandleOpened(ctx, e)
	case event.ConnectionClosed:
		s.dispatch.HandleClosed(ctx, e)
	case event.UpstreamReply:
		s.dispatch.HandleReply(ctx, e)
	case event.UpstreamStatusRead:
		s.dispatch.HandleStatus(ctx, e)
	case event.UpstreamCancelDone:
		s.dispatch.HandleCancelDone(ctx, e)
	}
}

// stepPlatform routes what the platform sends.
func (s *State) stepPlatform(ctx *step.Context, e event.Event) {
	switch e := e.(type) {
	case event.HostList:
		s.viewChanged(ctx, s.membership.HandleHostList(ctx, e))
		s.dispatch.HandleHostList(ctx, e)
	case event.StoreResult:
		s.configChanged(ctx, s.config.HandleStoreResult(ctx, e))
	}
}

// stepWake fires the timers that are due.
func (s *State) stepWake(ctx *step.Context) {
	for {
		due, ok := s.timers.PopDue(ctx.Now)
		if !ok {
			return
		}
		s.stepTimer(ctx, due)
	}
}

// stepTimer routes a timer to its owner.
func (s *State) stepTimer(ctx *step.Context, due timer.Timer) {
	switch due.Owner {
	case timer.Query:
		s.query.HandleTimer(ctx, due.ID)
	case timer.Dispatch:
		s.dispatch.HandleTimer(ctx, due.ID)
	case timer.Session:
		s.session.HandleTimer(ctx, due.ID)
	case timer.Quarantine:
		s.quarantine.HandleTimer(ctx, due.ID)
	case timer.Config:
		s.configChanged(ctx, s.config.HandleTimer(ctx, due.ID))
	case timer.Membership:
		s.membership.SetConvictions(s.quarantine.Hash())
		s.viewChanged(ctx, s.membership.HandleTimer(ctx, due.ID))
	case timer.Interest:
		s.stepInterest(ctx, due.ID)
	case timer.Lifecycle:
		s.handleLifecycleTimer(ctx)
	}
}

// stepPeerLost settles what was under way with a peer.
func (s *State) stepPeerLost(ctx *step.Context, host model.HostID) {
	s.viewChanged(ctx, s.membership.HandlePeerLost(ctx, host))
	s.query.HandlePeerLost(ctx, host)
	s.session.HandlePeerLost(ctx, host)
	s.dispatch.HandlePeerLost(ctx, host)
}

// stepDigest takes in a peer's digest.
func (s *State) stepDigest(ctx *step.Context, from model.HostID, m message.Digest) {
	changed := s.membership.HandleDigest(ctx, from, m)
	s.config.HandleDigest(ctx, from, m)
	s.quarantine.HandleDigest(ctx, from, m)
	s.viewChanged(ctx, changed)
}

// viewChanged lets the parts follow another view of the members.
func (s *State) viewChanged(ctx *step.Context, changed bool) {
	if !changed {
		return
	}
	ctx.Self = s.membership.Self()
	s.query.HandleView()
	s.dispatch.HandleConfig(ctx)
	s.session.HandleView(ctx)
}

// configChanged lets the parts follow another configuration.
func (s *State) configChanged(ctx *step.Context, changed bool) {
	if !changed {
		return
	}
	ctx.Config = s.config.InForce()
	s.publishOperators(ctx)
	s.membership.SetRevision(ctx.Now, ctx.Config.Revision)
	ctx.Self = s.membership.Self()
	s.quarantine.HandleConfig(ctx)
	s.interest.HandleConfig(ctx)
	s.dispatch.HandleConfig(ctx)
	s.viewChanged(ctx, s.membership.HandleConfig(ctx))
}

// stepSearch starts a search unless the node is not ready for it.
func (s *State) stepSearch(ctx *step.Context, e event.Search) {
	if !s.config.Ready() {
		s.refuseSearch(ctx, e)
		return
	}
	if s.interest.IsScoped(ctx) && s.isParked(ctx, e) {
		return
	}
	s.query.HandleSearch(ctx, e)
}

// isParked reports whether a search was made to wait for the reports of its
// services. One that names no service goes on, to be refused.
func (s *State) isParked(ctx *step.Context, e event.Search) bool {
	services, failure := s.catalog.Resolve(ctx, e.Services)
	return failure == nil && s.interest.Seek(ctx, e, services)
}

// stepInterest starts a search that has waited for reports.
func (s *State) stepInterest(ctx *step.Context, id uint64) {
	if search, ok := s.interest.HandleTimer(ctx, id); ok {
		s.query.HandleSearch(ctx, search)
	}
}

// stepStatement answers a question or proposes a change.
func (s *State) stepStatement(ctx *step.Context, e event.Statement) {
	script, failure := statement.Parse(e.Text)
	if failure != nil {
		result := effect.StatementResult{Outcome: effect.NotAccepted, Failure: failure}
		ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: result})
		return
	}
	if len(script.Questions) > 0 {
		s.answerQuestions(ctx, e, script.Questions)
		return
	}
	e.Text, script = statement.Resolve(e.Text, script, ctx.Now)
	s.config.HandleStatement(ctx, e, statement.Permit(script, e.Operator))
}

// answerQuestions answers an operator's questions from the node's own state.
func (s *State) answerQuestions(ctx *step.Context, e event.Statement, questions []statement.Question) {
	ctx.Emit(effect.ReplyStatement{Call: e.Call, Result: s.show.Answer(ctx, e.Operator, questions)})
}

// stepDump returns the state as JSON.
func (s *State) stepDump(ctx *step.Context, e event.DumpRequest) {
	ctx.Emit(effect.ReplyDump{Call: e.Call, JSON: s.dump(ctx)})
}
