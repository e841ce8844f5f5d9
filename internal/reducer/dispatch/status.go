package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Status reads.
const (
	// statusInterval is the interval of the status reads of an upstream.
	statusInterval = 500 * time.Millisecond
	// statusTimeout is how long to wait for the reply to a status read or a
	// cancellation before its connection is closed.
	statusTimeout = 1 * time.Second
	// drainHold is how long the drain signal of a reply overrides a status that does
	// not report a drain, because the status may be stale.
	drainHold = 10 * time.Second
)

// drainSource names the source of an upstream's drain state.
type drainSource string

// Sources of the drain state.
const (
	drainByReply    drainSource = "reply"
	drainByStatus   drainSource = "status"
	drainByConfig   drainSource = "configuration"
	drainByPlatform drainSource = "host list"
)

// status is the last status of an upstream, and its drain state.
type status struct {
	// due is true if the next idle connection should read the status.
	due bool
	// observedAt is when the status was last read; zero if never.
	observedAt model.Instant
	holdings   []model.Holding
	// inFlight is the number of requests in flight that the upstream reports; it may
	// be stale.
	inFlight int
	// drainAnnouncedAt is when the upstream itself last announced that it is draining;
	// zero if it is not.
	drainAnnouncedAt model.Instant
	drainAnnouncedBy drainSource
	// platformDraining is true while the platform lists the upstream as draining.
	platformDraining bool
}

// recordDrain records the upstream's own announcement that it is draining.
func (s *State) recordDrain(ctx *step.Context, pool *upstreamPool, source drainSource) {
	if !pool.isDraining() {
		ctx.Count(metricDrains, string(source))
	}
	pool.status.drainAnnouncedAt = ctx.Now
	pool.status.drainAnnouncedBy = source
}

// drainingBy returns the source of the drain state, or the empty string if the
// upstream is not draining.
func (p *upstreamPool) drainingBy() drainSource {
	switch {
	case p.upstream.Draining:
		return drainByConfig
	case p.status.drainAnnouncedAt != 0:
		return p.status.drainAnnouncedBy
	case p.status.platformDraining:
		return drainByPlatform
	default:
		return ""
	}
}

// isDraining reports whether the upstream is draining, and so gets no new jobs.
func (p *upstreamPool) isDraining() bool { return p.drainingBy() != "" }

// sendControl sends pending cancellations and the status read on idle connections.
func (s *State) sendControl(ctx *step.Context, pool *upstreamPool) {
	for len(pool.cancels) > 0 {
		j := pool.cancels[0]
		c := pool.idleConnection()
		if j.connection != nil && c == nil {
			return
		}
		pool.cancels = pool.cancels[1:]
		if j.connection != nil {
			c.setState(ctx, controlling)
			ctx.Emit(effect.CancelUpstream{Connection: c.id, Attempt: j.request.Attempt})
		}
	}
	if !pool.status.due || !pool.owned {
		return
	}
	if c := pool.idleConnection(); c != nil {
		pool.status.due = false
		c.setState(ctx, controlling)
		ctx.Emit(effect.ReadUpstreamStatus{Connection: c.id})
	}
}

// HandleStatus handles a status that was read from an upstream.
func (s *State) HandleStatus(ctx *step.Context, e event.UpstreamStatusRead) {
	c := s.connections[e.Connection]
	if c == nil || c.state != controlling {
		return
	}
	pool := c.pool
	c.setState(ctx, idle)
	pool.status.observedAt = ctx.Now
	pool.status.holdings = e.Holdings
	pool.status.inFlight = e.InFlight
	s.observeDraining(ctx, pool, e.Draining)
	s.adjustHold(ctx, pool)
	s.reconcile(ctx, pool)
}

// observeDraining applies the drain flag of a status. A status without the flag ends
// a drain that a reply announced only after drainHold.
func (s *State) observeDraining(ctx *step.Context, pool *upstreamPool, draining bool) {
	if draining {
		s.recordDrain(ctx, pool, drainByStatus)
		return
	}
	if pool.status.drainAnnouncedBy == drainByStatus || ctx.Now.Sub(pool.status.drainAnnouncedAt) >= drainHold {
		pool.status.drainAnnouncedAt = 0
		pool.status.drainAnnouncedBy = ""
	}
}

// HandleCancelDone makes the connection that carried a cancellation idle again.
func (s *State) HandleCancelDone(ctx *step.Context, e event.UpstreamCancelDone) {
	c := s.connections[e.Connection]
	if c == nil || c.state != controlling {
		return
	}
	c.setState(ctx, idle)
	s.reconcile(ctx, c.pool)
}

// HandleHostList handles the platform's host list. A list that could not be read
// changes nothing: an upstream that was draining still is.
func (s *State) HandleHostList(ctx *step.Context, e event.HostList) {
	if !e.Failed {
		s.handleDrainingList(ctx, e.DrainingUpstreams)
	}
}

// handleDrainingList stops new jobs to the upstreams that the platform lists as
// draining, and resumes them to those no longer listed.
func (s *State) handleDrainingList(ctx *step.Context, upstreams []model.UpstreamID) {
	s.platformDraining = make(map[model.UpstreamID]bool, len(upstreams))
	for _, id := range upstreams {
		s.platformDraining[id] = true
	}
	for _, pool := range s.pools {
		listed := s.platformDraining[pool.upstream.ID]
		if pool.status.platformDraining == listed {
			continue
		}
		if listed && !pool.isDraining() {
			ctx.Count(metricDrains, string(drainByPlatform))
		}
		pool.status.platformDraining = listed
		s.reconcile(ctx, pool)
	}
}
