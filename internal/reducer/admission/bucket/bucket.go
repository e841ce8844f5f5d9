// Package bucket implements a token-bucket rate limiter.
package bucket

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// burst is the time for which unused tokens accumulate at the rate of the limit.
const burst = 250 * time.Millisecond

// Bucket holds the tokens of one rate limit. The zero value is full at first use.
type Bucket struct {
	tokens      float64
	filledAt    model.Instant
	initialized bool
}

// capacity returns the maximum number of tokens at a rate per second. It is at least
// one.
func capacity(rate float64) float64 { return max(1, rate*burst.Seconds()) }

// Wait returns the time until a token is available at a rate per second; zero means
// that one is available now.
func (b *Bucket) Wait(now model.Instant, rate float64) time.Duration {
	b.refill(now, rate)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// Take takes one token. The caller must have called Wait and got zero.
func (b *Bucket) Take() { b.tokens-- }

// refill adds the tokens for the time since the last refill.
func (b *Bucket) refill(now model.Instant, rate float64) {
	if !b.initialized {
		b.initialized = true
		b.tokens = capacity(rate)
	}
	b.tokens = min(capacity(rate), b.tokens+rate*now.Sub(b.filledAt).Seconds())
	b.filledAt = now
}
