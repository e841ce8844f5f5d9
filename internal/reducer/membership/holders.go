package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// hashView returns a hash of the members and their incarnations, never zero.
// Incarnations are included because a new one does not have the revision of an
// earlier one in force.
func hashView(members []model.Member) uint64 {
	digest := xxhash.New()
	for _, m := range members {
		// Writing to a hash never fails.
		_, _ = digest.WriteString(string(m.Host) + "\x00" + strconv.FormatUint(uint64(m.Incarnation), 36) + "\x00")
	}
	return max(1, digest.Sum64())
}

// recordRevision records that a revision exists.
func (s *State) recordRevision(now model.Instant, revision model.Revision) {
	if revision > s.latestRevision {
		s.latestRevision = revision
		s.latestLearnedAt = now
	}
}

// holders returns the set of members that are known to have the latest revision in
// force. While a revision is the latest, sets only grow, so nodes can merge them in
// any order and all know the complete set after a few rounds.
func (s *State) holders() message.Holders {
	if s.isFullMesh() || s.latestRevision == 0 {
		return message.Holders{}
	}
	bits := make([]byte, (len(s.members)+7)/8)
	for i, m := range s.members {
		if s.revisionOf(m.Host) >= s.latestRevision {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return message.Holders{View: s.viewHash, Bits: bits}
}

// revisionOf returns the newest revision known to be in force on a host.
func (s *State) revisionOf(host model.HostID) model.Revision {
	if host == s.self.Host {
		return s.self.Revision
	}
	if r := s.record(host); r != nil {
		return r.member.Revision
	}
	return 0
}

// mergeHolders merges a peer's set for the latest revision. The set does not carry
// the age of its information; that cannot be older than the revision itself.
func (s *State) mergeHolders(holders message.Holders) {
	if holders.View != s.viewHash || len(holders.Bits) < (len(s.members)+7)/8 {
		return
	}
	for i, m := range s.members {
		if holders.Bits[i/8]&(1<<(i%8)) == 0 || m.Host == s.self.Host {
			continue
		}
		r := s.record(m.Host)
		r.member.Revision = max(r.member.Revision, s.latestRevision)
		r.revisionObservedAt = max(r.revisionObservedAt, s.latestLearnedAt)
	}
}
