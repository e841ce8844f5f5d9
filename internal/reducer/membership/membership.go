// Package membership keeps a node's view of the others, from the platform's
// lagging host list and from the nodes' own digests. Views of two nodes may
// differ for seconds; no lease or view guards a promise.
package membership

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Settings bounds the failure detector.
type Settings struct {
	// DigestInterval is the time between two digests to a peer.
	DigestInterval time.Duration
	// SuspectAfter and FailAfter are the silences that change a member's state.
	SuspectAfter time.Duration
	FailAfter    time.Duration
	// HostListInterval is the time between two readings of the host list.
	HostListInterval time.Duration
}

// Default settings.
const (
	DefaultDigestInterval   = 250 * time.Millisecond
	DefaultSuspectAfter     = 1 * time.Second
	DefaultFailAfter        = 3 * time.Second
	DefaultHostListInterval = 2 * time.Second
)

// State is the node's view.
type State struct {
	settings Settings
	self     model.Member
}

// New returns a view that holds only the node itself.
func New(settings Settings, self model.Member) *State {
	return &State{settings: settings, self: self}
}

// Self returns the node's own description.
func (s *State) Self() model.Member { return s.self }

// Members returns all members that are not failed, ordered by host.
func (s *State) Members() []model.Member { return nil }

// Member returns what is known of a host.
func (s *State) Member(host model.HostID) (model.Member, bool) { return model.Member{}, false }

// Start reads the host list and begins to send digests.
func (s *State) Start(ctx *step.Context) {}

// HandleDigest takes in a peer's digest. It reports whether the view changed.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) (changed bool) {
	return false
}

// HandleHostList takes in the platform's list. It reports whether the view
// changed.
func (s *State) HandleHostList(ctx *step.Context, e event.HostList) (changed bool) { return false }

// HandlePeerLost takes in the end of a stream. It reports whether the view
// changed.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) (changed bool) { return false }

// HandleTimer sends digests and suspects silent peers. It reports whether the
// view changed.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (changed bool) { return false }

// SetState changes the node's own state and spreads it at once.
func (s *State) SetState(ctx *step.Context, state model.MemberState) {}

// SetRevision changes the node's own revision in force.
func (s *State) SetRevision(revision model.Revision) {}
