package reducer

import (
	"encoding/json"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Dump is the state dump: what the node believes, taken between two events.
type Dump struct {
	Self     model.Member   `json:"self"`
	State    string         `json:"state"`
	Members  []model.Member `json:"members"`
	Revision model.Revision `json:"revision"`
	Config   *model.Config  `json:"config"`
	// KnownUpstreams is the number of upstreams with a report in the catalog.
	KnownUpstreams int `json:"known_upstreams"`
	Timers         int `json:"timers"`
	InFlight       int `json:"in_flight"`
}

// Describe returns the state dump.
func (s *State) Describe() Dump {
	config := s.config.InForce()
	return Dump{
		Self:           s.membership.Self(),
		State:          string(s.lifecycle.state),
		Members:        s.membership.Members(),
		Revision:       config.Revision,
		Config:         config.WithoutKeys(),
		KnownUpstreams: s.catalog.Len(),
		Timers:         s.timers.Len(),
		InFlight:       s.openRequests(),
	}
}

// dump encodes the state as JSON.
func (s *State) dump() []byte {
	encoded, err := json.Marshal(s.Describe())
	if err != nil {
		return []byte(`{"error":"the state could not be encoded"}`)
	}
	return encoded
}
