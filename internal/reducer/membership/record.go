package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// probationDigests is how many digests a monitored host must send after it was
// suspected, until it counts as alive. Hysteresis keeps a host whose digests
// come now and then from changing its state at each.
const probationDigests = 2

// record is what the node knows of another host.
type record struct {
	// member is the host's description with the state that this node judges.
	member model.Member
	// described is false while only the platform's list has named the host.
	described bool
	// told is the state that the host gave, or that a monitor found, at sequence.
	told     model.MemberState
	sequence uint64
	// advanced is when a higher sequence was learned, from the host or by rumor.
	advanced model.Instant
	// monitored is since when this node judges the host's silence; zero means
	// that others do.
	monitored model.Instant
	// lost is when the stream to the host broke; zero once it was heard again.
	lost model.Instant
	// probation counts the digests that a suspected host still has to send.
	probation int
	// listed and listedLeaving are what the platform's list says.
	listed        bool
	listedLeaving bool
	// observed is when the host's revision was read on the host itself, on this
	// node's clock.
	observed model.Instant
	// changed is when the judged state last changed.
	changed model.Instant
	// introductions counts the digests sent to the host before it was described.
	introductions int
	// helped is when the host was last sent the descriptions of all others.
	helped model.Instant
	// rumors counts the digests that will still carry the host's description.
	rumors int
	// place is the host's place on the hash ring.
	place uint64
}

// isMonitored reports whether this node judges the host's silence.
func (r *record) isMonitored() bool { return r.monitored != 0 }

// isAlive reports whether the host was described and is not failed.
func (r *record) isAlive() bool { return r.described && r.member.State != model.Failed }

// place returns a host's place on the hash ring.
func place(host model.HostID) uint64 { return xxhash.Sum64String("membership/" + string(host)) }

// record returns what is known of a host, or nil.
func (s *State) record(host model.HostID) *record {
	at, found := s.search(host)
	if !found {
		return nil
	}
	return s.records[at]
}

// search finds a host's index in the records.
func (s *State) search(host model.HostID) (int, bool) {
	return slices.BinarySearchFunc(s.records, host, func(r *record, host model.HostID) int {
		return strings.Compare(string(r.member.Host), string(host))
	})
}

// ensure returns a host's record and makes it if there is none.
func (s *State) ensure(host model.HostID) *record {
	at, found := s.search(host)
	if found {
		return s.records[at]
	}
	r := &record{member: model.Member{Host: host, State: model.Starting}, place: place(host)}
	s.records = slices.Insert(s.records, at, r)
	at, _ = slices.BinarySearchFunc(s.ring, r, compareRing)
	s.ring = slices.Insert(s.ring, at, r)
	return r
}

// compareRing orders records by their places on the ring.
func compareRing(a, b *record) int {
	return cmp.Or(cmp.Compare(a.place, b.place), strings.Compare(string(a.member.Host), string(b.member.Host)))
}

// hear takes in a host's own digest. It reports false for one from an earlier
// life or out of order.
func (s *State) hear(now model.Instant, r *record, m message.Digest) bool {
	isNewLife := !r.described || m.Member.Incarnation > r.member.Incarnation
	isOld := m.Member.Incarnation < r.member.Incarnation
	if isOld || (!isNewLife && m.Sequence <= r.sequence) {
		return false
	}
	wasAlive := r.member.State != model.Suspected && r.member.State != model.Failed
	s.describe(now, r, m.Member, m.Sequence)
	r.observed = now
	r.lost = 0
	switch {
	case isNewLife:
		r.probation = 0
	case r.probation > 0:
		r.probation--
	case !wasAlive && r.isMonitored():
		r.probation = probationDigests - 1
	}
	return true
}

// describe takes a newer description over. What others should know becomes a
// rumor.
func (s *State) describe(now model.Instant, r *record, member model.Member, sequence uint64) {
	judged := r.member.State
	isNews := !r.described || member.State != r.told || differ(member, r.member)
	if !r.described || member.Incarnation > r.member.Incarnation || sequence > r.sequence {
		r.advanced = now
	}
	r.described = true
	r.told = member.State
	r.sequence = sequence
	r.member = member
	r.member.State = judged
	if isNews {
		s.spread(r)
	}
}

// differ reports whether two descriptions differ in more than state and
// revision.
func differ(a, b model.Member) bool {
	a.State, a.Revision = b.State, b.Revision
	return a != b
}

// list takes in the platform's entry. The host's own description outranks it.
func (r *record) list(entry model.HostEntry) {
	r.listed = true
	r.listedLeaving = entry.Leaving
	if !r.described {
		r.member.FailureDomain = entry.FailureDomain
		r.member.PeerAddress = entry.PeerAddress
	}
}

// judgeSilence makes a monitored host's silence known.
func (s *State) judgeSilence(now model.Instant, r *record) {
	if !r.described || !r.isMonitored() {
		return
	}
	silence := now.Sub(max(r.advanced, r.monitored))
	if r.lost != 0 {
		// A broken stream is a second sign: half the silence is enough.
		silence *= 2
	}
	found := r.told
	switch {
	case silence >= s.stretch(s.settings.FailAfter):
		found = model.Failed
	case silence >= s.stretch(s.settings.SuspectAfter) && r.told != model.Failed:
		found = model.Suspected
	}
	if found != r.told {
		r.told = found
		s.spread(r)
	}
}

// judge returns the host's state in this node's view.
func (r *record) judge(leaving []model.HostID) model.MemberState {
	switch {
	case !r.described:
		return model.Starting
	case r.told == model.Failed || r.told == model.Suspected:
		return r.told
	case r.lost != 0 || r.probation > 0:
		return model.Suspected
	case r.listedLeaving || slices.Contains(leaving, r.member.Host):
		return model.Leaving
	default:
		return r.told
	}
}

// refresh judges all hosts anew. It reports whether the view changed.
func (s *State) refresh(now model.Instant, config *model.Config) (changed bool) {
	s.self.State = s.declared
	if s.declared == model.Serving && slices.Contains(config.LeavingHosts, s.self.Host) {
		s.self.State = model.Leaving
	}
	s.assignMonitors(now)
	forgotten := false
	for _, r := range s.records {
		s.judgeSilence(now, r)
		state := r.judge(config.LeavingHosts)
		if state != r.member.State {
			r.member.State = state
			r.changed = now
		}
		forgotten = forgotten || r.isForgettable(now)
	}
	if forgotten {
		forget := func(r *record) bool { return r.isForgettable(now) }
		s.records = slices.DeleteFunc(s.records, forget)
		s.ring = slices.DeleteFunc(s.ring, forget)
	}
	return s.rebuild()
}

// isForgettable reports whether nothing is to be expected of the host any more.
func (r *record) isForgettable(now model.Instant) bool {
	isGone := !r.described || r.member.State == model.Failed
	return !r.listed && isGone && now.Sub(r.changed) >= forgetAfter
}

// rebuild makes the list of members that are not failed. It reports whether a
// host, its life, address or state changed.
func (s *State) rebuild() (changed bool) {
	members := make([]model.Member, 0, len(s.records)+1)
	selfAt, _ := s.search(s.self.Host)
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
	changed = !slices.EqualFunc(s.members, members, sameView)
	s.members = members
	if changed {
		s.viewHash = hashView(members)
	}
	return changed
}

// sameView reports whether two descriptions differ in nothing but the revision.
func sameView(a, b model.Member) bool {
	a.Revision = b.Revision
	return a == b
}
