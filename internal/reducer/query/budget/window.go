package budget

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// windowSlots is the number of slots of a sliding window. One slot more is kept, because
// the oldest one is partly outside.
const windowSlots = 10

// Window counts first and extra attempts in a sliding window, so that a budget that is
// refilled with time stays within its limits in any window. The zero value is empty.
type Window struct {
	slots [windowSlots + 1]windowSlot
	// newest is the number of the newest slot, counted from time zero in units of length.
	newest int64
	length time.Duration
}

// windowSlot holds the counts of one slot.
type windowSlot struct{ firsts, extras uint32 }

// advance moves the window to a time and empties the slots that have left it. A window of
// another length starts empty.
func (w *Window) advance(now model.Instant, length time.Duration) {
	if length != w.length {
		*w = Window{length: length}
	}
	number := int64(now) / int64(length/windowSlots)
	if number <= w.newest {
		return
	}
	for i := max(w.newest+1, number-windowSlots); i <= number; i++ {
		w.slots[i%int64(len(w.slots))] = windowSlot{}
	}
	w.newest = number
}

// slot returns the newest slot.
func (w *Window) slot() *windowSlot { return &w.slots[w.newest%int64(len(w.slots))] }

// AddFirst counts a first attempt.
func (w *Window) AddFirst(now model.Instant, length time.Duration) {
	w.advance(now, length)
	w.slot().firsts++
}

// AddExtra counts an extra attempt.
func (w *Window) AddExtra(now model.Instant, length time.Duration) {
	w.advance(now, length)
	w.slot().extras++
}

// Left returns the number of extra attempts that the limits still permit: the share of the
// first attempts in the window plus the burst, less the extra attempts in the window.
func (w *Window) Left(now model.Instant, length time.Duration, limits Limits) float64 {
	w.advance(now, length)
	firsts, extras := 0.0, 0.0
	for _, slot := range w.slots {
		firsts += float64(slot.firsts)
		extras += float64(slot.extras)
	}
	return limits.Share.Of(firsts) + limits.Burst - extras
}
