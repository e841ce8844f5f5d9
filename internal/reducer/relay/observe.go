package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Sharing of observations answers the pattern "many nodes use an upstream, each of
// them seldom, and it turns slow or fails": together the nodes of a failure domain
// have seen enough within a second to turn away.
const (
	// sharedTime is how long shared observations count: two rounds of sharing.
	sharedTime = 2500 * time.Millisecond
	// leastShared is the number of attempts below which they say little.
	leastShared = 4
	// longestRatio bounds by how much they change a node's own estimate.
	longestRatio = 8
)

// shared is what the nodes of the failure domain saw of an upstream.
type shared struct {
	seen model.Observation
	at   model.Instant
}

// isFresh reports whether the observations count.
func (s *shared) isFresh(now model.Instant) bool {
	return s.at != 0 && now.Sub(s.at) < sharedTime && s.seen.Samples() >= leastShared
}

// failing returns the share of failed attempts.
func (s *shared) failing() float64 {
	return float64(s.seen.Failed) / float64(s.seen.Samples())
}

// ratio returns by how much the upstream is slower than the node's own estimate.
func (s *shared) ratio(own time.Duration) float64 {
	if own <= 0 || s.seen.Answered < leastShared {
		return 1
	}
	mean := float64(s.seen.TotalLatency) / float64(s.seen.Answered)
	return min(longestRatio, max(1.0/longestRatio, mean/float64(own)))
}

// TakeObservations returns what this node saw since the last call, ordered by
// upstream.
func (s *State) TakeObservations() []model.Observation {
	var list []model.Observation
	for id, l := range s.lanes {
		if l.seen.Samples() == 0 {
			continue
		}
		l.seen.Upstream = id
		list = append(list, l.seen)
		l.seen = model.Observation{}
	}
	slices.SortFunc(list, func(a, b model.Observation) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return list
}

// HandleObservations takes in what the nodes of the failure domain saw.
func (s *State) HandleObservations(ctx *step.Context, list []model.Observation) {
	for _, seen := range list {
		if l := s.lanes[seen.Upstream]; l != nil {
			l.shared = shared{seen: seen, at: ctx.Now}
		}
	}
}
