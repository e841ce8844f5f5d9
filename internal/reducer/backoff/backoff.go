// Package backoff spaces the attempts to reach something that fails.
package backoff

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

const (
	// First and Longest bound the time between two attempts.
	First   = 50 * time.Millisecond
	Longest = 1 * time.Second
	// maxDoublings bounds the exponent.
	maxDoublings = 10
)

// Backoff spaces attempts exponentially with jitter. The zero value allows an
// attempt at once.
type Backoff struct {
	// Failures counts the attempts that failed since the last success.
	Failures int
	// Until is the time of the next attempt; zero means now.
	Until model.Instant
}

// Fail puts the next attempt off, with jitter of one half, and returns by how
// much.
func (b *Backoff) Fail(ctx *step.Context) time.Duration {
	longest := min(Longest, First<<min(b.Failures, maxDoublings))
	b.Failures++
	delay := longest/2 + time.Duration(ctx.Random.Int64N(int64(longest/2)))
	b.Until = ctx.Now.Add(delay)
	return delay
}
