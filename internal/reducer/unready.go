package reducer

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/outcome"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// unreadyRetry is when a caller should try again that found the node without a
// recent configuration.
const unreadyRetry = 1 * time.Second

// refuseSearch ends a search on a node without a recent configuration, before
// any part of it has run.
func (s *State) refuseSearch(ctx *step.Context, e event.Search) {
	var fresh outcome.Ledger
	answer := fresh.End(outcome.Reason{
		ID:         e.RequestID,
		Failure:    model.Failf(model.CodeUnavailable, "this node has no recent configuration yet"),
		RetryAfter: unreadyRetry,
	})
	ctx.Emit(effect.ReplyCaller{Call: e.Call, Answer: answer})
}

// stepDispatch passes a sub-request to the dispatcher. All work passes here on
// its way to an upstream, so that a node which was paused, or is cut off, starts
// none on a configuration that may be long out of date.
func (s *State) stepDispatch(ctx *step.Context, from model.HostID, m message.Dispatch) {
	if s.config.Ready() {
		s.dispatch.HandleDispatch(ctx, from, m)
		return
	}
	ctx.Send(from, message.DispatchResult{
		Attempt:    m.Attempt,
		Upstream:   m.Upstream,
		Status:     message.StatusRefused,
		Reason:     model.CodeUnavailable,
		RetryAfter: int64(unreadyRetry),
	})
}
