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
	// statusInterval is the time between two status reads of an upstream.
	statusInterval = 500 * time.Millisecond
	// statusTimeout ends a status read or a cancellation whose reply does not
	// come, together with its connection.
	statusTimeout = 1 * time.Second
	// drainHold is how long the drain signal of a reply holds against a status
	// that does not repeat it, because the status may lag.
	drainHold = 10 * time.Second
)

// drainSign is what told that an upstream is leaving.
type drainSign string

// The signs of a drain.
const (
	drainByReply    drainSign = "reply"
	drainByStatus   drainSign = "status"
	drainByConfig   drainSign = "configuration"
	drainByPlatform drainSign = "host list"
)

// status is what an upstream last said of itself, and who says that it leaves.
type status struct {
	// due is true when the next idle connection should read the status.
	due bool
	// observed is when the status was last read; zero if never.
	observed model.Instant
	holdings []model.Holding
	// inFlight is the load that the upstream reports; it may lag.
	inFlight int
	// announced is when the upstream itself last said that it is leaving; zero
	// if it does not.
	announced   model.Instant
	announcedBy drainSign
	// listed is true while the platform's host list says that it is leaving.
	listed bool
}

// drainSeen keeps the upstream's own announcement that it is leaving.
func (s *State) drainSeen(ctx *step.Context, l *lane, sign drainSign) {
	if !l.isDraining() {
		ctx.Count(metricDrains, string(sign))
	}
	l.status.announced = ctx.Now
	l.status.announcedBy = sign
}

// drainingBy returns the sign by which the upstream is leaving, or empty.
func (l *lane) drainingBy() drainSign {
	switch {
	case l.upstream.Draining:
		return drainByConfig
	case l.status.announced != 0:
		return l.status.announcedBy
	case l.status.listed:
		return drainByPlatform
	default:
		return ""
	}
}

// isDraining reports whether the upstream gets no new work.
func (l *lane) isDraining() bool { return l.drainingBy() != "" }

// sendControl uses idle connections for cancellations and the status read.
func (s *State) sendControl(ctx *step.Context, l *lane) {
	for len(l.cancels) > 0 {
		j := l.cancels[0]
		c := l.idleConnection()
		if j.connection != nil && c == nil {
			return
		}
		l.cancels = l.cancels[1:]
		if j.connection != nil {
			c.take(ctx, controlling)
			ctx.Emit(effect.CancelUpstream{Connection: c.id, Attempt: j.request.Attempt})
		}
	}
	if !l.status.due || !l.owner {
		return
	}
	if c := l.idleConnection(); c != nil {
		l.status.due = false
		c.take(ctx, controlling)
		ctx.Emit(effect.ReadUpstreamStatus{Connection: c.id})
	}
}

// HandleStatus takes in an upstream's status.
func (s *State) HandleStatus(ctx *step.Context, e event.UpstreamStatusRead) {
	c := s.connections[e.Connection]
	if c == nil || c.state != controlling {
		return
	}
	l := c.lane
	c.take(ctx, idle)
	l.status.observed = ctx.Now
	l.status.holdings = e.Holdings
	l.status.inFlight = e.InFlight
	s.observeDraining(ctx, l, e.Draining)
	s.adjustHold(ctx, l)
	s.proceed(ctx, l)
}

// observeDraining takes in what a status says; silence lifts a reply's
// announcement only after drainHold.
func (s *State) observeDraining(ctx *step.Context, l *lane, draining bool) {
	if draining {
		s.drainSeen(ctx, l, drainByStatus)
		return
	}
	if l.status.announcedBy == drainByStatus || ctx.Now.Sub(l.status.announced) >= drainHold {
		l.status.announced = 0
		l.status.announcedBy = ""
	}
}

// HandleCancelDone takes back the connection that carried a cancellation.
func (s *State) HandleCancelDone(ctx *step.Context, e event.UpstreamCancelDone) {
	c := s.connections[e.Connection]
	if c == nil || c.state != controlling {
		return
	}
	c.take(ctx, idle)
	s.proceed(ctx, c.lane)
}

// HandleHostList takes in the platform's list. A list that could not be read
// says nothing: an upstream that was leaving still is.
func (s *State) HandleHostList(ctx *step.Context, e event.HostList) {
	if !e.Failed {
		s.HandleLeaving(ctx, e.DrainingUpstreams)
	}
}

// HandleLeaving stops new work to upstreams that the platform says are leaving.
func (s *State) HandleLeaving(ctx *step.Context, upstreams []model.UpstreamID) {
	s.listed = make(map[model.UpstreamID]bool, len(upstreams))
	for _, id := range upstreams {
		s.listed[id] = true
	}
	for _, l := range s.lanes {
		listed := s.listed[l.upstream.ID]
		if l.status.listed == listed {
			continue
		}
		if listed && !l.isDraining() {
			ctx.Count(metricDrains, string(drainByPlatform))
		}
		l.status.listed = listed
		s.proceed(ctx, l)
	}
}
