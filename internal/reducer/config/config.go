// Package config keeps the operators' configuration: it proposes changes to the
// log in the platform's key-value service, follows the log, exchanges entries
// with peers, and applies contiguous revisions only, so that nothing reverts.
//
// The log's keys are config/log/<revision>. Creating a key that is absent is the
// acceptance of a change. Old entries are folded into config/snapshot;
// config/floor names the newest revision whose entry may be deleted. See
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

// tick is the time between two looks at what is overdue.
const tick = 100 * time.Millisecond

// Hosts tells what is known of other hosts.
type Hosts interface {
	Revisions(now model.Instant) []membership.HostRevision
	// Partners are the peers that get news first.
	Partners() []model.HostID
	// Others counts the other hosts that the node knows of.
	Others() int
}

// State is the node's copy of the log and the proposals under way.
type State struct {
	hosts    Hosts
	history  *history
	calls    storeCalls
	reader   reader
	follower follower
	exchange exchange
	sync     synchronisation
	proposer proposer
	compact  compaction
}

// New returns a state with the empty configuration in force.
func New() *State {
	return &State{history: newHistory(), calls: newStoreCalls()}
}

// SetHosts sets the source of what is known of other hosts. It is called once,
// before Start.
func (s *State) SetHosts(hosts Hosts) { s.hosts = hosts }

// InForce returns the configuration in force. It must not be changed.
func (s *State) InForce() *model.Config { return s.history.config }

// Ready reports whether the node knows a configuration that is recent enough to
// start new work with: not before its first synchronisation, while it catches up
// after a pause, or when it has long heard neither the store nor any peer.
func (s *State) Ready() bool { return s.sync.ready() }

// Start begins to follow the log.
func (s *State) Start(ctx *step.Context) {
	s.sync.start(ctx.Now)
	s.requestRead(ctx)
	ctx.After(tick, timer.Config, 0)
}

// HandleStatement checks and proposes an operator's change; package show
// answers the questions.
func (s *State) HandleStatement(ctx *step.Context, e event.Statement, script statement.Script) {
	s.propose(ctx, e, script)
}

// HandleStoreResult takes in the outcome of a store call. It reports whether
// another configuration is in force.
func (s *State) HandleStoreResult(ctx *step.Context, e event.StoreResult) (changed bool) {
	before := s.history.applied()
	if e.Status != event.StoreUnknown && e.Status != event.StoreRejected {
		s.sync.heardStore(ctx.Now)
	}
	switch s.calls.take(e.Operation) {
	case forRead:
		s.stepRead(ctx, e)
	case forWatch:
		s.stepWatch(ctx, e)
	case forCreate:
		s.stepCreate(ctx, e)
	case forFence:
		s.stepFence(ctx, e)
	case forCompaction:
		s.stepCompaction(ctx, e)
	}
	return s.spread(ctx, before, "")
}

// HandlePull answers a peer that asks for log entries.
func (s *State) HandlePull(ctx *step.Context, from model.HostID, m message.LogPull) {
	s.answerPull(ctx, from, m)
}

// HandleEntries takes in log entries of a peer. It reports whether another
// configuration is in force.
func (s *State) HandleEntries(ctx *step.Context, from model.HostID, m message.LogEntries) (changed bool) {
	before := s.history.applied()
	s.sync.heardPeer(ctx.Now)
	s.takeEntries(ctx, from, m)
	return s.spread(ctx, before, from)
}

// HandleDigest compares a peer's revision with the node's own and keeps what is
// in force where.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) {
	s.sync.heardPeer(ctx.Now)
	s.follow(ctx, from, m.Member.Revision)
}

// HandleResume resynchronises after the process was paused.
func (s *State) HandleResume(ctx *step.Context) {
	s.sync.resume(ctx.Now)
	s.calls.forget()
	s.reader.abort()
	s.follower.abort()
	s.requestRead(ctx)
	s.resumeProposal(ctx)
}

// HandleTimer retries store calls and pulls. It reports whether another
// configuration is in force.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (changed bool) {
	before := s.history.applied()
	s.stepSync(ctx)
	s.stepReader(ctx)
	s.stepFollower(ctx)
	s.stepProposals(ctx)
	s.stepCompactionTimer(ctx)
	ctx.After(tick, timer.Config, 0)
	return s.spread(ctx, before, "")
}

// InForceView returns what is known of each host's configuration, ordered by
// host.
func (s *State) InForceView(now model.Instant) []membership.HostRevision {
	return s.hosts.Revisions(now)
}

// Latest returns the highest contiguous revision that the node knows; it is the
// one in force here.
func (s *State) Latest() model.Revision { return s.history.applied() }
