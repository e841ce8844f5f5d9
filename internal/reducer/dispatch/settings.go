package dispatch

// Order is the order in which queued sub-requests are assigned to free slots.
type Order uint8

// Queue orders.
const (
	// EarliestDeadline serves the sub-request with the earliest deadline first.
	EarliestDeadline Order = iota
	// ArrivalOrder serves sub-requests in the order of arrival. It is the baseline
	// of experiment M2.
	ArrivalOrder
)

// Settings configures a dispatcher. The zero value is the production configuration.
type Settings struct {
	// Order is the order of the queue.
	Order Order
	// NoEarlyRefusal keeps jobs in the queue until their deadline, regardless of their
	// maximum queue wait and of whether they can still meet the deadline.
	NoEarlyRefusal bool
	// NoEviction refuses new jobs when the queue is full, regardless of priority.
	NoEviction bool
	// MaxOpening bounds the connections that one pool opens at the same time, because
	// each takes processing time of the upstream. Zero means DefaultMaxOpening.
	MaxOpening int
	// OpenAll opens all connections that the pool may hold, not only those that its
	// slots need. It is the baseline of experiment M4.
	OpenAll bool
}

// DefaultMaxOpening is the default of Settings.MaxOpening, in connections.
const DefaultMaxOpening = 1

// withDefaults returns the settings with a zero MaxOpening replaced by the default.
func (s Settings) withDefaults() Settings {
	if s.MaxOpening == 0 {
		s.MaxOpening = DefaultMaxOpening
	}
	return s
}
