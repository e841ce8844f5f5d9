package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// probationDigests is the number of digests that a monitored host must send after
// it was suspected before it counts as alive. This hysteresis keeps a host with
// intermittent digests from changing its state with each of them.
const probationDigests = 2

// record is this node's information about another host.
type record struct {
	// member is the host's description with its state as determined by this node.
	member model.Member
	// described is false while only the platform's list has named the host.
	described bool
	// reportedState is the state that the host declared, or that a monitor
	// detected, at sequence.
	reportedState model.MemberState
	sequence      uint64
	// lastAdvance is when a higher sequence was received, from the host or in a
	// rumor.
	lastAdvance model.Instant
	// monitoredSince is when this node started to monitor the host; zero if other
	// hosts monitor it.
	monitoredSince model.Instant
	// streamLostAt is when the stream to the host broke; zero once newer
	// information about the host has arrived.
	streamLostAt model.Instant
	// probationLeft is the number of digests that a suspected host still has to
	// send.
	probationLeft int
	// listed and listedLeaving reflect the platform's list.
	listed        bool
	listedLeaving bool
	// revisionObservedAt is when the host's revision was observed on the host itself,
	// on this node's clock; zero if it is unknown.
	revisionObservedAt model.Instant
	// stateChangedAt is when member.State last changed.
	stateChangedAt model.Instant
	// introductionsSent is the number of digests sent to the host before it was
	// described.
	introductionsSent int
	// tableSentAt is when the host was last sent the descriptions of all others.
	tableSentAt model.Instant
	// rumorsLeft is the number of digests that will still carry the host's
	// description.
	rumorsLeft int
	// ringPosition is the host's position on the hash ring.
	ringPosition uint64
}

// isMonitored reports whether this node monitors the host.
func (r *record) isMonitored() bool { return r.monitoredSince != 0 }

// isAlive reports whether the host was described and is not failed.
func (r *record) isAlive() bool { return r.described && r.member.State != model.Failed }

// ringPosition returns a host's position on the hash ring.
func ringPosition(host model.HostID) uint64 { return xxhash.Sum64String("membership/" + string(host)) }

// record returns a host's record, or nil if the host is unknown.
func (s *State) record(host model.HostID) *record {
	at, found := s.searchRecord(host)
	if !found {
		return nil
	}
	return s.records[at]
}

// searchRecord returns a host's index in the records, or the index to insert it at.
func (s *State) searchRecord(host model.HostID) (int, bool) {
	return slices.BinarySearchFunc(s.records, host, func(r *record, host model.HostID) int {
		return strings.Compare(string(r.member.Host), string(host))
	})
}

// ensureRecord returns a host's record and creates it if there is none.
func (s *State) ensureRecord(host model.HostID) *record {
	at, found := s.searchRecord(host)
	if found {
		return s.records[at]
	}
	r := &record{member: model.Member{Host: host, State: model.Starting}, ringPosition: ringPosition(host)}
	s.records = slices.Insert(s.records, at, r)
	at, _ = slices.BinarySearchFunc(s.ring, r, compareRing)
	s.ring = slices.Insert(s.ring, at, r)
	return r
}

// compareRing orders records by their positions on the ring.
func compareRing(a, b *record) int {
	return cmp.Or(cmp.Compare(a.ringPosition, b.ringPosition), strings.Compare(string(a.member.Host), string(b.member.Host)))
}

// applyDigest applies a host's own digest. It returns false for a digest of an
// earlier incarnation or one out of order.
func (s *State) applyDigest(now model.Instant, r *record, m message.Digest) bool {
	isNewIncarnation := !r.described || m.Member.Incarnation > r.member.Incarnation
	isOld := m.Member.Incarnation < r.member.Incarnation
	if isOld || (!isNewIncarnation && m.Sequence <= r.sequence) {
		return false
	}
	wasAlive := r.member.State != model.Suspected && r.member.State != model.Failed
	s.applyDescription(now, r, m.Member, m.Sequence)
	r.revisionObservedAt = now
	r.streamLostAt = 0
	switch {
	case isNewIncarnation:
		r.probationLeft = 0
	case r.probationLeft > 0:
		r.probationLeft--
	case !wasAlive && r.isMonitored():
		r.probationLeft = probationDigests - 1
	}
	return true
}

