package latency

import (
	"math/rand/v2"
	"testing"
	"time"
)

func TestQuantileNeedsSamples(t *testing.T) {
	var tracker Tracker
	for range MinSamples - 1 {
		tracker.Observe(time.Millisecond)
	}
	if _, ok := tracker.Quantile(0.95); ok {
		t.Fatal("got a quantile from too few samples")
	}
}

func TestQuantileAccuracy(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	var tracker Tracker
	for range 500 {
		tracker.Observe(time.Duration(random.IntN(10_000)) * time.Microsecond)
	}
	got, _ := tracker.Quantile(0.95)
	if want := 9500 * time.Microsecond; got < want*8/10 || got > want*12/10 {
		t.Fatalf("got %v, want about %v", got, want)
	}
}

func TestOldSamplesDecay(t *testing.T) {
	var tracker Tracker
	for range decayWindow {
		tracker.Observe(time.Second)
	}
	for range 4 * decayWindow {
		tracker.Observe(time.Millisecond)
	}
	if got, _ := tracker.Quantile(0.9); got > 2*time.Millisecond {
		t.Fatalf("got %v after four windows of short latencies", got)
	}
}
