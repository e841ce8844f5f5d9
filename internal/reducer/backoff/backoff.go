// Package backoff computes exponential backoff with jitter between attempts to
// reach a failing target.
package backoff

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// minDelay and maxDelay bound the exponential delay between two attempts; jitter
	// reduces the delay by up to one half.
	minDelay = 50 * time.Millisecond
	maxDelay = 1 * time.Second
	// maxDoublings bounds the exponent, so that the shift does not overflow.
	maxDoublings = 10
)

// Backoff spaces attempts exponentially with jitter. The zero value allows an
// immediate attempt.
type Backoff struct {
	// Failures counts the attempts that failed since the last success.
	Failures int
	// Until is the earliest time of the next attempt; zero means now.
	Until model.Instant
}

// Fail records a failed attempt, postpones the next one, and returns the delay.
// The delay is random between one half and the whole of the exponential delay.
func (b *Backoff) Fail(ctx *step.Context) time.Duration {
	longest := min(maxDelay, minDelay<<min(b.Failures, maxDoublings))
	b.Failures++
	delay := longest/2 + time.Duration(ctx.Random.Int64N(int64(longest/2)))
	b.Until = ctx.Now.Add(delay)
	return delay
}
