package model

import "time"

// sessionCounterBits is the number of low bits of a session number that hold a
// counter; the bits above hold the Unix time in seconds at which the session was
// opened.
const sessionCounterBits = 32

// NextSessionNumber returns the number of a session that a node opens at now,
// after the session numbered previous. Numbers increase and encode the time at
// which the session was opened, so that a session's home node can reject old
// sessions without a record of them.
func NextSessionNumber(now Instant, previous uint64) uint64 {
	return max(previous, SessionNumberAt(now)) + 1
}

// SessionNumberAt returns a number that is lower than the numbers of all sessions
// opened in or after the second that contains t, and not lower than the numbers of
// sessions opened before it.
func SessionNumberAt(t Instant) uint64 {
	return uint64(max(0, t)/Instant(time.Second)) << sessionCounterBits
}
