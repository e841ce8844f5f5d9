package relay

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// A gathered request is answered with the parts that have arrived shortly before its target
// latency, which counts from the moment at which the caller began its request. The time on
// the way, the time that the caller has spent before, and the delay of a busy node are
// therefore subtracted.

const (
	// answerShare is the share of the target latency that is left after the answer was
	// merged, written and read.
	answerShare = 0.91
	// assumedRoundTripShare is the round trip to a caller as a share of the target latency
	// if it is not known.
	assumedRoundTripShare = 0.06
	// maxRoundTripShare bounds the measured round trip that is subtracted, and maxSpentShare
	// the time that the caller has spent. Beyond them the answer is hardly in time, and as
	// useful later: a caller that has spent more returns after a refusal or has another
	// budget.
	maxRoundTripShare = 0.3
	maxSpentShare     = 0.3
	// maxLagShare bounds the lag of the timers that is subtracted.
	maxLagShare = 0.15
	// lagQuantile is the quantile of the timers' lag.
	lagQuantile = 0.9
)

// timeToAnswer returns the time from a request's arrival to its answer. A round trip of zero
// is unknown.
func timeToAnswer(target, roundTrip, spent, lag time.Duration) time.Duration {
	share := func(share float64) time.Duration { return time.Duration(share * float64(target)) }
	if roundTrip == 0 {
		roundTrip = share(assumedRoundTripShare)
	}
	if spent > share(maxSpentShare) {
		spent = 0
	}
	return share(answerShare) - min(roundTrip, share(maxRoundTripShare)) - spent - min(lag, share(maxLagShare))
}

// lag returns how late the timers of requests fire. With many shards on a slow host it is
// milliseconds, and an answer would miss its target by as much.
func (s *State) lag() time.Duration {
	lag, _ := s.timerLag.Quantile(lagQuantile)
	return lag
}

// callerBudgetTTL is how long the largest timeout of a route's callers is remembered.
const callerBudgetTTL = 10 * time.Second

// callerBudget tracks the largest timeout that the callers of a route have sent lately: the
// time that they allow for a request when they begin.
type callerBudget struct {
	largest time.Duration
	seenAt  model.Instant
}

// spent returns the time that a caller has spent on a request before it sent it, for
// example to open a connection: what its timeout lacks of the largest one. It is zero if the
// caller sent no timeout.
func (b *callerBudget) spent(now model.Instant, timeout time.Duration) time.Duration {
	if timeout <= 0 {
		return 0
	}
	if timeout >= b.largest || now.Sub(b.seenAt) > callerBudgetTTL {
		b.largest, b.seenAt = timeout, now
	}
	return max(0, b.largest-timeout)
}
