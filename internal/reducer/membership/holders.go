package membership

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// hashView returns a hash of the members and their lives, never zero. A new life
// does not have in force what an earlier one had.
func hashView(members []model.Member) uint64 {
	digest := xxhash.New()
	for _, m := range members {
		// Writing to a hash never fails.
		_, _ = digest.WriteString(string(m.Host) + "\x00" + strconv.FormatUint(uint64(m.Incarnation), 36) + "\x00")
	}
	return max(1, digest.Sum64())
}

// noteRevision takes in that a revision exists.
func (s *State) noteRevision(now model.Instant, revision model.Revision) {
	if revision > s.latest {
		s.latest = revision
		s.latestSince = now
	}
}

// holders returns which members have the latest revision in force, as far as the
// node knows. Sets only grow while a revision is the latest, so that nodes merge
// them in any order and all know the whole set after a few rounds.
func (s *State) holders() message.Holders {
	if s.hasFewHosts() || s.latest == 0 {
		return message.Holders{}
	}
	bits := make([]byte, (len(s.members)+7)/8)
	for i, m := range s.members {
		if s.revisionOf(m.Host) >= s.latest {
			bits[i/8] |= 1 << (i % 8)
		}
	}
	return message.Holders{View: s.viewHash, Bits: bits}
}

// revisionOf returns the newest revision that is known to be in force on a host.
func (s *State) revisionOf(host model.HostID) model.Revision {
	if host == s.self.Host {
		return s.self.Revision
	}
	if r := s.record(host); r != nil {
		return r.member.Revision
	}
	return 0
}

// learnHolders takes in a peer's set for the latest revision. How old its
// knowledge is the set does not tell; it cannot be older than the revision.
func (s *State) learnHolders(holders message.Holders) {
	if holders.View != s.viewHash || len(holders.Bits) < (len(s.members)+7)/8 {
		return
	}
	for i, m := range s.members {
		if holders.Bits[i/8]&(1<<(i%8)) == 0 || m.Host == s.self.Host {
			continue
		}
		r := s.record(m.Host)
		r.member.Revision = max(r.member.Revision, s.latest)
		r.observed = max(r.observed, s.latestSince)
	}
}
