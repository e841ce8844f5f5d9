package query

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// maxExposedUpstreams bounds the upstreams that a search of unknown content may be
	// running on, or have crashed, before one of them has replied.
	maxExposedUpstreams = 2
	// defaultCanaryDelay is the time from one canary to the next when the shard has no
	// hedge delay.
	defaultCanaryDelay = 10 * time.Millisecond
	// maxCanaryDelayDivisor bounds the time between canaries to the search's total
	// time divided by this.
	maxCanaryDelayDivisor = 8
	// maxCanaryPhaseShare is the share of a search's total time after which the rest
	// is scattered even though no canary has replied or crashed.
	maxCanaryPhaseShare = 0.5
)

// contentFingerprint returns the fingerprint of a search's content, independent of
// the service.
func (r *request) contentFingerprint() model.Fingerprint { return quarantine.Fingerprint("", r.body) }

// needsCanaryPhase reports whether a search must run on canaries first: it would
// reach more than maxExposedUpstreams at once, at least one of its services asks for
// a canary, and its content is not known to be safe. Suspect requests are excluded,
// since scatter sends a canary for them.
func (s *State) needsCanaryPhase(r *request) bool {
	if s.settings.NoCanary || r.suspect || len(r.tasks) <= maxExposedUpstreams {
		return false
	}
	canaryWanted := slices.ContainsFunc(r.services, func(ref serviceRef) bool { return !ref.config.Policy.NoCanary })
	if !canaryWanted {
		return false
	}
	return !s.deps.Quarantine.IsKnownSafe(r.contentFingerprint())
}

// exposedUpstreams counts the upstreams that the search has crashed or may be
// running on.
func (r *request) exposedUpstreams() int { return r.crashes + r.openAttempts() }

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

// sendCanary sends one waiting task as a canary and sets the time of the next canary.
func (s *State) sendCanary(ctx *step.Context, r *request) {
	r.nextCanaryAt = 0
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
			delay = defaultCanaryDelay
		}
		delay = min(delay, r.deadline.Sub(r.startedAt)/maxCanaryDelayDivisor)
		r.nextCanaryAt = ctx.Now.Add(delay)
		ctx.Count(metricCanaries, "")
		return
	}
}

// advanceCanaryPhase scatters the rest of a search once a canary has replied. Until
// then it sends one more canary, so that a straggler does not delay the search.
func (s *State) advanceCanaryPhase(ctx *step.Context, r *request) {
	share := time.Duration(maxCanaryPhaseShare * float64(r.deadline.Sub(r.startedAt)))
	switch {
	case r.merge.Searched() > 0:
		s.deps.Quarantine.RecordSafe(r.contentFingerprint())
		s.endCanaryPhase(ctx, r)
	case r.crashes >= maxCrashes:
		// handleCrash has failed all tasks.
	case r.crashes == 0 && ctx.Now.Sub(r.startedAt) >= share:
		s.endCanaryPhase(ctx, r)
	case r.openAttempts() == 0:
		s.sendCanary(ctx, r)
	case r.nextCanaryAt > 0 && !ctx.Now.Before(r.nextCanaryAt) && r.exposedUpstreams() < maxExposedUpstreams:
		s.sendCanary(ctx, r)
		r.nextCanaryAt = r.startedAt.Add(share)
	}
}

// endCanaryPhase scatters the remaining tasks and schedules hedges for the canaries.
func (s *State) endCanaryPhase(ctx *step.Context, r *request) {
	r.inCanaryPhase = false
	r.nextCanaryAt = 0
	for i := range r.tasks {
		if r.tasks[i].state == taskRunning {
			s.scheduleHedge(ctx, r, &r.tasks[i])
		}
	}
	s.scatter(ctx, r)
}
