// Package config maintains the operators' configuration. It proposes changes to the
// log in the platform's key-value service, follows the log, exchanges entries with
// peers, and applies only contiguous revisions, so that a node never goes back to
// an older configuration.
//
// The log's keys are config/log/<revision>. A change is accepted by creating a key
// that is absent. Old entries are folded into config/snapshot; config/floor holds
// the newest revision whose entry may be deleted. See
// docs/design/40-configuration-log.md.
package config

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/membership"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// tickInterval is the time between two checks for overdue work.
const tickInterval = 100 * time.Millisecond

// Hosts provides information about the other hosts.
type Hosts interface {
	// Revisions returns the known revision of every host, ordered by host.
	Revisions(now model.Instant) []membership.HostRevision
	// Partners returns the peers that new entries are pushed to.
	Partners() []model.HostID
	// OtherHostCount returns the number of other hosts that the node knows of.
	OtherHostCount() int
}

// State holds the node's copy of the log and the proposals in progress.
type State struct {
	hosts       Hosts
	history     *history
	calls       storeCalls
	reader      reader
	follower    follower
	pendingPull pendingPull
	sync        synchronisation
	proposer    proposer
	compaction  compaction
}

// New returns a state with an empty configuration.
func New() *State {
	return &State{history: newHistory(), calls: newStoreCalls()}
}

// SetHosts sets the source of information about other hosts. It must be called
// once, before Start.
func (s *State) SetHosts(hosts Hosts) { s.hosts = hosts }

// InForce returns the configuration in force. The caller must not change it.
func (s *State) InForce() *model.Config { return s.history.config }

// Ready reports whether the configuration is recent enough to start new work. It
// returns false before the first synchronisation, while the node catches up after a
// pause, and after a long time without contact with the store or any peer.
func (s *State) Ready() bool { return s.sync.ready() }

// Start starts following the log.
func (s *State) Start(ctx *step.Context) {
	s.sync.start(ctx.Now)
	s.requestRead(ctx)
	ctx.After(tickInterval, timer.Config, 0)
}

// HandleStatement validates and proposes an operator's change. Queries are answered
// by package show.
func (s *State) HandleStatement(ctx *step.Context, e event.Statement, script statement.Script) {
	s.propose(ctx, e, script)
}

// HandleStoreResult processes the result of a store call. It reports whether the
// configuration changed.
func (s *State) HandleStoreResult(ctx *step.Context, e event.StoreResult) (changed bool) {
	before := s.history.applied()
	if e.Status != event.StoreUnknown && e.Status != event.StoreRejected {
		s.sync.recordStoreContact(ctx.Now)
	}
	switch s.calls.finish(e.Operation) {
	case purposeRead:
		s.handleReadResult(ctx, e)
	case purposeWatch:
		s.handleWatchResult(ctx, e)
	case purposeCreate:
		s.handleCreateResult(ctx, e)
	case purposeFence:
		s.handleFenceResult(ctx, e)
	case purposeCompaction:
		s.handleCompactionResult(ctx, e)
	}
	return s.pushNewEntries(ctx, before, "")
}

// HandlePull answers a peer's request for log entries.
func (s *State) HandlePull(ctx *step.Context, from model.HostID, m message.LogPull) {
	s.answerPull(ctx, from, m)
}

// HandleEntries applies log entries from a peer. It reports whether the
// configuration changed.
func (s *State) HandleEntries(ctx *step.Context, from model.HostID, m message.LogEntries) (changed bool) {
	before := s.history.applied()
	s.sync.recordPeerContact(ctx.Now)
	s.handlePeerEntries(ctx, from, m)
	return s.pushNewEntries(ctx, before, from)
}

// HandleDigest pulls from a peer whose digest has a higher revision than the node's
// own.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) {
	s.sync.recordPeerContact(ctx.Now)
	s.pullIfBehind(ctx, from, m.Member.Revision)
}

// HandleResume synchronises again after the process was paused.
func (s *State) HandleResume(ctx *step.Context) {
	s.sync.resume(ctx.Now)
	s.calls.dropReads()
	s.reader.abort()
	s.follower.reset()
	s.requestRead(ctx)
	s.resumeProposal(ctx)
}

// HandleTimer retries store calls and pulls, and checks for overdue work. It
// reports whether the configuration changed.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (changed bool) {
	before := s.history.applied()
	s.checkSync(ctx)
	s.retryFailedRead(ctx)
	s.updateFollower(ctx)
	s.checkProposals(ctx)
	s.checkCompaction(ctx)
	ctx.After(tickInterval, timer.Config, 0)
	return s.pushNewEntries(ctx, before, "")
}

// HostRevisions returns the known revision of every host, ordered by host.
func (s *State) HostRevisions(now model.Instant) []membership.HostRevision {
	return s.hosts.Revisions(now)
}

// Latest returns the highest contiguous revision that the node has, which is the one
// in force on this node.
func (s *State) Latest() model.Revision { return s.history.applied() }
