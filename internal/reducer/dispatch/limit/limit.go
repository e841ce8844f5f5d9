// Package limit adapts the concurrency limit of an upstream: additive increase
// and multiplicative decrease (AIMD) under a fixed ceiling, with slow start after
// a cold start or a reconnection. A request shed at the minimum limit pauses the
// upstream, with exponential backoff.
package limit

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Reason names what determined the current limit.
type Reason string

// Reasons for the current limit.
const (
	ReasonSlots     Reason = "slots"
	ReasonSlowStart Reason = "slow start"
	ReasonTakeover  Reason = "takeover"
	ReasonShed      Reason = "shed"
	ReasonErrors    Reason = "errors"
)

const (
	// decreaseFactor multiplies the limit at each decrease.
	decreaseFactor = 0.5
	// minLimit is the lowest value that a decrease can reach.
	minLimit = 1
	// increasePerSecond is the minimum additive increase, in slots per second; it
	// applies to small ceilings.
	increasePerSecond = 2
	// increaseShare is the additive increase per second as a share of the ceiling.
	increaseShare = 0.25
	// errorGain is the weight of one outcome in the moving average of the error
	// ratio.
	errorGain = 0.1
	// errorThreshold is the error ratio from which a failure decreases the limit.
	errorThreshold = 0.5
	// minPause and maxPause bound the pause after a request was shed at the
	// minimum limit.
	minPause = 10 * time.Millisecond
	maxPause = 500 * time.Millisecond
	// maxDoublings bounds the exponent of the pause, so that the shift does not
	// overflow.
	maxDoublings = 10
)

// Limit is the adaptive concurrency limit of one upstream.
type Limit struct {
	ceiling   int
	current   float64
	slowStart bool
	reason    Reason
	// lastDecrease is when the limit was last decreased. Sheds and failures of
	// requests sent earlier do not decrease it again.
	lastDecrease model.Instant
	// lastIncrease is the start of the interval that the next additive increase
	// covers.
	lastIncrease     model.Instant
	errorRatio       float64
	consecutiveSheds int
	pausedUntil      model.Instant
	// heldSlots is an additional upper bound from heldFrom until heldUntil.
	heldFrom  model.Instant
	heldUntil model.Instant
	heldSlots int
}

// SetCeiling sets the upper bound of the limit, in slots. A limit that was at the
// old ceiling moves to the new one.
func (l *Limit) SetCeiling(slots int) {
	if l.current == 0 || l.reason == ReasonSlots || l.current > float64(slots) {
		l.current = float64(slots)
	}
	if l.ceiling == 0 {
		l.reason = ReasonSlots
	}
	l.ceiling = slots
}

// BeginSlowStart sets the limit to one; each answer then adds one, up to the
// ceiling.
func (l *Limit) BeginSlowStart(now model.Instant) {
	if l.ceiling <= minLimit {
		return
	}
	l.current = minLimit
	l.slowStart = true
	l.reason = ReasonSlowStart
	l.lastIncrease = now
	l.errorRatio = 0
}

// Hold bounds the limit by the given slots for the duration d, because another
// node may still use the rest. Zero slots stop new requests.
func (l *Limit) Hold(slots int, now model.Instant, d time.Duration) {
	l.heldSlots = slots
	l.heldFrom = now
	l.heldUntil = now.Add(d)
}

// SetHeldSlots changes the bound of the hold in force.
func (l *Limit) SetHeldSlots(slots int) { l.heldSlots = slots }

// EndHold ends a hold early.
func (l *Limit) EndHold() { l.heldUntil = 0 }

// HeldFor returns how long the hold in force has lasted, or zero if there is none.
func (l *Limit) HeldFor(now model.Instant) time.Duration {
	if !l.IsHeld(now) {
		return 0
	}
	return now.Sub(l.heldFrom)
}

// IsHeld reports whether a hold is in force.
func (l *Limit) IsHeld(now model.Instant) bool { return now < l.heldUntil }

// Current returns how many requests may be in flight now.
func (l *Limit) Current(now model.Instant) int {
	if now < l.pausedUntil {
		return 0
	}
	limit := max(minLimit, min(l.ceiling, int(l.current)))
	if l.IsHeld(now) {
		limit = min(limit, l.heldSlots)
	}
	return limit
}

// PausedUntil returns the end of the latest pause; it is not in the future if no
// pause is in force.
func (l *Limit) PausedUntil() model.Instant { return l.pausedUntil }

// Reason returns what determines the current limit.
func (l *Limit) Reason(now model.Instant) Reason {
	if l.IsHeld(now) && l.heldSlots < int(l.current) {
		return ReasonTakeover
	}
	return l.reason
}

// Answered records that a request was answered, and increases the limit.
func (l *Limit) Answered(now model.Instant) {
	l.consecutiveSheds = 0
	l.errorRatio -= errorGain * l.errorRatio
	if l.slowStart {
		l.current++
	} else {
		l.current += l.additiveIncrease(now)
	}
	l.lastIncrease = now
	if l.current >= float64(l.ceiling) {
		l.current = float64(l.ceiling)
		l.slowStart = false
		l.reason = ReasonSlots
	}
}

// additiveIncrease returns the increase for the time since the last one, capped
// at one second.
func (l *Limit) additiveIncrease(now model.Instant) float64 {
	perSecond := max(increasePerSecond, increaseShare*float64(l.ceiling))
	return perSecond * min(1, now.Sub(l.lastIncrease).Seconds())
}

// Shed records that the upstream shed a request, and decreases the limit. If the
// limit is already at its minimum, new requests pause, for at most retryAfter if
// that is positive.
func (l *Limit) Shed(now, sent model.Instant, retryAfter time.Duration) {
	if sent < l.lastDecrease {
		return
	}
	if l.current <= minLimit {
		l.pause(now, retryAfter)
	}
	l.decrease(now, ReasonShed)
}

// Failed records that a request failed on the upstream or lost its connection. It
// decreases the limit if the error ratio has reached its threshold.
func (l *Limit) Failed(now, sent model.Instant) {
	l.errorRatio += errorGain * (1 - l.errorRatio)
	if l.errorRatio >= errorThreshold && sent >= l.lastDecrease {
		l.decrease(now, ReasonErrors)
	}
}

// decrease multiplies the limit by decreaseFactor and ends slow start.
func (l *Limit) decrease(now model.Instant, reason Reason) {
	l.current = max(minLimit, l.current*decreaseFactor)
	l.slowStart = false
	l.reason = reason
	l.lastDecrease = now
	l.lastIncrease = now
}

// pause stops new requests; the pause doubles with each consecutive shed.
func (l *Limit) pause(now model.Instant, retryAfter time.Duration) {
	longest := maxPause
	if retryAfter > 0 {
		longest = min(longest, retryAfter)
	}
	pause := min(longest, minPause<<min(l.consecutiveSheds, maxDoublings))
	l.consecutiveSheds++
	l.pausedUntil = now.Add(pause)
}
