package dispatch

import "github.com/hawthorntack/hawthorntack/internal/model"

// maxRecent bounds the attempts that are remembered.
const maxRecent = 4096

// recentAttempts remembers the latest attempts that were added. The streams
// between nodes do not repeat a message; this guards against one that does.
type recentAttempts struct {
	known map[model.AttemptID]bool
	// ring lists the attempts in the order of adding.
	ring []model.AttemptID
	next int
}

func newRecentAttempts() recentAttempts {
	return recentAttempts{known: make(map[model.AttemptID]bool)}
}

// has reports whether an attempt is remembered.
func (r *recentAttempts) has(attempt model.AttemptID) bool { return r.known[attempt] }

// add remembers an attempt; the oldest makes room.
func (r *recentAttempts) add(attempt model.AttemptID) {
	if r.known[attempt] {
		return
	}
	r.known[attempt] = true
	if len(r.ring) < maxRecent {
		r.ring = append(r.ring, attempt)
		return
	}
	delete(r.known, r.ring[r.next])
	r.ring[r.next] = attempt
	r.next = (r.next + 1) % maxRecent
}
