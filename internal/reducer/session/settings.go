package session

import "time"

// Settings limits the sessions of one node.
type Settings struct {
	// AcceptFor is how long after its opening a session accepts new orders.
	AcceptFor time.Duration
	// KeepFor is how long after its opening a session's outcomes are kept.
	KeepFor time.Duration
	// MaxSessions is the maximum number of sessions with recorded orders.
	MaxSessions int
	// MaxOrders is the maximum number of recorded orders in one session. When it is
	// reached, a new order evicts the oldest one if that has finished.
	MaxOrders int
	// MaxRunning is the maximum number of unfinished orders in one session.
	MaxRunning int
	// MaxBytes is the maximum estimated memory of all sessions and recorded outcomes.
	MaxBytes int
	// DrainFor is how long a sealed home waits at most for running orders before it
	// hands its sessions over.
	DrainFor time.Duration
}

// Default settings.
const (
	DefaultAcceptFor   = 10 * time.Minute
	DefaultKeepFor     = 20 * time.Minute
	DefaultMaxSessions = 50_000
	DefaultMaxOrders   = 1024
	DefaultMaxRunning  = 256
	DefaultMaxBytes    = 32 << 20
	DefaultDrainFor    = 10 * time.Second
)

// DefaultSettings returns the default settings.
func DefaultSettings() Settings {
	return Settings{
		AcceptFor:   DefaultAcceptFor,
		KeepFor:     DefaultKeepFor,
		MaxSessions: DefaultMaxSessions,
		MaxOrders:   DefaultMaxOrders,
		MaxRunning:  DefaultMaxRunning,
		MaxBytes:    DefaultMaxBytes,
		DrainFor:    DefaultDrainFor,
	}
}
