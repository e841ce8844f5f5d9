package relay

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Stop makes the relay answer each request by the given time, at which the node is about to
// exit. Requests that may take longer are refused from now on, so that their callers use
// another node; those that are open already are answered with what is known by then. It is called
// before the node is taken from the nodes that callers are told to use.
func (s *State) Stop(ctx *step.Context, by model.Instant) {
	s.stopBy = by
	s.stopsAsEntry = s.sharing.isEntry
	open := slices.SortedFunc(maps.Values(s.requests), func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	for _, r := range open {
		if r.deadline > by {
			r.endBy(by)
			s.progress(ctx, r)
		}
	}
}

// endBy brings the deadline of a request forward.
func (r *request) endBy(by model.Instant) {
	r.deadline = min(r.deadline, by)
	r.answerBy = min(r.answerBy, by)
	r.offerBy = min(r.offerBy, by)
}

// outlastsStop reports whether a new request may still be open when the node stops. One that may
// run only once needs its whole timeout; any other can be sent again by its caller.
func (s *State) outlastsStop(r *request) bool {
	if s.stopBy == 0 {
		return false
	}
	if r.config.Repeatable {
		return r.arrivedAt.Add(r.config.TargetLatency) > s.stopBy
	}
	return r.deadline > s.stopBy
}
