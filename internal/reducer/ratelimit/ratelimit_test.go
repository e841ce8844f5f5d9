package ratelimit

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestSharesAddUpToLimit checks that the shares of nodes that know the same demands add up to
// the limit, and that no node gets less than an equal part unless it wants less.
func TestSharesAddUpToLimit(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		limit := rapid.Float64Range(0, 1000).Draw(r, "limit")
		demands := rapid.SliceOfN(rapid.Custom(func(r *rapid.T) Demand {
			return Demand{Rate: rapid.Float64Range(0, 500).Draw(r, "rate"), Limited: rapid.Bool().Draw(r, "limited")}
		}), 1, 12).Draw(r, "demands")
		sum := 0.0
		equal := limit / float64(len(demands))
		for i, own := range demands {
			others := append(append([]Demand(nil), demands[:i]...), demands[i+1:]...)
			share := Share(limit, own, others)
			sum += share
			if share < min(own.wanted(), equal)-1e-6 {
				r.Errorf("node %d gets %v of %v, wants %v", i, share, limit, own.wanted())
			}
		}
		if math.Abs(sum-limit) > 1e-6*(1+limit) {
			r.Fatalf("the shares add up to %v, want %v", sum, limit)
		}
	})
}

// TestIdleShareIsLent checks that a limited node gets what the others leave.
func TestIdleShareIsLent(t *testing.T) {
	got := Share(30, Demand{Rate: 7, Limited: true}, []Demand{{Rate: 1}, {Rate: 2}, {}})
	if want := 30 - 1.25 - 2.5; math.Abs(got-want) > 1e-9 {
		t.Errorf("share %v, want %v", got, want)
	}
}

// TestBucketKeepsRate checks that a bucket gives no more tokens than its rate and burst allow,
// whatever the times at which it is used.
func TestBucketKeepsRate(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		start := model.Instant(time.Second)
		now := start
		b := NewBucket(now)
		rate := rapid.Float64Range(0, 50).Draw(r, "rate")
		b.SetRate(now, rate)
		taken := 0
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 100).Draw(r, "gap")) * time.Millisecond)
			if b.Wait(now, 1) == 0 {
				b.Take(now)
				taken++
			}
		}
		if allowed := 1 + b.burst() + rate*now.Sub(start).Seconds(); float64(taken) > allowed {
			r.Fatalf("%d tokens, allowed %.1f", taken, allowed)
		}
	})
}

// TestBucketWait checks that a token is there after the wait for it, and not before.
func TestBucketWait(t *testing.T) {
	now := model.Instant(time.Second)
	b := NewBucket(now)
	b.SetRate(now, 3)
	b.Take(now)
	wait := b.Wait(now, 1)
	if wait < 333*time.Millisecond || wait > 334*time.Millisecond {
		t.Fatalf("wait %v, want a third of a second", wait)
	}
	if b.Wait(now.Add(wait-time.Millisecond), 1) == 0 || b.Wait(now.Add(wait), 1) != 0 {
		t.Error("the token is not there after exactly the wait")
	}
	full := NewBucket(now)
	full.SetRate(now, 0)
	if full.Wait(now, 1) != maxWait || full.Tokens(now) > 0 {
		t.Errorf("wait %v, %v tokens at a rate of zero", full.Wait(now, 1), full.Tokens(now))
	}
}
