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

// notReadyRetryAfter is the retry delay for callers of a node without a recent
// configuration.
const notReadyRetryAfter = 1 * time.Second

// refuseSearch rejects a search because the node has no recent configuration. No part
// of the search has run.
func (s *State) refuseSearch(ctx *step.Context, e event.Search) {
	var ledger outcome.Ledger
	answer := ledger.End(outcome.Reason{
		ID:         e.RequestID,
		Failure:    model.Failf(model.CodeUnavailable, "this node has no recent configuration yet"),
		RetryAfter: notReadyRetryAfter,
	})
	ctx.Emit(effect.ReplyCaller{Call: e.Call, Answer: answer})
}

// handleDispatch passes a sub-request to the dispatcher if the node has a recent
// configuration, and refuses it otherwise. All work for upstreams passes through this
// function, so that a node which was paused or is partitioned starts no work on an
// outdated configuration.
func (s *State) handleDispatch(ctx *step.Context, from model.HostID, m message.Dispatch) {
	if s.config.Ready() {
		s.dispatch.HandleDispatch(ctx, from, m)
		return
	}
	ctx.Send(from, message.DispatchResult{
		Attempt:    m.Attempt,
		Upstream:   m.Upstream,
		Status:     message.StatusRefused,
		Reason:     model.CodeUnavailable,
		RetryAfter: int64(notReadyRetryAfter),
	})
}
