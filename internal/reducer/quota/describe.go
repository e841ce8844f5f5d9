package quota

// Usage describes what the connections of one listener hold.
type Usage struct {
	Listener    Listener `json:"-"`
	Name        string   `json:"listener"`
	Connections int      `json:"connections"`
	Bytes       int64    `json:"bytes"`
	// Closing is the number of evicted connections that are not closed yet.
	Closing int    `json:"closing"`
	Limits  Limits `json:"limits"`
}

// Usage describes the listeners that have a share of the account.
func (s *State) Usage() []Usage {
	var usage []Usage
	for i := range s.listeners {
		l := &s.listeners[i]
		if l.limits == (Limits{}) {
			continue
		}
		usage = append(usage, Usage{
			Listener: Listener(i), Name: Listener(i).String(), Connections: l.used.connections, Bytes: l.used.bytes,
			Closing: l.closing.connections, Limits: l.limits,
		})
	}
	return usage
}
