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
	// numbers is a ring buffer of attempt numbers in the order of their cancellation.
	// oldest is the index of the oldest number once the buffer is full.
	numbers []uint64
	oldest  int
}

func newCancelledAttempts() cancelledAttempts {
	return cancelledAttempts{byNumber: make(map[uint64]cancelledAttempt)}
}

// add stores a cancelled attempt.
func (c *cancelledAttempts) add(number uint64, a cancelledAttempt) {
	c.byNumber[number] = a
	if len(c.numbers) < maxCancelled {
		c.numbers = append(c.numbers, number)
		return
	}
	delete(c.byNumber, c.numbers[c.oldest])
	c.numbers[c.oldest] = number
	c.oldest = (c.oldest + 1) % maxCancelled
}

// take removes and returns a cancelled attempt, and false if it is not stored.
func (c *cancelledAttempts) take(number uint64) (cancelledAttempt, bool) {
	a, ok := c.byNumber[number]
	delete(c.byNumber, number)
	return a, ok
}
