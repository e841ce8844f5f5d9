// Package entry places work on nodes by weighted rendezvous hashing: which
// nodes callers of a service should use, and which nodes dispatch for an
// upstream. Placement is a hint computed from a view that may be stale; no
// promise rests on it.
package entry

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Settings bounds placement.
type Settings struct {
	// SubsetSize is how many nodes serve the callers of one service.
	SubsetSize int
	// Dispatchers is how many nodes hold connections to one upstream.
	Dispatchers int
	// TTL is how long a caller may keep an entry answer.
	TTL time.Duration
}

// Default settings.
const (
	DefaultSubsetSize  = 4
	DefaultDispatchers = 1
	DefaultTTL         = 5 * time.Second
)

// State numbers the sessions that the node opens.
type State struct {
	settings Settings
}

// New returns a state that has opened no session.
func New(settings Settings) *State { return &State{settings: settings} }

// HandleEntry answers a caller's question which addresses to use.
func (s *State) HandleEntry(ctx *step.Context, e event.Entry) {}

// Subset returns the nodes that serve the callers of a service, best first.
func (s *State) Subset(service model.ServiceName, members []model.Member) []model.Member {
	return nil
}

// Dispatchers returns the nodes that hold connections to an upstream, best
// first.
func (s *State) Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID {
	return nil
}
