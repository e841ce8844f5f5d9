// Package membership keeps a node's view of the others, from the platform's
// lagging host list and from the nodes' own digests. Views of two nodes may
// differ for seconds; no lease or view guards a promise.
package membership

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
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

// Timers of this part.
const (
	digestTimer uint64 = iota + 1
	hostListTimer
)

// State is the node's view.
type State struct {
	settings Settings
	self     model.Member
	sequence uint64
	// ticks counts the digest timers.
	ticks uint64
	// latest is the highest configuration revision known to exist.
	latest model.Revision
	// convictions is the hash of the node's convictions.
	convictions uint64
	// records holds the other nodes, ordered by host.
	records []*record
	// members is the cached answer of Members.
	members []model.Member
}

// New returns a view that holds only the node itself.
func New(settings Settings, self model.Member) *State {
	self.State = model.Starting
	s := &State{settings: settings, self: self}
	s.refresh(0, nil)
	return s
}

// Self returns the node's own description.
func (s *State) Self() model.Member { return s.self }

// Members returns all members that are not failed, ordered by host.
func (s *State) Members() []model.Member { return s.members }

// Member returns what is known of a host.
func (s *State) Member(host model.HostID) (model.Member, bool) {
	if host == s.self.Host {
		return s.self, true
	}
	r := s.record(host)
	if r == nil {
		return model.Member{}, false
	}
	return r.member, true
}

// IsStale reports whether a message comes from an earlier life of a host.
func (s *State) IsStale(host model.HostID, incarnation model.Incarnation) bool {
	r := s.record(host)
	return r != nil && incarnation < r.member.Incarnation
}

// Start reads the host list and begins to send digests.
func (s *State) Start(ctx *step.Context) {
	ctx.Emit(effect.ReadHostList{})
	ctx.After(s.settings.HostListInterval, timer.Membership, hostListTimer)
	ctx.After(s.settings.DigestInterval, timer.Membership, digestTimer)
}

// HandleDigest takes in a peer's digest. It reports whether the view changed.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) (changed bool) {
	if m.Member.Host != from || from == s.self.Host {
		return false
	}
	r := s.ensure(from)
	if !r.hear(ctx.Now, m.Member, m.Sequence) {
		return false
	}
	s.latest = max(s.latest, m.LatestRevision, m.Member.Revision)
	s.learnInForce(ctx.Now, m.InForce)
	return s.refresh(ctx.Now, ctx.Config)
}

// HandleHostList takes in the platform's list. It reports whether the view
// changed.
func (s *State) HandleHostList(ctx *step.Context, e event.HostList) (changed bool) {
	if e.Failed {
		return false
	}
	for _, r := range s.records {
		r.listed = false
		r.listedLeaving = false
	}
	for _, host := range e.Hosts {
		if host.Host != s.self.Host {
			s.ensure(host.Host).list(host)
		}
	}
	return s.refresh(ctx.Now, ctx.Config)
}

// HandlePeerLost takes in the end of a stream. It reports whether the view
// changed.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) (changed bool) {
	r := s.record(host)
	if r == nil {
		return false
	}
	r.suspect(ctx.Now, s.settings)
	return s.refresh(ctx.Now, ctx.Config)
}

// HandleTimer sends digests and suspects silent peers. It reports whether the
// view changed.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (changed bool) {
	switch id {
	case hostListTimer:
		ctx.Emit(effect.ReadHostList{})
		ctx.After(s.settings.HostListInterval, timer.Membership, hostListTimer)
		return false
	case digestTimer:
		s.ticks++
		changed = s.refresh(ctx.Now, ctx.Config)
		s.sendDigests(ctx)
		ctx.After(s.settings.DigestInterval, timer.Membership, digestTimer)
	}
	return changed
}

// SetState changes the node's own state and spreads it at once.
func (s *State) SetState(ctx *step.Context, state model.MemberState) {
	s.self.State = state
	s.refresh(ctx.Now, ctx.Config)
	s.sendDigests(ctx)
}

// SetConvictions changes the hash of the node's convictions in its digests.
func (s *State) SetConvictions(hash uint64) { s.convictions = hash }

// SetRevision changes the node's own revision in force.
func (s *State) SetRevision(revision model.Revision) {
	s.self.Revision = revision
	s.latest = max(s.latest, revision)
	s.rebuild()
}
