// Package membership maintains a node's view of the other hosts, from the
// platform's host list, which lags, and from the nodes' own digests. The views of
// two nodes may differ for seconds, so no correctness guarantee depends on a lease
// or a view.
//
// With few hosts, every node sends its digest to every other. With many, each host
// is monitored by the next hosts on a hash ring, and only these detect its silence;
// changes spread as rumors, and digests carry samples of the revisions in force on
// other hosts. See docs/design/42-membership.md.
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

// Settings configures the failure detector.
type Settings struct {
	// DigestInterval is the time between two digests to a peer.
	DigestInterval time.Duration
	// SuspectAfter and FailAfter are the times without a digest after which a
	// member is marked as suspected and as failed.
	SuspectAfter time.Duration
	FailAfter    time.Duration
	// HostListInterval is the shortest time between two reads of the host list.
	HostListInterval time.Duration
}

// Default settings. With many hosts the timeouts are multiplied by largeFleetFactor.
const (
	DefaultDigestInterval   = 250 * time.Millisecond
	DefaultSuspectAfter     = 1 * time.Second
	DefaultFailAfter        = 3 * time.Second
	DefaultHostListInterval = 1500 * time.Millisecond
)

// Limits of a node's view.
const (
	// maxFullMeshPeers is the highest number of other hosts with which every host
	// still gets each digest.
	maxFullMeshPeers = 6
	// largeFleetFactor multiplies the timeouts of the failure detector and the
	// interval of full digests when there are more hosts than maxFullMeshPeers.
	largeFleetFactor = 4
	// hostListIntervalPerHost is the shortest time between two reads of the host
	// list, per listed host, because the list of a large fleet is long.
	hostListIntervalPerHost = 50 * time.Millisecond
	// expireAfter is how long a failed host that is not listed is remembered.
	expireAfter = 5 * time.Minute
)

// Timer identifiers of the package.
const (
	digestTimer uint64 = iota + 1
	hostListTimer
)

// State is the node's view of the hosts.
type State struct {
	settings Settings
	self     model.Member
	// declaredState is the node's own state, without an operator's order to leave.
	declaredState model.MemberState
	sequence      uint64
	// startedAt is the time of Start, and hostListRead is true once the platform's list
	// was read.
	startedAt    model.Instant
	hostListRead bool
	// ticks counts the runs of the digest timer.
	ticks uint64
	// latestRevision is the highest configuration revision known to exist, and
	// latestLearnedAt the time when the node learned of it.
	latestRevision  model.Revision
	latestLearnedAt model.Instant
	// viewHash is a hash of the members and their incarnations.
	viewHash uint64
	// blocksHash is the hash of the node's blocks.
	blocksHash uint64
	// records holds the other hosts, ordered by host.
	records []*record
	// ring holds the other hosts, ordered by their positions on the hash ring.
	ring []*record
	// partners are the random peers that the node exchanges rumors with.
	partners partners
	// hasUnsentRumors is true while there are rumors that were not sent to any
	// peer.
	hasUnsentRumors bool
	// rumorCursor is the index of the record that was last considered as a rotating
	// rumor.
	rumorCursor int
	// members is the cached result of Members.
	members []model.Member
}

// New returns a view that contains only the node itself.
func New(settings Settings, self model.Member) *State {
	self.State = model.Starting
	s := &State{settings: settings, self: self, declaredState: model.Starting}
	s.rebuildMembers()
	return s
}

// Self returns the node's own description.
func (s *State) Self() model.Member { return s.self }

// Members returns all members that are not failed, ordered by host. Their revisions
// may be older than those that Revisions returns. The caller must not change the
// slice.
func (s *State) Members() []model.Member { return s.members }

// Member returns the description of a host, and false if the host is unknown.
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

// ReadyForPlacement reports whether the view is complete enough to place work by
// it: every listed host that is not leaving has been described, or SuspectAfter has
// passed since the start. A node that knows only itself would take over all
// upstreams.
func (s *State) ReadyForPlacement(now model.Instant) bool {
	if now.Sub(s.startedAt) >= s.settings.SuspectAfter {
		return true
	}
	for _, r := range s.records {
		if r.listed && !r.listedLeaving && !r.described {
			return false
		}
	}
	return s.hostListRead
}

// IsStale reports whether an incarnation of a host is older than the one in the
// view.
func (s *State) IsStale(host model.HostID, incarnation model.Incarnation) bool {
	r := s.record(host)
	return r != nil && incarnation < r.member.Incarnation
}