// applyDescription replaces a host's description by a newer one and queues a rumor
// if it differs in more than the revision.
func (s *State) applyDescription(now model.Instant, r *record, member model.Member, sequence uint64) {
	currentState := r.member.State
	isUpdate := !r.described || member.State != r.reportedState || descriptionDiffers(member, r.member)
	if !r.described || member.Incarnation > r.member.Incarnation || sequence > r.sequence {
		r.lastAdvance = now
	}
	r.described = true
	r.reportedState = member.State
	r.sequence = sequence
	r.member = member
	r.member.State = currentState
	if isUpdate {
		s.queueRumor(r)
	}
}

// descriptionDiffers reports whether two descriptions differ in more than state and
// revision.
func descriptionDiffers(a, b model.Member) bool {
	a.State, a.Revision = b.State, b.Revision
	return a != b
}

// applyListEntry applies the platform's entry for a host. The host's own
// description takes precedence.
func (r *record) applyListEntry(entry model.HostEntry) {
	r.listed = true
	r.listedLeaving = entry.Leaving
	if !r.described {
		r.member.FailureDomain = entry.FailureDomain
		r.member.PeerAddress = entry.PeerAddress
	}
}

// detectSilence marks a monitored host as suspected or failed if its sequence has not
// advanced for too long, and queues a rumor if its reported state changes.
func (s *State) detectSilence(now model.Instant, r *record) {
	if !r.described || !r.isMonitored() {
		return
	}
	silence := now.Sub(max(r.lastAdvance, r.monitoredSince))
	if r.streamLostAt != 0 {
		// A broken stream is a second sign of failure, so half the time suffices.
		silence *= 2
	}
	state := r.reportedState
	switch {
	case silence >= s.scaleTimeout(s.settings.FailAfter):
		state = model.Failed
	case silence >= s.scaleTimeout(s.settings.SuspectAfter) && r.reportedState != model.Failed:
		state = model.Suspected
	}
	if state != r.reportedState {
		r.reportedState = state
		s.queueRumor(r)
	}
}

// currentState returns the host's state in this node's view.
func (r *record) currentState(leaving []model.HostID) model.MemberState {
	switch {
	case !r.described:
		return model.Starting
	case r.reportedState == model.Failed || r.reportedState == model.Suspected:
		return r.reportedState
	case r.streamLostAt != 0 || r.probationLeft > 0:
		return model.Suspected
	case r.listedLeaving || slices.Contains(leaving, r.member.Host):
		return model.Leaving
	default:
		return r.reportedState
	}
}

// refreshView updates the states of all hosts and removes expired records. It
// reports whether the view changed.
func (s *State) refreshView(now model.Instant, config *model.Config) (changed bool) {
	s.self.State = s.declaredState
	if s.declaredState == model.Serving && slices.Contains(config.LeavingHosts, s.self.Host) {
		s.self.State = model.Leaving
	}
	s.assignMonitors(now)
	expired := false
	for _, r := range s.records {
		s.detectSilence(now, r)
		state := r.currentState(config.LeavingHosts)
		if state != r.member.State {
			r.member.State = state
			r.stateChangedAt = now
		}
		expired = expired || r.isExpired(now)
	}
	if expired {
		isExpired := func(r *record) bool { return r.isExpired(now) }
		s.records = slices.DeleteFunc(s.records, isExpired)
		s.ring = slices.DeleteFunc(s.ring, isExpired)
	}
	return s.rebuildMembers()
}

// isExpired reports whether the host's record can be removed: the host is not listed, it
// has failed or was never described, and its state has not changed for expireAfter.
func (r *record) isExpired(now model.Instant) bool {
	isDown := !r.described || r.member.State == model.Failed
	return !r.listed && isDown && now.Sub(r.stateChangedAt) >= expireAfter
}

// rebuildMembers rebuilds the list of members that are not failed. It reports
// whether anything but a revision changed.
func (s *State) rebuildMembers() (changed bool) {
	members := make([]model.Member, 0, len(s.records)+1)
	selfAt, _ := s.searchRecord(s.self.Host)
	for i, r := range s.records {
		if i == selfAt {
			members = append(members, s.self)
		}
		if r.isAlive() {
			members = append(members, r.member)
		}
	}
	if selfAt == len(s.records) {
		members = append(members, s.self)
	}
	changed = !slices.EqualFunc(s.members, members, equalExceptRevision)
	s.members = members
	if changed {
		s.viewHash = hashView(members)
	}
	return changed
}

// equalExceptRevision reports whether two descriptions differ at most in the
// revision.
func equalExceptRevision(a, b model.Member) bool {
	a.Revision = b.Revision
	return a == b
}
