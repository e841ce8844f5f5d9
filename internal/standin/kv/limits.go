package kv

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Limits bound the rates and sizes that the service accepts.
type Limits struct {
	// WritesPerSecond and ReadsPerSecond bound the calls; each waiting watch counts
	// as one read per second.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// Burst is the period whose number of calls, at the permitted rate, may arrive at
	// once.
	Burst time.Duration
	// ValueBytes is the maximum size of a value in bytes.
	ValueBytes int
	// HistoryChanges is the number of changes kept for watches.
	HistoryChanges int
}

// DefaultLimits returns the documented limits of the platform.
func DefaultLimits() Limits {
	return Limits{
		WritesPerSecond: 300,
		ReadsPerSecond:  2000,
		Burst:           250 * time.Millisecond,
		ValueBytes:      1 << 20,
		HistoryChanges:  1000,
	}
}

// limiters are the token buckets of the rate limits.
type limiters struct {
	writes *rate.Limiter
	reads  *rate.Limiter
}

// newLimiters returns limiters whose buckets are full.
func newLimiters(limits Limits) limiters {
	return limiters{
		writes: newLimiter(limits.WritesPerSecond, limits.Burst),
		reads:  newLimiter(limits.ReadsPerSecond, limits.Burst),
	}
}

// newLimiter returns a token bucket that holds the calls of one burst.
func newLimiter(perSecond float64, burst time.Duration) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burst.Seconds())))
}

// admit reports whether the rate limits allow a call, and counts it against them.
func (s *Store) admit(now model.Instant, call effect.CallStore) bool {
	at := time.Unix(0, int64(now))
	if isWrite(call.Verb) {
		return s.limiters.writes.AllowN(at, 1)
	}
	s.reserveForWatches(now)
	return s.limiters.reads.AllowN(at, 1)
}

// reserveForWatches lowers the read limit by one read per second for each waiting
// watch.
func (s *Store) reserveForWatches(now model.Instant) {
	left := max(0, s.limits.ReadsPerSecond-float64(s.waitingWatches()))
	s.limiters.reads.SetLimitAt(time.Unix(0, int64(now)), rate.Limit(left))
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

// Calls counts the calls to the service. A waiting watch counts once.
type Calls struct {
	Get      uint64 `json:"get"`
	List     uint64 `json:"list"`
	Create   uint64 `json:"create"`
	Swap     uint64 `json:"swap"`
	Delete   uint64 `json:"delete"`
	Watch    uint64 `json:"watch"`
	Rejected uint64 `json:"rejected"`
}

// Calls returns the counts since the store was created.
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
