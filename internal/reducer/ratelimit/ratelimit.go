// Package ratelimit divides a limit of requests per second among the nodes that share it, and
// holds each node to its share with a token bucket.
package ratelimit

import (
	"math"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

const (
	// burstTime is the time for which a bucket can save up its rate.
	burstTime = 500 * time.Millisecond
	// demandHeadroom is the factor by which a node's demand may grow before it is limited.
	demandHeadroom = 1.25
)

// Demand is what one node wants of a shared limit.
type Demand struct {
	// Rate is the rate at which the node sends, in requests per second.
	Rate float64
	// Limited is true if the node would send more than its share.
	Limited bool
}

// wanted returns the rate up to which the node can use a share.
func (d Demand) wanted() float64 {
	if d.Limited {
		return math.Inf(1)
	}
	return demandHeadroom * d.Rate
}

// Share returns a node's part of a limit, in requests per second, given its own demand and those
// of the others. The parts are max-min fair: a node that wants less than an equal part leaves
// the rest to the others. What nobody wants is divided equally. Nodes that know of the same
// demands get parts that add up to the limit.
func Share(limit float64, own Demand, others []Demand) float64 {
	wanted := make([]float64, 0, len(others)+1)
	for _, d := range others {
		wanted = append(wanted, d.wanted())
	}
	wanted = append(wanted, own.wanted())
	slices.Sort(wanted)
	left := limit
	for i, w := range wanted {
		equal := left / float64(len(wanted)-i)
		if w >= equal {
			// This node and all after it get equal parts of what is left.
			return min(own.wanted(), equal)
		}
		left -= w
	}
	return own.wanted() + left/float64(len(wanted))
}

// Bucket is a token bucket whose rate may change. The zero value is empty and never fills.
type Bucket struct {
	rate   float64
	tokens float64
	at     model.Instant
}

// NewBucket returns a bucket with one token.
func NewBucket(now model.Instant) Bucket { return Bucket{tokens: 1, at: now} }

// burst returns the number of tokens that the bucket can hold: at least one, since it could
// otherwise never give any, but none at a rate of zero.
func (b *Bucket) burst() float64 {
	if b.rate <= 0 {
		return 0
	}
	return max(1, b.rate*burstTime.Seconds())
}

// SetRate sets the number of tokens that the bucket gains per second.
func (b *Bucket) SetRate(now model.Instant, rate float64) {
	gained := b.rate * max(0, now.Sub(b.at).Seconds())
	b.rate, b.at = rate, now
	b.tokens = min(b.burst(), b.tokens+gained)
}

// Rate returns the number of tokens that the bucket gains per second.
func (b *Bucket) Rate() float64 { return b.rate }

// Tokens returns the number of tokens in the bucket.
func (b *Bucket) Tokens(now model.Instant) float64 {
	return min(b.burst(), b.tokens+b.rate*max(0, now.Sub(b.at).Seconds()))
}

// Take takes a token. The balance may become negative.
func (b *Bucket) Take(now model.Instant) { b.tokens, b.at = b.Tokens(now)-1, now }

// maxWait bounds the time that Wait returns, for a rate of zero.
const maxWait = time.Minute

// Wait returns the time until the bucket will have n tokens if none is taken meanwhile and there
// were no bound on its size.
func (b *Bucket) Wait(now model.Instant, n int) time.Duration {
	missing := float64(n) - b.Tokens(now)
	if missing <= 0 {
		return 0
	}
	if b.rate <= 0 {
		return maxWait
	}
	// One more nanosecond keeps rounding from ending the wait just before the token.
	return min(maxWait, time.Duration(missing/b.rate*float64(time.Second))+1)
}
