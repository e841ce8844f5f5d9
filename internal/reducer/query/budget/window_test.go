package budget

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestWindowNeverExceeded checks that the extra attempts that a window permits stay within
// the limits in every period of its length, however the attempts are spread over time.
func TestWindowNeverExceeded(t *testing.T) {
	const length = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Share: model.Percent(rapid.IntRange(0, 30).Draw(t, "share")), Burst: float64(rapid.IntRange(0, 20).Draw(t, "burst"))}
		var w Window
		var firsts, extras []model.Instant
		now := model.Instant(1000 * time.Second)
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "gap")) * time.Millisecond)
			if rapid.Bool().Draw(t, "first") {
				w.AddFirst(now, length)
				firsts = append(firsts, now)
				continue
			}
			if w.Left(now, length, limits) < 1 {
				continue
			}
			w.AddExtra(now, length)
			extras = append(extras, now)
			// The window may count first attempts that left it less than a slot ago.
			allowed := limits.Share.Of(float64(countSince(firsts, now.Add(-length-length/windowSlots)))) + limits.Burst
			if got := countSince(extras, now.Add(-length)); float64(got) > allowed {
				t.Fatalf("%d extra attempts in a window, %g allowed", got, allowed)
			}
		}
	})
}

// countSince returns the number of times that are not before a time.
func countSince(times []model.Instant, since model.Instant) int {
	count := 0
	for _, at := range times {
		if at >= since {
			count++
		}
	}
	return count
}

// TestWindowForgets checks that the burst is available again once the attempts that used
// it have left the window.
func TestWindowForgets(t *testing.T) {
	const length = 10 * time.Second
	limits := Limits{Burst: 3}
	var w Window
	now := model.Instant(1000 * time.Second)
	for w.Left(now, length, limits) >= 1 {
		w.AddExtra(now, length)
	}
	if w.Left(now.Add(length-time.Second), length, limits) >= 1 {
		t.Error("the burst is available again within the window")
	}
	if w.Left(now.Add(length+2*time.Second), length, limits) < 1 {
		t.Error("the burst is not available after the window")
	}
}
