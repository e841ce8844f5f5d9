// Package latency keeps a compact histogram of recent latencies and estimates
// quantiles from it.
package latency

import (
	"math"
	"time"
)

const (
	// firstBucketBound is the upper bound of the first bucket.
	firstBucketBound = 64 * time.Microsecond
	// bucketsPerOctave is the number of buckets per doubling of the latency.
	bucketsPerOctave = 4
	bucketCount      = 72
	// decayWindow is the number of samples after which all counts are halved, so that
	// old samples lose weight.
	decayWindow = 512
)

// MinSamples is the minimum number of samples for a quantile.
const MinSamples = 16

// Tracker is a histogram of recent latencies with exponential buckets. The zero
// value is empty.
type Tracker struct {
	counts [bucketCount]uint16
	total  uint16
}

// Observe adds a sample.
func (t *Tracker) Observe(d time.Duration) {
	t.counts[bucketIndex(d)]++
	t.total++
	if t.total >= decayWindow {
		t.decay()
	}
}

// decay halves all counts.
func (t *Tracker) decay() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

// Samples returns the number of samples, with old ones counted by their decayed
// weight.
func (t *Tracker) Samples() int { return int(t.total) }

// Quantile returns the latency below which the share q (0 to 1) of the recent
// samples lies. It interpolates within a bucket. It returns false while there are
// fewer than MinSamples samples.
func (t *Tracker) Quantile(q float64) (time.Duration, bool) {
	if t.total < MinSamples {
		return 0, false
	}
	rank := q * float64(t.total)
	below := 0.0
	for i, count := range t.counts {
		if count == 0 {
			continue
		}
		if below+float64(count) >= rank {
			low, high := lowerBound(i), upperBound(i)
			return low + time.Duration(float64(high-low)*(rank-below)/float64(count)), true
		}
		below += float64(count)
	}
	return upperBound(bucketCount - 1), true
}

// bucketIndex returns the index of the bucket that a latency falls into.
func bucketIndex(d time.Duration) int {
	if d <= firstBucketBound {
		return 0
	}
	i := int(math.Ceil(bucketsPerOctave * math.Log2(float64(d)/float64(firstBucketBound))))
	return min(i, bucketCount-1)
}

// upperBound returns the inclusive upper bound of a bucket.
func upperBound(i int) time.Duration {
	return time.Duration(float64(firstBucketBound) * math.Exp2(float64(i)/bucketsPerOctave))
}

// lowerBound returns the exclusive lower bound of a bucket.
func lowerBound(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return upperBound(i - 1)
}
