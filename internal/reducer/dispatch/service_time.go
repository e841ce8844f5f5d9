package dispatch

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

const (
	// serviceTimeGain is the weight of a new observation in the mean.
	serviceTimeGain = 0.1
	// serviceTimeClip bounds an observation to a multiple of the mean, so that one
	// outlier, such as a pause of this node, does not move the mean far. A lasting
	// change still moves it by up to about a third with each observation.
	serviceTimeClip = 4
	// fastGain and slowGain are the weights of faster and slower observations in
	// serviceTime.fast.
	fastGain = 0.5
	slowGain = 0.02
	// serviceTimeMaxAge is the age from which neither estimate is used. Without it,
	// estimates that cause all work to be refused would never be updated.
	serviceTimeMaxAge = 1 * time.Second
)

// serviceTime estimates the time that an upstream takes for a sub-request.
type serviceTime struct {
	mean time.Duration
	// fast is the estimated time of fast sub-requests. A job with less time left is
	// not expected to meet its deadline.
	fast time.Duration
	// observedAt is the time of the last observation.
	observedAt model.Instant
}

// observe adds one service time.
func (s *serviceTime) observe(now model.Instant, elapsed time.Duration) {
	s.observedAt = now
	if s.mean == 0 {
		s.mean, s.fast = elapsed, elapsed
		return
	}
	s.mean = ewma(s.mean, min(elapsed, serviceTimeClip*s.mean), serviceTimeGain)
	if elapsed < s.fast {
		s.fast = ewma(s.fast, elapsed, fastGain)
	} else {
		s.fast = ewma(s.fast, elapsed, slowGain)
	}
	s.fast = min(s.fast, s.mean)
}

// ewma returns an exponentially weighted moving average after an observation.
func ewma(average, observation time.Duration, gain float64) time.Duration {
	return average + time.Duration(gain*float64(observation-average))
}

// expected returns the mean service time, or zero if no recent one is known.
func (s *serviceTime) expected(now model.Instant) time.Duration {
	if now.Sub(s.observedAt) >= serviceTimeMaxAge {
		return 0
	}
	return s.mean
}

// minimum returns the time that a job needs at least, or zero if no recent estimate
// is known.
func (s *serviceTime) minimum(now model.Instant) time.Duration {
	if now.Sub(s.observedAt) >= serviceTimeMaxAge {
		return 0
	}
	return s.fast
}
