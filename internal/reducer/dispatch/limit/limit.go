// Package limit learns how many requests an upstream runs at once: additive
// increase and multiplicative decrease (AIMD) under a fixed ceiling, with slow
// start after a cold start or a reconnection. At the lowest limit a shed request
// pauses the upstream, with exponential backoff.
package limit

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Reason tells why the limit is what it is.
type Reason string

// The reasons.
const (
	ReasonSlots     Reason = "slots"
	ReasonSlowStart Reason = "slow start"
	ReasonTakeover  Reason = "takeover"
	ReasonShed      Reason = "shed"
	ReasonErrors    Reason = "errors"
)

const (
	// decrease is the factor of a decrease.
	decrease = 0.5
	// lowest is the limit that no decrease goes below.
	lowest = 1
	// increasePerSecond is the additive increase in slots, for small ceilings.
	increasePerSecond = 2
	// increaseShare is the additive increase per second as a share of the ceiling.
	increaseShare = 0.25
	// errorGain is the weight of one outcome in the moving error ratio.
	errorGain = 0.1
	// errorThreshold is the error ratio that decreases the limit.
	errorThreshold = 0.5
	// firstPause and longestPause bound the pause after a shed request at the
	// lowest limit.
	firstPause   = 10 * time.Millisecond
	longestPause = 500 * time.Millisecond
	// maxDoublings bounds the exponent of the pause.
	maxDoublings = 10
)

// Limit is the learned limit of one upstream.
type Limit struct {
	ceiling   int
	current   float64
	slowStart bool
	reason    Reason
	// decreased is when the limit was last decreased: the outcomes of requests
	// sent earlier say nothing new.
	decreased model.Instant
	// increased is when the limit last grew.
	increased   model.Instant
	errors      float64
	sheds       int
	pausedUntil model.Instant
	// heldUntil bounds a hold, and held is the limit from heldFrom until then.
	heldFrom  model.Instant
	heldUntil model.Instant
	held      int
}

// SetCeiling sets the number of slots that the limit never exceeds. A limit that
// stood at the old ceiling follows a higher one.
func (l *Limit) SetCeiling(slots int) {
	if l.current == 0 || l.reason == ReasonSlots || l.current > float64(slots) {
		l.current = float64(slots)
	}
	if l.ceiling == 0 {
		l.reason = ReasonSlots
	}
	l.ceiling = slots
}

// StartSlowly begins with one request at a time; each answer adds one.
func (l *Limit) StartSlowly(now model.Instant) {
	if l.ceiling <= lowest {
		return
	}
	l.current = lowest
	l.slowStart = true
	l.reason = ReasonSlowStart
	l.increased = now
	l.errors = 0
}

// Hold keeps the limit at the given slots for a while, because another node may
// still use the rest. Zero slots stop new requests.
func (l *Limit) Hold(slots int, now model.Instant, d time.Duration) {
	l.held = slots
	l.heldFrom = now
	l.heldUntil = now.Add(d)
}

// SetHeld changes the slots of a hold.
func (l *Limit) SetHeld(slots int) { l.held = slots }

// EndHold ends a hold before its time.
func (l *Limit) EndHold() { l.heldUntil = 0 }

// HeldSince returns how long the hold in force has lasted; zero if there is none.
func (l *Limit) HeldSince(now model.Instant) time.Duration {
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
	limit := max(lowest, min(l.ceiling, int(l.current)))
	if l.IsHeld(now) {
		limit = min(limit, l.held)
	}
	return limit
}

// PausedUntil returns the end of a pause; it lies in the past if there is none.
func (l *Limit) PausedUntil() model.Instant { return l.pausedUntil }

// Reason tells why the limit is what it is.
func (l *Limit) Reason(now model.Instant) Reason {
	if l.IsHeld(now) && l.held < int(l.current) {
		return ReasonTakeover
	}
	return l.reason
}

// Answered takes in that a request was answered.
func (l *Limit) Answered(now model.Instant) {
	l.sheds = 0
	l.errors -= errorGain * l.errors
	if l.slowStart {
		l.current++
	} else {
		l.current += l.growth(now)
	}
	l.increased = now
	if l.current >= float64(l.ceiling) {
		l.current = float64(l.ceiling)
		l.slowStart = false
		l.reason = ReasonSlots
	}
}

// growth returns the additive increase since the last one.
func (l *Limit) growth(now model.Instant) float64 {
	perSecond := max(increasePerSecond, increaseShare*float64(l.ceiling))
	return perSecond * min(1, now.Sub(l.increased).Seconds())
}

// Shed takes in that the upstream refused a request. The pause of an upstream
// that sheds at the lowest limit does not exceed retryAfter, if it gave one.
func (l *Limit) Shed(now, sent model.Instant, retryAfter time.Duration) {
	if sent < l.decreased {
		return
	}
	if l.current <= lowest {
		l.pause(now, retryAfter)
	}
	l.cut(now, ReasonShed)
}

// Failed takes in that a request failed on the upstream, or that its connection
// ended.
func (l *Limit) Failed(now, sent model.Instant) {
	l.errors += errorGain * (1 - l.errors)
	if l.errors >= errorThreshold && sent >= l.decreased {
		l.cut(now, ReasonErrors)
	}
}

// cut decreases the limit and ends slow start.
func (l *Limit) cut(now model.Instant, reason Reason) {
	l.current = max(lowest, l.current*decrease)
	l.slowStart = false
	l.reason = reason
	l.decreased = now
	l.increased = now
}

// pause stops new requests for a while.
func (l *Limit) pause(now model.Instant, retryAfter time.Duration) {
	longest := longestPause
	if retryAfter > 0 {
		longest = min(longest, retryAfter)
	}
	pause := min(longest, firstPause<<min(l.sheds, maxDoublings))
	l.sheds++
	l.pausedUntil = now.Add(pause)
}
