package query

import (
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// minRestartTimeShare is the share of a search's total time that must remain for a
// restart.
const minRestartTimeShare = 0.25

// restart starts a search again with all of its shards on another version, after an
// upstream no longer held the pinned version. It does so at most once, and only if
// more keys can be searched at the other version than at the pinned one.
func (s *State) restart(ctx *step.Context, r *request) {
	r.versionGone = false
	total := r.deadline.Sub(r.startedAt)
	if r.restarted || float64(r.timeLeft(ctx.Now)) < minRestartTimeShare*float64(total) {
		return
	}
	pin := s.deps.Catalog.Pin(ctx, r.serviceConfigs(), s.settings.Preference)
	if pin.Version() == r.pin.Version() || pin.SearchableKeys() <= r.reachableKeys() {
		return
	}
	for i := range r.attempts {
		s.cancel(ctx, r, i)
	}
	r.restarted = true
	r.usePin(pin)
	ctx.Count(metricRestarts, "")
	s.scatter(ctx, r)
}

// reachableKeys returns the number of keys in shards that have not failed.
func (r *request) reachableKeys() int {
	keys := 0
	for i := range r.tasks {
		if r.tasks[i].state != taskFailed {
			keys += r.pin.Target(i).Keys
		}
	}
	return keys
}
