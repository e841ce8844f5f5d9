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

// handleEvent routes an event to the part that handles it.
func (s *State) handleEvent(ctx *step.Context, e event.Event) {
	switch e := e.(type) {
	case event.Start:
		s.handleStart(ctx)
	case event.Wake:
		s.handleWake(ctx)
	case event.Entry:
		s.entry.HandleEntry(ctx, e)
	case event.Search:
		s.handleSearch(ctx, e)
	case event.Order:
		s.session.HandleOrder(ctx, e)
	case event.CallerGone:
		s.interest.HandleCallerGone(e.Call)
		s.query.HandleCallerGone(ctx, e.Call)
		s.session.HandleCallerGone(ctx, e.Call)
	case event.PeerMessage:
		s.handleMessage(ctx, e.From, e.Incarnation, e.Message)
	case event.PeerLost:
		s.handlePeerLost(ctx, e.Host)
	case event.Statement:
		s.handleStatement(ctx, e)
	case event.DumpRequest:
		s.handleDumpRequest(ctx, e)
	case event.StopRequested:
		s.handleStopRequested(ctx)
	default:
		s.handleUpstreamEvent(ctx, e)
		s.handlePlatformEvent(ctx, e)
	}
}

// handleStart starts the parts and the lifecycle.
func (s *State) handleStart(ctx *step.Context) {
	s.membership.Start(ctx)
	s.config.Start(ctx)
	s.startLifecycle(ctx)
}

// handleUpstreamEvent routes upstream events to the dispatcher. Other events are
// ignored.
func (s *State) handleUpstreamEvent(ctx *step.Context, e event.Event) {
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

// handlePlatformEvent routes events from the platform. Other events are ignored.
func (s *State) handlePlatformEvent(ctx *step.Context, e event.Event) {
	switch e := e.(type) {
	case event.HostList:
		s.handleViewChange(ctx, s.membership.HandleHostList(ctx, e))
		s.dispatch.HandleHostList(ctx, e)
	case event.StoreResult:
		s.handleConfigChange(ctx, s.config.HandleStoreResult(ctx, e))
	}
}

// handleWake handles all timers that are due.
func (s *State) handleWake(ctx *step.Context) {
	for {
		due, ok := s.timers.PopDue(ctx.Now)
		if !ok {
			return
		}
		s.handleTimer(ctx, due)
	}
}

// handleTimer routes a timer to its owner.
func (s *State) handleTimer(ctx *step.Context, due timer.Timer) {
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
		s.handleConfigChange(ctx, s.config.HandleTimer(ctx, due.ID))
	case timer.Membership:
		s.membership.SetBlocksHash(s.quarantine.Hash())
		s.handleViewChange(ctx, s.membership.HandleTimer(ctx, due.ID))
	case timer.Interest:
		s.handleInterestTimer(ctx, due.ID)
	case timer.Lifecycle:
		s.handleLifecycleTimer(ctx)
	}
}

// handlePeerLost notifies the parts that messages to or from a peer may be lost.
func (s *State) handlePeerLost(ctx *step.Context, host model.HostID) {
	s.handleViewChange(ctx, s.membership.HandlePeerLost(ctx, host))
	s.query.HandlePeerLost(ctx, host)
	s.session.HandlePeerLost(ctx, host)
	s.dispatch.HandlePeerLost(ctx, host)
}

// handleDigest passes a peer's digest to the parts.
func (s *State) handleDigest(ctx *step.Context, from model.HostID, m message.Digest) {
	changed := s.membership.HandleDigest(ctx, from, m)
	s.config.HandleDigest(ctx, from, m)
	s.quarantine.HandleDigest(ctx, from, m)
	s.handleViewChange(ctx, changed)
}

// handleViewChange notifies the parts if the membership view has changed.
func (s *State) handleViewChange(ctx *step.Context, changed bool) {
	if !changed {
		return
	}
	ctx.Self = s.membership.Self()
	s.query.HandleView()
	s.dispatch.HandleConfig(ctx)
	s.session.HandleView(ctx)
}

// handleConfigChange notifies the parts if another configuration has come into force.
func (s *State) handleConfigChange(ctx *step.Context, changed bool) {
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
	s.handleViewChange(ctx, s.membership.HandleConfig(ctx))
}

// handleSearch starts, parks or refuses a search.
func (s *State) handleSearch(ctx *step.Context, e event.Search) {
	if !s.config.Ready() {
		s.refuseSearch(ctx, e)
		return
	}
	if s.interest.IsScoped(ctx) && s.parkSearch(ctx, e) {
		return
	}
	s.query.HandleSearch(ctx, e)
}

// parkSearch parks a search that must wait for index reports of its services and
// reports whether it did. A search that matches no service is not parked; it fails
// later.
func (s *State) parkSearch(ctx *step.Context, e event.Search) bool {
	services, failure := s.catalog.Resolve(ctx, e.Services)
	return failure == nil && s.interest.SubscribeOrPark(ctx, e, services)
}

// handleInterestTimer starts a parked search whose wait for index reports has ended.
func (s *State) handleInterestTimer(ctx *step.Context, id uint64) {
	if search, ok := s.interest.HandleTimer(ctx, id); ok {
		s.query.HandleSearch(ctx, search)
	}
}

// handleStatement answers questions or proposes a configuration change.
func (s *State) handleStatement(ctx *step.Context, e event.Statement) {
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

// handleDumpRequest replies with the state dump as JSON.
func (s *State) handleDumpRequest(ctx *step.Context, e event.DumpRequest) {
	ctx.Emit(effect.ReplyDump{Call: e.Call, JSON: s.dump(ctx)})
}
