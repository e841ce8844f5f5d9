package session

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// maxDescribed bounds the number of homes in a description.
const maxDescribed = 20

// Description describes the sessions in the state dump. Bytes is their estimated
// memory, and OldestForward the age of the oldest forwarded order without an outcome.
type Description struct {
	Sessions      int               `json:"sessions"`
	Bytes         int               `json:"bytes"`
	Finished      int               `json:"finished_orders"`
	Waiting       int               `json:"waiting_calls"`
	Forwards      int               `json:"forwarded_orders"`
	Moved         int               `json:"moved_homes"`
	Incoming      int               `json:"incoming_handovers"`
	Handover      string            `json:"handover,omitempty"`
	Successor     model.HostID      `json:"successor,omitempty"`
	Homes         []HomeDescription `json:"homes"`
	OldestForward time.Duration     `json:"oldest_forward_nanos,omitempty"`
}

// HomeDescription describes the sessions of one origin.
type HomeDescription struct {
	Host        model.HostID      `json:"host"`
	Incarnation model.Incarnation `json:"incarnation"`
	Role        string            `json:"role"`
	Generation  uint64            `json:"generation"`
	Sessions    int               `json:"sessions"`
	Orders      int               `json:"orders"`
	Running     int               `json:"running"`
	// Issued, Closed and Expired are session numbers.
	Issued  uint64 `json:"issued"`
	Closed  uint64 `json:"closed"`
	Expired uint64 `json:"expired"`
}

// Describe returns a description with at most maxDescribed homes.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		Sessions: s.sessions,
		Bytes:    s.bytes,
		Finished: len(s.finished),
		Waiting:  s.waiting,
		Forwards: len(s.forwards),
		Moved:    len(s.successors),
		Incoming: len(s.incoming),
		Homes:    []HomeDescription{},
	}
	for _, f := range s.forwards {
		d.OldestForward = max(d.OldestForward, now.Sub(f.request.waiter.since))
	}
	if s.handover != nil {
		d.Handover = s.handover.phase.String()
		d.Successor = s.handover.to.Host
	}
	for _, h := range s.homesInOrder() {
		if len(d.Homes) == maxDescribed {
			break
		}
		d.Homes = append(d.Homes, describeHome(h))
	}
	return d
}

// describeHome describes one home.
func describeHome(h *home) HomeDescription {
	d := HomeDescription{
		Host:        h.origin.host,
		Incarnation: h.origin.incarnation,
		Role:        h.role.String(),
		Generation:  h.generation,
		Sessions:    len(h.sessions),
		Running:     h.running(),
		Issued:      h.issued,
		Closed:      h.closed,
		Expired:     h.expired,
	}
	for _, sess := range h.sessions {
		d.Orders += len(sess.orders)
	}
	return d
}
