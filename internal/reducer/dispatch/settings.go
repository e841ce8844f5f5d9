package dispatch

// Order is the order in which queued sub-requests get free slots.
type Order uint8

// The orders of a queue.
const (
	// EarliestDeadline serves the sub-request whose deadline is nearest.
	EarliestDeadline Order = iota
	// ArrivalOrder serves first what came first. It is the baseline of
	// experiment M2.
	ArrivalOrder
)

// Settings are a dispatcher's policies. The zero value of each field but
// MaxOpening is the policy for production.
type Settings struct {
	Order Order
	// NoEarlyRefusal keeps work in the queue until its deadline has passed, even
	// if it can no longer be met.
	NoEarlyRefusal bool
	// NoEviction refuses new work when the queue is full, whatever its priority.
	NoEviction bool
	// MaxOpening bounds the connections that one lane opens at a time, because
	// each costs the upstream time. Zero means DefaultMaxOpening.
	MaxOpening int
	// OpenAll opens all connections that the lane may hold, not only those that
	// its slots need. It is the baseline of experiment M4.
	OpenAll bool
}

// DefaultMaxOpening is how many connections a lane opens at a time.
const DefaultMaxOpening = 1

// withDefaults returns the settings with defaults in place of zeros.
func (s Settings) withDefaults() Settings {
	if s.MaxOpening == 0 {
		s.MaxOpening = DefaultMaxOpening
	}
	return s
}
