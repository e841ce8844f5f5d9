package registry

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// upstreams are the registrations that the node believes in.
type upstreams struct {
	known map[model.UpstreamID]model.Registration
	// list holds the known registrations in the order of their identifiers.
	list []model.Registration
	// sum identifies the list.
	sum uint64
	// trusted is when registrations that are missing count as gone again after an
	// outage; zero means now.
	trusted model.Instant
}

func newUpstreams() upstreams {
	return upstreams{known: make(map[model.UpstreamID]model.Registration)}
}

// Upstreams returns the registrations that are believed in, ordered by
// identifier. The slice must not be changed.
func (s *State) Upstreams() []model.Registration { return s.upstreams.list }

// takeUpstreams takes in a whole reading. A registration that is missing is gone,
// except for a while after an outage of the store, during which registrations of
// live upstreams may have lapsed.
func (s *State) takeUpstreams(ctx *step.Context, e event.RegistryResult) bool {
	u := &s.upstreams
	l := &s.loops[taskUpstreams]
	gap := time.Duration(outageGap * float64(s.settings.PollInterval))
	if l.good != 0 && ctx.Now.Sub(l.good) > gap {
		u.trusted = ctx.Now.Add(s.settings.ReappearTime)
	}
	read := make(map[model.UpstreamID]model.Registration, len(e.Upstreams))
	for _, registration := range e.Upstreams {
		read[registration.Upstream.ID] = registration
	}
	if ctx.Now < u.trusted {
		keepMissing(read, u.known)
	}
	if sameRegistrations(read, u.known) {
		return false
	}
	list := make([]model.Registration, 0, len(read))
	for _, registration := range read {
		list = append(list, registration)
	}
	u.set(list)
	return true
}

// keepMissing adds the known registrations that a reading lacks, unless their
// upstreams had said that they leave or their addresses were taken over.
func keepMissing(read, known map[model.UpstreamID]model.Registration) {
	taken := make(map[string]bool, len(read))
	for _, registration := range read {
		taken[registration.Upstream.Address] = true
	}
	for id, registration := range known {
		if _, there := read[id]; !there && !registration.Upstream.Draining && !taken[registration.Upstream.Address] {
			read[id] = registration
		}
	}
}

// sameRegistrations reports whether two readings mean the same.
func sameRegistrations(a, b map[model.UpstreamID]model.Registration) bool {
	if len(a) != len(b) {
		return false
	}
	for id, registration := range a {
		if other, there := b[id]; !there || other != registration {
			return false
		}
	}
	return true
}
