// Package bucket limits a rate by a token bucket.
package bucket

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// burst is the time for which unused tokens are kept.
const burst = 250 * time.Millisecond

// Bucket holds the tokens of one limit. The zero value is full at first use.
type Bucket struct {
	tokens float64
	filled model.Instant
	used   bool
}

// capacity returns how many tokens a bucket holds at a rate per second.
func capacity(rate float64) float64 { return max(1, rate*burst.Seconds()) }

// Wait returns how long the next token takes at a rate per second; zero if there
// is one.
func (b *Bucket) Wait(now model.Instant, rate float64) time.Duration {
	b.fill(now, rate)
	if b.tokens >= 1 {
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

// Take uses a token that Wait has found.
func (b *Bucket) Take() { b.tokens-- }

// fill adds the tokens of the time since the last use.
func (b *Bucket) fill(now model.Instant, rate float64) {
	if !b.used {
		b.used = true
		b.tokens = capacity(rate)
	}
	b.tokens = min(capacity(rate), b.tokens+rate*now.Sub(b.filled).Seconds())
	b.filled = now
}
