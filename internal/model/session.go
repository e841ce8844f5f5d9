package model

import "time"

// sessionCounterBits is the width of a session number's counter; the bits above
// hold the second in which the session was opened.
const sessionCounterBits = 32

// NextSessionNumber returns the number of a session that a node opens at now,
// after the one numbered previous. Numbers grow, and tell when their session was
// opened, so that a home needs no memory of old sessions to refuse them.
func NextSessionNumber(now Instant, previous uint64) uint64 {
	return max(previous, SessionNumberAt(now)) + 1
}

// SessionNumberAt returns a number that is lower than those of all sessions
// opened from the given second on, and not lower than those opened before.
func SessionNumberAt(t Instant) uint64 {
	return uint64(max(0, t)/Instant(time.Second)) << sessionCounterBits
}