// Start requests the host list and starts the timers.
func (s *State) Start(ctx *step.Context) {
	s.startedAt = ctx.Now
	ctx.Emit(effect.ReadHostList{})
	ctx.After(s.settings.HostListInterval, timer.Membership, hostListTimer)
	ctx.After(s.settings.DigestInterval, timer.Membership, digestTimer)
}

// HandleDigest applies a peer's digest. It reports whether the view changed.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) (changed bool) {
	if m.Member.Host != from || from == s.self.Host {
		return false
	}
	r := s.ensureRecord(from)
	isFirst := !r.described
	if !s.applyDigest(ctx.Now, r, m) {
		return false
	}
	s.recordRevision(ctx.Now, max(m.LatestRevision, m.Member.Revision))
	s.applyRumors(ctx.Now, m.Rumors)
	s.mergeInForce(ctx.Now, m.InForce)
	if m.LatestRevision == s.latestRevision {
		s.mergeHolders(m.Holders)
	}
	changed = s.refreshView(ctx.Now, ctx.Config)
	if isFirst && s.isFullMesh() {
		s.sendTo(ctx, []model.HostID{from}, s.digest())
	}
	s.sendTableToNewcomer(ctx, r, m.KnownHosts)
	return changed
}

// HandleHostList applies the platform's host list. It reports whether the view
// changed.
func (s *State) HandleHostList(ctx *step.Context, e event.HostList) (changed bool) {
	if e.Failed {
		return false
	}
	s.hostListRead = true
	for _, r := range s.records {
		r.listed = false
		r.listedLeaving = false
	}
	for _, host := range e.Hosts {
		if host.Host != s.self.Host {
			s.ensureRecord(host.Host).applyListEntry(host)
		}
	}
	changed = s.refreshView(ctx.Now, ctx.Config)
	s.sendIntroductions(ctx)
	return changed
}

// HandleConfig applies the hosts that the configuration takes out of service. It
// reports whether the view changed.
func (s *State) HandleConfig(ctx *step.Context) (changed bool) {
	return s.refreshView(ctx.Now, ctx.Config)
}

// HandlePeerLost marks a host whose stream broke as suspected. It reports whether the
// view changed.
func (s *State) HandlePeerLost(ctx *step.Context, host model.HostID) (changed bool) {
	r := s.record(host)
	if r == nil {
		return false
	}
	r.streamLostAt = ctx.Now
	return s.refreshView(ctx.Now, ctx.Config)
}

// HandleTimer requests the host list, or updates the view and sends digests. It
// reports whether the view changed.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (changed bool) {
	switch id {
	case hostListTimer:
		ctx.Emit(effect.ReadHostList{})
		ctx.After(s.hostListInterval(ctx), timer.Membership, hostListTimer)
	case digestTimer:
		s.ticks++
		changed = s.refreshView(ctx.Now, ctx.Config)
		s.sendDigests(ctx)
		ctx.After(s.settings.DigestInterval, timer.Membership, digestTimer)
	}
	return changed
}

// hostListInterval returns the time to the next read of the host list. A random
// spread of up to a tenth keeps nodes from reading it all at once.
func (s *State) hostListInterval(ctx *step.Context) time.Duration {
	interval := max(s.settings.HostListInterval, time.Duration(len(s.records))*hostListIntervalPerHost)
	return interval + time.Duration(ctx.Random.Int64N(int64(interval/10)+1))
}

// SetState changes the node's own state and sends it to peers at once.
func (s *State) SetState(ctx *step.Context, state model.MemberState) {
	s.declaredState = state
	s.refreshView(ctx.Now, ctx.Config)
	s.sendFullDigests(ctx)
}

// SetRevision changes the revision in force on the node itself.
func (s *State) SetRevision(now model.Instant, revision model.Revision) {
	s.self.Revision = revision
	s.recordRevision(now, revision)
	s.rebuildMembers()
}

// SetBlocksHash changes the hash of the node's blocks in its digests.
func (s *State) SetBlocksHash(hash uint64) { s.blocksHash = hash }

// isFullMesh reports whether there are so few hosts that each gets every digest.
func (s *State) isFullMesh() bool { return len(s.records) <= maxFullMeshPeers }

// scaleTimeout scales a timeout of the failure detector to the fleet's size.
func (s *State) scaleTimeout(d time.Duration) time.Duration {
	if s.isFullMesh() {
		return d
	}
	return d * largeFleetFactor
}
