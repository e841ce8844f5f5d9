// Package membership keeps a node's view of the others, from the platform's
// lagging host list and from the nodes' own digests. Views of two nodes may
// differ for seconds; no lease or view guards a promise.
//
// With few hosts every node sends its digest to every other. With many, each
// host is monitored by the next hosts on a hash ring, which alone judge its
// silence; changes spread as rumors, and samples of what is in force where
// travel along. See docs/design/42-membership.md.
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

// Default settings. With many hosts the times are stretched by manyHostsFactor.
const (
	DefaultDigestInterval   = 250 * time.Millisecond
	DefaultSuspectAfter     = 1 * time.Second
	DefaultFailAfter        = 3 * time.Second
	DefaultHostListInterval = 1500 * time.Millisecond
)

// Limits of a node's view.
const (
	// fewHosts is how many other hosts all get each digest.
	fewHosts = 6
	// manyHostsFactor stretches the times of the failure detector when there are
	// more hosts.
	manyHostsFactor = 4
	// hostListPerHost is the least time between two readings of the host list for
	// each host in it: the list of a large fleet is long.
	hostListPerHost = 50 * time.Millisecond
	// forgetAfter is how long a failed host that is not listed is remembered.
	forgetAfter = 5 * time.Minute
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
	// declared is the node's own state before an operator's order to leave.
	declared model.MemberState
	sequence uint64
	// started is the time of Start, and listRead is true once the platform's list
	// was read.
	started  model.Instant
	listRead bool
	// ticks counts the digest timers.
	ticks uint64
	// latest is the highest configuration revision known to exist, and latestSince
	// when the node learned of it.
	latest      model.Revision
	latestSince model.Instant
	// viewHash is a hash of the members and their lives.
	viewHash uint64
	// convictions is the hash of the node's convictions.
	convictions uint64
	// records holds the other hosts, ordered by host.
	records []*record
	// ring holds the other hosts by their places on the hash ring.
	ring []*record
	// partners are the random peers that the node exchanges rumors with.
	partners partners
	// fresh is true while there are rumors that no peer was sent yet.
	fresh bool
	// rotor is where the rotating part of the rumors goes on.
	rotor int
	// members is the cached answer of Members.
	members []model.Member
}

// New returns a view that holds only the node itself.
func New(settings Settings, self model.Member) *State {
	self.State = model.Starting
	s := &State{settings: settings, self: self, declared: model.Starting}
	s.rebuild()
	return s
}

// Self returns the node's own description.
func (s *State) Self() model.Member { return s.self }

// Members returns all members that are not failed, ordered by host. Their
// revisions may be older than those that Revisions returns.
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

// Settled reports whether the view is worth placing work by: every listed host
// was described, or SuspectAfter has passed since the start. A node that knows
// only itself would take all upstreams over.
func (s *State) Settled(now model.Instant) bool {
	if now.Sub(s.started) >= s.settings.SuspectAfter {
		return true
	}
	for _, r := range s.records {
		if r.listed && !r.listedLeaving && !r.described {
			return false
		}
	}
	return s.listRead
}

// IsStale reports whether a message comes from an earlier life of a host.
func (s *State) IsStale(host model.HostID, incarnation model.Incarnation) bool {
	r := s.record(host)
	return r != nil && incarnation < r.member.Incarnation
}

// Start reads the host list and begins to send digests.
func (s *State) Start(ctx *step.Context) {
	s.started = ctx.Now
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
	isFirst := !r.described
	if !s.hear(ctx.Now, r, m) {
		return false
	}
	s.noteRevision(ctx.Now, max(m.LatestRevision, m.Member.Revision))
	s.learnRumors(ctx.Now, m.Rumors)
	s.learnInForce(ctx.Now, m.InForce)
	if m.LatestRevision == s.latest {
		s.learnHolders(m.Holders)
	}
	changed = s.refresh(ctx.Now, ctx.Config)
	if isFirst && s.hasFewHosts() {
		s.sendTo(ctx, []model.HostID{from}, s.digest())
	}
	s.helpNewcomer(ctx, r, m.KnownHosts)
	return changed
}

// HandleHostList takes in the platform's list. It reports whether the view
// changed.
func (s *State) HandleHostList(ctx *step.Context, e event.HostList) (changed bool) {
	if e.Failed {
		return false
	}
	s.listRead = true
	for _, r := range s.records {
		r.listed = false
		r.listedLeaving = false
	}
	for _, host := range e.Hosts {
		if host.Host != s.self.Host {
			s.ensure(host.Host).list(host)
		}
	}
	changed = s.refresh(ctx.Now, ctx.Config)
	s.introduce(ctx)
	return changed
}

// HandleConfig follows another configuration: an operator may take hosts out of
// service. It reports whether the view changed.
func (s *State) HandleConfig(ctx *step.Context) (changed bool) {
	return s.refresh(ctx.Now, ctx.Config)
}

// HandlePeerLost takes in the end of a stream. It reports whether the view
// changed.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) (changed bool) {
	r := s.record(host)
	if r == nil {
		return false
	}
	r.lost = ctx.Now
	return s.refresh(ctx.Now, ctx.Config)
}

// HandleTimer sends digests and suspects silent peers. It reports whether the
// view changed.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (changed bool) {
	switch id {
	case hostListTimer:
		ctx.Emit(effect.ReadHostList{})
		ctx.After(s.hostListInterval(ctx), timer.Membership, hostListTimer)
	case digestTimer:
		s.ticks++
		changed = s.refresh(ctx.Now, ctx.Config)
		s.sendDigests(ctx)
		ctx.After(s.settings.DigestInterval, timer.Membership, digestTimer)
	}
	return changed
}

// hostListInterval returns the time to the next reading of the host list, with
// a tenth of random spread so that nodes do not read at once.
func (s *State) hostListInterval(ctx *step.Context) time.Duration {
	interval := max(s.settings.HostListInterval, time.Duration(len(s.records))*hostListPerHost)
	return interval + time.Duration(ctx.Random.Int64N(int64(interval/10)+1))
}

// SetState changes the node's own state and spreads it at once.
func (s *State) SetState(ctx *step.Context, state model.MemberState) {
	s.declared = state
	s.refresh(ctx.Now, ctx.Config)
	s.sendFull(ctx)
}

// SetRevision changes the node's own revision in force.
func (s *State) SetRevision(now model.Instant, revision model.Revision) {
	s.self.Revision = revision
	s.noteRevision(now, revision)
	s.rebuild()
}

// SetConvictions changes the hash of the node's convictions in its digests.
func (s *State) SetConvictions(hash uint64) { s.convictions = hash }

// hasFewHosts reports whether every host gets every digest.
func (s *State) hasFewHosts() bool { return len(s.records) <= fewHosts }

// stretch returns a time of the failure detector for the present fleet.
func (s *State) stretch(d time.Duration) time.Duration {
	if s.hasFewHosts() {
		return d
	}
	return d * manyHostsFactor
}
