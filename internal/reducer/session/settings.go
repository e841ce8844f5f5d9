package session

import "time"

// Settings bound the sessions of one node.
type Settings struct {
	// AcceptFor is how long after its opening a session takes new orders.
	AcceptFor time.Duration
	// KeepFor is how long after its opening a session's outcomes are kept.
	KeepFor time.Duration
	// MaxSessions bounds the sessions with orders.
	MaxSessions int
	// MaxOrders bounds the recorded orders of one session; the oldest finished
	// one makes room.
	MaxOrders int
	// MaxRunning bounds the unfinished orders of one session.
	MaxRunning int
	// MaxBytes bounds the memory of all sessions and kept outcomes.
	MaxBytes int
	// DrainFor bounds how long a sealed home waits for running orders before it
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
