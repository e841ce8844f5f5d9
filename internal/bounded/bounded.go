// Package bounded converts numbers that come from outside the process, so that none is beyond what
// the rest of the code can compute with. A number out of range becomes the nearest bound: the
// sender means "very much" or "nothing", and the rest of what it says still holds.
package bounded

import (
	"cmp"
	"errors"
	"math"
	"strconv"
	"strings"
	"time"
)

// Bounds of numbers from other processes.
const (
	// MaxCount bounds numbers of requests, slots, connections, records and the like.
	MaxCount = 1_000_000
	// MaxRate bounds rates, in events per second.
	MaxRate = 1_000_000
	// MaxDuration bounds timeouts, ages and remaining times.
	MaxDuration = 24 * time.Hour
	// MaxBytes bounds sizes, in bytes.
	MaxBytes = 1 << 40
)

// Number returns n, or the bound that it exceeds. A float that is not a number becomes low.
func Number[N cmp.Ordered](n, low, high N) N {
	if n != n {
		return low
	}
	return min(high, max(low, n))
}

// Count returns a number of things from 0 to MaxCount.
func Count[N int | int64 | uint64](n N) int { return int(Number(n, 0, MaxCount)) }

// Rate returns a rate from 0 to MaxRate, in events per second.
func Rate(n float64) float64 { return Number(n, 0, MaxRate) }

// Duration returns a duration from 0 to MaxDuration.
func Duration(d time.Duration) time.Duration { return Number(d, 0, MaxDuration) }

// Span returns a duration from -MaxDuration to MaxDuration, for times relative to now.
func Span(d time.Duration) time.Duration { return Number(d, -MaxDuration, MaxDuration) }

// Nanoseconds is Duration for a number of nanoseconds.
func Nanoseconds(n int64) int64 { return int64(Duration(time.Duration(n))) }

// Units returns a number of units as a duration from 0 to MaxDuration.
func Units(n float64, unit time.Duration) time.Duration {
	return time.Duration(Number(n*float64(unit), 0, float64(MaxDuration)))
}

// ParseDecimal parses a decimal number from 0 to high, and reports whether the text is a number
// that is not negative.
func ParseDecimal(text string, high float64) (float64, bool) {
	n, err := strconv.ParseFloat(strings.TrimSpace(text), 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || math.IsNaN(n) || n < 0 {
		return 0, false
	}
	return min(high, n), true
}

// ParseWhole parses a whole number from 0 to high, and reports whether the text is a number that is
// not negative.
func ParseWhole(text string, high int64) (int64, bool) {
	n, err := strconv.ParseInt(strings.TrimSpace(text), 10, 64)
	if err != nil && !errors.Is(err, strconv.ErrRange) || n < 0 {
		return 0, false
	}
	return min(high, n), true
}
