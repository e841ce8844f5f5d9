package query

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// maxExposed is how many upstreams a search of unknown content may be running
	// on, or have crashed, before one of them has replied.
	maxExposed = 2
	// defaultProbeDelay is the time from one canary to the next while no latency
	// of the shard is known.
	defaultProbeDelay = 10 * time.Millisecond
	// maxProbeDelayPart bounds that time to a part of the search's time.
	maxProbeDelayPart = 8
	// maxProbeShare is the share of a search's time after which the rest is
	// scattered although no canary has replied or crashed.
	maxProbeShare = 0.5
)

// contentPrint is the fingerprint of a search's content for all services.
func (r *request) contentPrint() model.Fingerprint { return quarantine.Fingerprint("", r.body) }

// needsProbe reports whether a search would reach more upstreams at once than
// its content may crash. A suspect has a canary of its own. One service whose
// policy asks for a canary is enough.
func (s *State) needsProbe(r *request) bool {
	if s.settings.NoProbe || r.suspect || len(r.tasks) <= maxExposed {
		return false
	}
	wanted := slices.ContainsFunc(r.services, func(u serviceRef) bool { return !u.config.Policy.NoCanary })
	if !wanted {
		return false
	}
	return !s.parts.Quarantine.IsKnownSafe(r.contentPrint())
}

// exposed counts the upstreams that the search crashed or may be running on.
func (r *request) exposed() int { return r.crashes + r.openAttempts() }

// openAttempts counts the attempts that may still run.
func (r *request) openAttempts() int {
	n := 0
	for i := range r.attempts {
		if !r.attempts[i].settled {
			n++
		}
	}
	return n
}

// probe sends one waiting task as a canary.
func (s *State) probe(ctx *step.Context, r *request) {
	r.probeAt = 0
	for i := range r.tasks {
		t := &r.tasks[i]
		if t.state != taskWaiting {
			continue
		}
		s.startTask(ctx, r, i)
		if t.state != taskRunning {
			continue
		}
		service := r.serviceOf(t)
		delay, _ := service.stats.hedgeDelay(t.shard, &service.config.Policy)
		if delay <= 0 {
			delay = defaultProbeDelay
		}
		delay = min(delay, r.deadline.Sub(r.started)/maxProbeDelayPart)
		r.probeAt = ctx.Now.Add(delay)
		ctx.Count(metricCanaries, "")
		return
	}
}

// stepProbe scatters the rest of a search once a canary has replied. While none
// has, it sends one more, so that a straggler does not hold the search up.
func (s *State) stepProbe(ctx *step.Context, r *request) {
	share := time.Duration(maxProbeShare * float64(r.deadline.Sub(r.started)))
	switch {
	case r.merge.Searched() > 0:
		s.parts.Quarantine.RecordSafe(r.contentPrint())
		s.endProbe(ctx, r)
	case r.crashes >= maxCrashes:
		// The second crash has ended all tasks.
	case r.crashes == 0 && ctx.Now.Sub(r.started) >= share:
		s.endProbe(ctx, r)
	case r.openAttempts() == 0:
		s.probe(ctx, r)
	case r.probeAt > 0 && !ctx.Now.Before(r.probeAt) && r.exposed() < maxExposed:
		s.probe(ctx, r)
		r.probeAt = r.started.Add(share)
	}
}

// endProbe scatters the rest and lets the canaries be hedged.
func (s *State) endProbe(ctx *step.Context, r *request) {
	r.probing = false
	r.probeAt = 0
	for i := range r.tasks {
		if r.tasks[i].state == taskRunning {
			s.armHedge(ctx, r, &r.tasks[i])
		}
	}
	s.scatter(ctx, r)
}
