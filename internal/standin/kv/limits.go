package kv

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits are what the service takes.
type Limits struct {
	// WritesPerSecond and ReadsPerSecond bound the calls; each waiting watch
	// takes one read a second.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Burst is the time whose calls may come at once.
	Burst time.Duration
	// ValueBytes bounds one value.
	ValueBytes int
	// HistoryChanges is the number of changes kept for watches.
	HistoryChanges int
}

// DefaultLimits returns the limits that the platform states.
func DefaultLimits() Limits {
	return Limits{
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
		Burst:           250 * time.Millisecond,
		ValueBytes:      1 << 20,
		HistoryChanges:  1000,
	}
}

// meters count the calls against the limits.
type meters struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

// newMeters returns meters with full bursts.
func newMeters(limits Limits) meters {
	return meters{
		writes: newMeter(limits.WritesPerSecond, limits.Burst),
		reads:  newMeter(limits.ReadsPerSecond, limits.Burst),
	}
}

// newMeter returns a token bucket.
func newMeter(perSecond float64, burst time.Duration) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burst.Seconds())))
}

// admit counts a call and reports whether the limits leave room for it.
func (s *Store) admit(now model.Instant, call effect.CallStore) bool {
	at := time.Unix(0, int64(now))
	if isWrite(call.Verb) {
		return s.meters.writes.AllowN(at, 1)
	}
	s.reserveForWatches(now)
	return s.meters.reads.AllowN(at, 1)
}

// reserveForWatches takes one read a second off for each waiting watch.
func (s *Store) reserveForWatches(now model.Instant) {
	left := max(0, s.limits.ReadsPerSecond-float64(s.waiting()))
	s.meters.reads.SetLimitAt(time.Unix(0, int64(now)), rate.Limit(left))
}

// isWrite reports whether a call may change a key.
func isWrite(verb effect.StoreVerb) bool {
	switch verb {
	case effect.StoreCreate, effect.StoreSwap, effect.StoreDelete:
		return true
	default:
		return false
	}
}

// Calls counts the calls that the service took, a waiting watch as one.
type Calls struct {
	Get      uint64 `json:"get"`
	List     uint64 `json:"list"`
	Create   uint64 `json:"create"`
	Swap     uint64 `json:"swap"`
	Delete   uint64 `json:"delete"`
	Watch    uint64 `json:"watch"`
	Rejected uint64 `json:"rejected"`
}

// Calls returns the counts since the store was made.
func (s *Store) Calls() Calls { return s.calls }

// Total returns the number of calls of all kinds.
func (c Calls) Total() uint64 {
	return c.Get + c.List + c.Create + c.Swap + c.Delete + c.Watch
}

// add counts a call.
func (c *Calls) add(verb effect.StoreVerb) {
	switch verb {
	case effect.StoreGet:
		c.Get++
	case effect.StoreList:
		c.List++
	case effect.StoreCreate:
		c.Create++
	case effect.StoreSwap:
		c.Swap++
	case effect.StoreDelete:
		c.Delete++
	case effect.StoreWatch:
		c.Watch++
	}
}
