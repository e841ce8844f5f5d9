package query

import (
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// minRestartTimeShare is the share of a search's total time that must remain for a
// restart.
const minRestartTimeShare = 0.25

// restart starts a search again with all of its shards on another version, at most
// once. It is called when upstreams no longer hold the pinned version, and does so
// only if the other version covers more keys than the pinned one still can.
func (s *State) restart(ctx *step.Context, r *request) {
	r.versionGone = false
	whole := r.deadline.Sub(r.started)
	if r.restarted || float64(r.timeLeft(ctx.Now)) < minRestartTimeShare*float64(whole) {
		return
	}
	pin := s.parts.Catalog.Pin(ctx, r.configs(), s.settings.Preference)
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

// configs returns the services of a request.
func (r *request) configs() []*model.Service {
	configs := make([]*model.Service, len(r.services))
	for i := range r.services {
		configs[i] = r.services[i].config
	}
	return configs
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
