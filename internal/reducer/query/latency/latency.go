// Package latency keeps a compact histogram of recent latencies and answers
// quantiles from it.
package latency

import (
	"math"
	"time"
)

const (
	// lowest is the upper bound of the first bucket.
	lowest = 64 * time.Microsecond
	// perOctave is how many buckets a doubling of the latency spans.
	perOctave = 4
	buckets   = 72
	// window is the number of samples after which all counts are halved, so that
	// old samples fade.
	window = 512
)

// MinSamples is the least number of samples that a quantile is computed from.
const MinSamples = 16

// Tracker is a histogram of recent latencies with buckets of equal ratio. The
// zero value is empty.
type Tracker struct {
	counts [buckets]uint16
	total  uint16
}

// Observe adds a sample.
func (t *Tracker) Observe(d time.Duration) {
	t.counts[bucketOf(d)]++
	t.total++
	if t.total >= window {
		t.fade()
	}
}

// fade halves all counts.
func (t *Tracker) fade() {
	t.total = 0
	for i := range t.counts {
		t.counts[i] /= 2
		t.total += t.counts[i]
	}
}

// Samples returns the number of samples that count.
func (t *Tracker) Samples() int { return int(t.total) }

// Quantile returns the latency below which the share q of the recent samples
// lies, and false while there are too few samples. It interpolates within a
// bucket.
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
	return upperBound(buckets - 1), true
}

// bucketOf returns the bucket of a latency.
func bucketOf(d time.Duration) int {
	if d <= lowest {
		return 0
	}
	i := int(math.Ceil(perOctave * math.Log2(float64(d)/float64(lowest))))
	return min(i, buckets-1)
}

// upperBound returns the highest latency of a bucket.
func upperBound(i int) time.Duration {
	return time.Duration(float64(lowest) * math.Exp2(float64(i)/perOctave))
}

// lowerBound returns the latency that a bucket starts above.
func lowerBound(i int) time.Duration {
	if i == 0 {
		return 0
	}
	return upperBound(i - 1)
}
