package config

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of synchronisation.
const (
	// peerDiscoveryTime is how long a starting node waits for peers to appear
	// before it determines how many of them have to reply.
	peerDiscoveryTime = 1 * time.Second
	// requiredPeerReplies is the number of peer replies that replace a read of the
	// store. With fewer live members, all of them must reply.
	requiredPeerReplies = 8
	// maxCatchUpTime bounds the time after a pause in which a node starts no new work.
	maxCatchUpTime = 3 * time.Second
	// peerTimeout is the time without contact with any peer after which a node
	// watches the store itself.
	peerTimeout = 2 * time.Second
	// isolationTimeout is the time without contact with the store or any peer after
	// which a node that has peers starts no new work.
	isolationTimeout = 10 * time.Second
	// syncPullInterval is the time between two rounds of pulls during a
	// synchronisation.
	syncPullInterval = 500 * time.Millisecond
)

// synchronisation tracks whether the node's configuration is recent enough to start
// new work.
type synchronisation struct {
	// synced is true once the node has read the store, or enough peers have
	// replied.
	synced bool
	// catchingUp is true from a resume after a pause until the node is synchronised
	// again, at most for maxCatchUpTime.
	catchingUp bool
	isolated   bool
	// startedAt is when the current synchronisation began.
	startedAt model.Instant
	// lastPull is when peers were last asked for entries.
	lastPull model.Instant
	// confirmedPeers holds the peers that have replied and whose latest revision is
	// applied here.
	confirmedPeers   map[model.HostID]bool
	lastPeerContact  model.Instant
	lastStoreContact model.Instant
}

// ready reports whether the node may start new work.
func (y *synchronisation) ready() bool { return y.synced && !y.catchingUp && !y.isolated }

// start starts the first synchronisation.
func (y *synchronisation) start(now model.Instant) {
	*y = synchronisation{startedAt: now, lastPeerContact: now, lastStoreContact: now, confirmedPeers: make(map[model.HostID]bool)}
}

// resume starts another synchronisation after a pause.
func (y *synchronisation) resume(now model.Instant) {
	y.catchingUp = y.synced
	y.startedAt = now
	y.lastPull = 0
	y.lastPeerContact = now
	y.lastStoreContact = now
	y.isolated = false
	clear(y.confirmedPeers)
}

// inProgress reports whether a synchronisation is in progress.
func (y *synchronisation) inProgress() bool { return !y.synced || y.catchingUp }

// handleReadFinished finishes the synchronisation, because the store has the newest
// log.
func (y *synchronisation) handleReadFinished() { y.finish() }

// finish marks the node as synchronised.
func (y *synchronisation) finish() {
	y.synced = true
	y.catchingUp = false
}

// recordReply confirms a peer once the node has applied the peer's latest revision.
// A peer without a configuration does not count.
func (y *synchronisation) recordReply(from model.HostID, latest, applied model.Revision) {
	if y.inProgress() && latest > 0 && latest <= applied {
		y.confirmedPeers[from] = true
	}
}

// recordPeerContact and recordStoreContact record the last contact.
func (y *synchronisation) recordPeerContact(now model.Instant)  { y.lastPeerContact = now }
func (y *synchronisation) recordStoreContact(now model.Instant) { y.lastStoreContact = now }

// hasRecentPeerContact reports whether any peer was in contact within peerTimeout.
func (y *synchronisation) hasRecentPeerContact(now model.Instant) bool {
	return now.Sub(y.lastPeerContact) < peerTimeout
}

// checkSync updates the isolation state, and pulls from peers while a
// synchronisation is in progress.
func (s *State) checkSync(ctx *step.Context) {
	y := &s.sync
	s.updateIsolation(ctx)
	if !y.inProgress() {
		return
	}
	if y.catchingUp && ctx.Now.Sub(y.startedAt) >= maxCatchUpTime {
		ctx.Log(effect.Warning, "config", "catch-up timed out without a read of the store or replies from enough peers")
		y.finish()
		return
	}
	if ctx.Now.Sub(y.startedAt) < peerDiscoveryTime && !y.catchingUp {
		return
	}
	s.pullFromPeers(ctx)
	s.checkPeerReplies(ctx)
}

// pullFromPeers asks up to requiredPeerReplies random partners for log entries.
func (s *State) pullFromPeers(ctx *step.Context) {
	if s.sync.lastPull != 0 && ctx.Now.Sub(s.sync.lastPull) < syncPullInterval {
		return
	}
	s.sync.lastPull = ctx.Now
	for _, host := range s.randomPartners(ctx, requiredPeerReplies, "") {
		ctx.Send(host, message.LogPull{After: s.history.applied()})
	}
}

// checkPeerReplies finishes the synchronisation when enough peers have replied.
func (s *State) checkPeerReplies(ctx *step.Context) {
	candidates := 0
	for _, member := range ctx.View.Members() {
		isOther := member.Host != ctx.Self.Host
		if isOther && (member.State == model.Serving || member.State == model.Leaving) {
			candidates++
		}
	}
	needed := max(1, min(requiredPeerReplies, candidates))
	if len(s.sync.confirmedPeers) < needed {
		return
	}
	ctx.Log(effect.Info, "config", "synchronised from peers")
	s.sync.finish()
}

// updateIsolation stops new work when the node has had no contact with the store or
// any peer for isolationTimeout although it knows of other hosts, because they may
// have accepted changes since. A node that knows of no other host continues.
func (s *State) updateIsolation(ctx *step.Context) {
	y := &s.sync
	noContact := ctx.Now.Sub(max(y.lastPeerContact, y.lastStoreContact)) >= isolationTimeout
	isolated := noContact && s.hosts.OtherHostCount() > 0
	switch {
	case isolated && !y.isolated:
		y.isolated = true
		ctx.Log(effect.Warning, "config", "isolated from the store and all peers")
	case !isolated && y.isolated:
		ctx.Log(effect.Warning, "config", "no longer isolated: catching up")
		s.HandleResume(ctx)
	}
}
