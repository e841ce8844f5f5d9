package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

const (
	// serviceTimeGain is the weight of a new observation in the moving average.
	serviceTimeGain = 0.1
	// serviceTimeClip bounds an observation relative to the average, so that one
	// outlier, such as a pause of this node, does not move it far. A lasting change
	// still moves it by a third with each observation.
	serviceTimeClip = 4
	// fastGain and slowGain are the weights of faster and slower observations in
	// the time that fast sub-requests take.
	fastGain = 0.5
	slowGain = 0.02
	// serviceTimeAge is the age at which neither is used any more: work that is
	// refused because of them would never renew them.
	serviceTimeAge = 1 * time.Second
)

// serviceTime follows the time that the upstream takes for a sub-request.
type serviceTime struct {
	mean time.Duration
	// fast is what the faster sub-requests take. A deadline that is nearer cannot
	// be met.
	fast time.Duration
	// observed is the time of the last observation.
	observed model.Instant
}

// observe adds one service time.
func (s *serviceTime) observe(now model.Instant, elapsed time.Duration) {
	s.observed = now
	if s.mean == 0 {
		s.mean, s.fast = elapsed, elapsed
		return
	}
	s.mean = moved(s.mean, min(elapsed, serviceTimeClip*s.mean), serviceTimeGain)
	if elapsed < s.fast {
		s.fast = moved(s.fast, elapsed, fastGain)
	} else {
		s.fast = moved(s.fast, elapsed, slowGain)
	}
	s.fast = min(s.fast, s.mean)
}

// moved returns an average moved towards an observation.
func moved(average, observation time.Duration, gain float64) time.Duration {
	return average + time.Duration(gain*float64(observation-average))
}

// expected returns the mean service time; zero if none is known.
func (s *serviceTime) expected(now model.Instant) time.Duration {
	if now.Sub(s.observed) >= serviceTimeAge {
		return 0
	}
	return s.mean
}

// least returns the time below which a deadline cannot be met; zero if none is
// known.
func (s *serviceTime) least(now model.Instant) time.Duration {
	if now.Sub(s.observed) >= serviceTimeAge {
		return 0
	}
	return s.fast
}
