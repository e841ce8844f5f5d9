package query

import "github.com/hawthorntack/hawthorntack/internal/model"

// maxCancelled is the maximum number of cancelled attempts whose results are awaited.
const maxCancelled = 4096

// cancelledAttempt holds what is needed to attribute a crash to a cancelled attempt
// if its upstream crashes later.
type cancelledAttempt struct {
	service     model.ServiceName
	fingerprint model.Fingerprint
}

// cancelledAttempts holds the last maxCancelled cancelled attempts; adding to a full
// set evicts the oldest.
type cancelledAttempts struct {
	byNumber map[uint64]cancelledAttempt
	// ring is a ring buffer of attempt numbers in the order of their cancellation, and
	// next the index of the oldest once it is full.
	ring []uint64
	next int
}

func newCancelledAttempts() cancelledAttempts {
	return cancelledAttempts{byNumber: make(map[uint64]cancelledAttempt)}
}

// add stores a cancelled attempt.
func (c *cancelledAttempts) add(number uint64, a cancelledAttempt) {
	c.byNumber[number] = a
	if len(c.ring) < maxCancelled {
		c.ring = append(c.ring, number)
		return
	}
	delete(c.byNumber, c.ring[c.next])
	c.ring[c.next] = number
	c.next = (c.next + 1) % maxCancelled
}

// take removes and returns a cancelled attempt, and false if it is not stored.
func (c *cancelledAttempts) take(number uint64) (cancelledAttempt, bool) {
	a, ok := c.byNumber[number]
	delete(c.byNumber, number)
	return a, ok
}
