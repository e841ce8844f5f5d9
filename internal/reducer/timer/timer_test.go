package timer

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// TestQueueOrder checks that PopDue returns timers by due time, and timers that are
// due at the same instant in the order in which they were set.
func TestQueueOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOf(rapid.Int64Range(0, 20)).Draw(t, "times")
		var queue Queue
		for i, at := range times {
			queue.Set(model.Instant(at), Query, uint64(i))
		}
		var popped []Timer
		for {
			due, ok := queue.PopDue(20)
			if !ok {
				break
			}
			popped = append(popped, due)
		}
		if len(popped) != len(times) {
			t.Fatalf("popped %d timers, want %d", len(popped), len(times))
		}
		ordered := slices.IsSortedFunc(popped, func(a, b Timer) int {
			if a.At != b.At {
				return int(a.At - b.At)
			}
			return int(a.ID) - int(b.ID)
		})
		if !ordered {
			t.Fatalf("timers are out of order: %v", popped)
		}
	})
}
