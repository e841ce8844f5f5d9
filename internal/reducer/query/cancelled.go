package query

import "github.com/hawthorntack/hawthorntack/internal/model"

// maxCancelled bounds the cancelled attempts whose results are awaited.
const maxCancelled = 4096

// cancelledAttempt is what must be known of a cancelled attempt if its upstream
// crashes after all.
type cancelledAttempt struct {
	service model.ServiceName
	print   model.Fingerprint
}

// cancelledAttempts remembers cancelled attempts, the oldest of which make room.
type cancelledAttempts struct {
	byNumber map[uint64]cancelledAttempt
	// order is a ring of numbers in the order of their cancellation.
	order []uint64
	next  int
}

func newCancelledAttempts() cancelledAttempts {
	return cancelledAttempts{byNumber: make(map[uint64]cancelledAttempt)}
}

// add remembers an attempt.
func (c *cancelledAttempts) add(number uint64, a cancelledAttempt) {
	c.byNumber[number] = a
	if len(c.order) < maxCancelled {
		c.order = append(c.order, number)
		return
	}
	delete(c.byNumber, c.order[c.next])
	c.order[c.next] = number
	c.next = (c.next + 1) % maxCancelled
}

// take forgets and returns an attempt.
func (c *cancelledAttempts) take(number uint64) (cancelledAttempt, bool) {
	a, ok := c.byNumber[number]
	delete(c.byNumber, number)
	return a, ok
}
