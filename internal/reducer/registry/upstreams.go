package registry

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// upstreams are the registrations that the node believes in.
type upstreams struct {
	// read is the newest reading of the registry, which nodes share, and sum
	// identifies it.
	read []model.Registration
	sum  uint64
	// known is what the node believes: the reading, and what may yet come back after
	// an outage.
	known map[model.UpstreamID]model.Registration
	// list holds the known registrations in the order of their identifiers.
	list []model.Registration
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

// takeReading takes in a reading that was made at a time, by this node or another. A
// registration that is missing is gone, except for a while after an outage of the
// store, during which registrations of live upstreams may have lapsed. It reports
// whether the node believes something else now.
func (s *State) takeReading(ctx *step.Context, read []model.Registration, made model.Instant) bool {
	u := &s.upstreams
	before := s.loops[taskUpstreams].good
	gap := time.Duration(outageGap * float64(s.settings.PollInterval))
	if before != 0 && made.Sub(before) > gap {
		u.trusted = ctx.Now.Add(s.settings.ReappearTime)
	}
	u.read = read
	u.sum = sumRegistrations(read)
	next := make(map[model.UpstreamID]model.Registration, len(read))
	for _, registration := range read {
		next[registration.Upstream.ID] = registration
	}
	if ctx.Now < u.trusted {
		keepMissing(next, u.known)
	}
	if maps.Equal(next, u.known) {
		return false
	}
	u.known = next
	u.list = sortedRegistrations(next)
	return true
}

// sortedRegistrations returns registrations in the order of their identifiers.
func sortedRegistrations(known map[model.UpstreamID]model.Registration) []model.Registration {
	return slices.SortedFunc(maps.Values(known), func(a, b model.Registration) int {
		return cmp.Compare(a.Upstream.ID, b.Upstream.ID)
	})
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
