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
	// pushFanout is how many peers a node sends a new entry to.
	pushFanout = 4
	// entriesPerMessage and bytesPerMessage bound one message of entries.
	entriesPerMessage = 64
	bytesPerMessage   = 256 << 10
	// pullTimeout is how long a node waits for a peer before it asks another.
	pullTimeout = 500 * time.Millisecond
)

// exchange is the open pull.
type exchange struct {
	// asked is when the node last pulled; zero when no pull is open.
	asked model.Instant
	peer  model.HostID
}

// follow pulls from a peer that has a higher revision.
func (s *State) follow(ctx *step.Context, from model.HostID, revision model.Revision) {
	if revision <= s.history.applied() {
		return
	}
	open := s.exchange.asked != 0 && ctx.Now.Sub(s.exchange.asked) < pullTimeout
	if !open {
		s.pull(ctx, from)
	}
}

// pull asks a peer for the entries that the node lacks.
func (s *State) pull(ctx *step.Context, from model.HostID) {
	s.exchange = exchange{asked: ctx.Now, peer: from}
	ctx.Send(from, message.LogPull{After: s.history.applied()})
	ctx.Count(metricPulls, "")
}

// answerPull sends what a peer lacks. A node that has not yet synchronised
// itself answers with nothing, so that it is not taken for a witness.
func (s *State) answerPull(ctx *step.Context, from model.HostID, m message.LogPull) {
	if !s.sync.synced {
		ctx.Send(from, message.LogEntries{})
		return
	}
	reply := message.LogEntries{Latest: s.history.applied()}
	entries, kept := s.history.after(m.After, entriesPerMessage)
	if !kept {
		encoded, err := s.history.snapshotInForce()
		if err != nil {
			ctx.Log(effect.Error, "config", err.Error())
			return
		}
		reply.Snapshot = encoded
		reply.SnapshotRevision = s.history.applied()
	}
	reply.Entries = boundBytes(entries)
	ctx.Send(from, reply)
}

// boundBytes cuts a list of entries to the size of a message; one entry always
// fits.
func boundBytes(entries []model.LogEntry) []model.LogEntry {
	size := 0
	for i, entry := range entries {
		size += len(entry.Text)
		if i > 0 && size > bytesPerMessage {
			return entries[:i]
		}
	}
	return entries
}

// takeEntries applies what a peer sent. Peers send only what they have applied,
// so their entries need no floor; what is not newer is ignored.
func (s *State) takeEntries(ctx *step.Context, from model.HostID, m message.LogEntries) {
	if s.exchange.peer == from {
		s.exchange = exchange{}
	}
	if len(m.Snapshot) > 0 && m.SnapshotRevision > s.history.applied() {
		s.takePeerSnapshot(ctx, m)
	}
	for _, entry := range m.Entries {
		s.history.add(entry)
	}
	s.sync.answered(from, m.Latest, s.history.applied())
	s.follow(ctx, from, m.Latest)
}

// takePeerSnapshot installs a peer's snapshot.
func (s *State) takePeerSnapshot(ctx *step.Context, m message.LogEntries) {
	decoded, err := decodeSnapshot(m.Snapshot)
	if err != nil {
		ctx.Log(effect.Error, "config", err.Error())
		return
	}
	s.history.install(decoded, len(m.Snapshot))
}

// spread passes new entries on to some peers and reports whether there are any.
// A long run of entries is not pushed: peers that lack it pull.
func (s *State) spread(ctx *step.Context, before model.Revision, source model.HostID) (changed bool) {
	applied := s.history.applied()
	if applied == before {
		return false
	}
	entries, kept := s.history.after(before, entriesPerMessage)
	if !kept || len(entries) == 0 || !s.sync.synced {
		return true
	}
	m := message.LogEntries{Entries: boundBytes(entries), Latest: applied}
	for _, host := range s.pickPeers(ctx, pushFanout, source) {
		ctx.Send(host, m)
	}
	ctx.Count(metricPushes, "")
	return true
}

// pickPeers returns some random partners, without the one that the news came
// from.
func (s *State) pickPeers(ctx *step.Context, count int, except model.HostID) []model.HostID {
	hosts := slices.Clone(s.hosts.Partners())
	hosts = slices.DeleteFunc(hosts, func(host model.HostID) bool { return host == except })
	ctx.Random.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	return hosts[:min(count, len(hosts))]
}
