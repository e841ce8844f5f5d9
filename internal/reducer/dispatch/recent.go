package dispatch

import "github.com/hawthorntack/hawthorntack/internal/model"

// maxRecent bounds the number of recorded attempts.
const maxRecent = 4096

// recentAttempts is the set of the maxRecent attempts that were added last. The
// streams between nodes do not repeat a message; the set guards against one that
// does.
type recentAttempts struct {
	known map[model.AttemptID]bool
	// insertionOrder is a ring buffer of the attempts in the order of insertion.
	insertionOrder []model.AttemptID
	// next is the index of the oldest attempt once the set is full.
	next int
}

func newRecentAttempts() recentAttempts {
	return recentAttempts{known: make(map[model.AttemptID]bool)}
}

// has reports whether the set contains an attempt.
func (r *recentAttempts) has(attempt model.AttemptID) bool { return r.known[attempt] }

// add adds an attempt. A full set drops its oldest one.
func (r *recentAttempts) add(attempt model.AttemptID) {
	if r.known[attempt] {
		return
	}
	r.known[attempt] = true
	if len(r.insertionOrder) < maxRecent {
		r.insertionOrder = append(r.insertionOrder, attempt)
		return
	}
	delete(r.known, r.insertionOrder[r.next])
	r.insertionOrder[r.next] = attempt
	r.next = (r.next + 1) % maxRecent
}
