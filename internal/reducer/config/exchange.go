package config

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of the exchange with peers.
const (
	// pushFanout is the number of peers that a node sends a new entry to.
	pushFanout = 4
	// entriesPerMessage and bytesPerMessage bound the entries of one message.
	entriesPerMessage = 64
	bytesPerMessage   = 256 << 10
	// pullTimeout is how long a node waits for a pull's reply before it pulls
	// again.
	pullTimeout = 500 * time.Millisecond
)

// pendingPull is the last pull that was not answered yet.
type pendingPull struct {
	// sentAt is when the pull was sent; zero if no pull is pending.
	sentAt model.Instant
	peer   model.HostID
}

// pullIfBehind pulls from a peer that has a higher revision, unless a pull is
// pending.
func (s *State) pullIfBehind(ctx *step.Context, from model.HostID, revision model.Revision) {
	if revision <= s.history.applied() {
		return
	}
	open := s.pendingPull.sentAt != 0 && ctx.Now.Sub(s.pendingPull.sentAt) < pullTimeout
	if !open {
		s.pull(ctx, from)
	}
}

// pull asks a peer for the entries that the node lacks.
func (s *State) pull(ctx *step.Context, from model.HostID) {
	s.pendingPull = pendingPull{sentAt: ctx.Now, peer: from}
	ctx.Send(from, message.LogPull{After: s.history.applied()})
	ctx.Count(metricPulls, "")
}

// answerPull sends the entries that a peer lacks, with a snapshot if the oldest of
// them are no longer kept. A node that is not yet synchronised itself replies
// without a revision, so that it does not count as a confirmed peer.
func (s *State) answerPull(ctx *step.Context, from model.HostID, m message.LogPull) {
	if !s.sync.synced {
		ctx.Send(from, message.LogEntries{})
		return
	}
	reply := message.LogEntries{Latest: s.history.applied()}
	entries, available := s.history.entriesAfter(m.After, entriesPerMessage)
	if !available {
		encoded, err := s.history.currentSnapshot()
		if err != nil {
			ctx.Log(effect.Error, "config", err.Error())
			return
		}
		reply.Snapshot = encoded
		reply.SnapshotRevision = s.history.applied()
	}
	reply.Entries = limitBytes(entries)
	ctx.Send(from, reply)
}

// limitBytes returns the first entries whose texts fit into bytesPerMessage, and at
// least one.
func limitBytes(entries []model.LogEntry) []model.LogEntry {
	size := 0
	for i, entry := range entries {
		size += len(entry.Text)
		if i > 0 && size > bytesPerMessage {
			return entries[:i]
		}
	}
	return entries
}

// handlePeerEntries applies a peer's entries. Peers send only entries that they
// have applied, so these need no check against the floor; entries that are not
// newer are ignored.
func (s *State) handlePeerEntries(ctx *step.Context, from model.HostID, m message.LogEntries) {
	if s.pendingPull.peer == from {
		s.pendingPull = pendingPull{}
	}
	if len(m.Snapshot) > 0 && m.SnapshotRevision > s.history.applied() {
		s.installPeerSnapshot(ctx, m)
	}
	for _, entry := range m.Entries {
		s.history.add(entry)
	}
	s.sync.recordReply(from, m.Latest, s.history.applied())
	s.pullIfBehind(ctx, from, m.Latest)
}

// installPeerSnapshot installs a peer's snapshot.
func (s *State) installPeerSnapshot(ctx *step.Context, m message.LogEntries) {
	decoded, err := decodeSnapshot(m.Snapshot)
	if err != nil {
		ctx.Log(effect.Error, "config", err.Error())
		return
	}
	s.history.installSnapshot(decoded, len(m.Snapshot))
}

// pushNewEntries sends newly applied entries to some peers and reports whether
// there are any. Nothing is pushed before the first synchronisation, or if the
// first of the entries is no longer kept; peers that lack them pull.
func (s *State) pushNewEntries(ctx *step.Context, before model.Revision, source model.HostID) (changed bool) {
	applied := s.history.applied()
	if applied == before {
		return false
	}
	entries, available := s.history.entriesAfter(before, entriesPerMessage)
	if !available || len(entries) == 0 || !s.sync.synced {
		return true
	}
	m := message.LogEntries{Entries: limitBytes(entries), Latest: applied}
	for _, host := range s.randomPartners(ctx, pushFanout, source) {
		ctx.Send(host, m)
	}
	ctx.Count(metricPushes, "")
	return true
}

// randomPartners returns up to count random partners without the excluded one.
func (s *State) randomPartners(ctx *step.Context, count int, exclude model.HostID) []model.HostID {
	hosts := slices.Clone(s.hosts.Partners())
	hosts = slices.DeleteFunc(hosts, func(host model.HostID) bool { return host == exclude })
	ctx.Random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}
