package membership

import (
	"slices"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// forgetAfterFails is how many failure times after its failure a host that is
// not listed is forgotten.
const forgetAfterFails = 100

// record is what the node knows of another.
type record struct {
	member model.Member
	// declared is the state that the host gave in its last digest.
	declared model.MemberState
	// heard is when the last digest came; zero means never.
	heard    model.Instant
	sequence uint64
	// lost is when the stream to the host last broke; a later digest clears it.
	lost bool
	// listed and listedLeaving are what the platform's list says.
	listed        bool
	listedLeaving bool
	// observed is when the member's revision was read on its own host, on this
	// node's clock.
	observed model.Instant
}

// record returns what is known of a host, or nil.
func (s *State) record(host model.HostID) *record {
	at, found := s.search(host)
	if !found {
		return nil
	}
	return s.records[at]
}

// search finds a host's place.
func (s *State) search(host model.HostID) (int, bool) {
	return slices.BinarySearchFunc(s.records, host, func(r *record, host model.HostID) int {
		return strings.Compare(string(r.member.Host), string(host))
	})
}

// ensure returns a host's record and makes it if there is none.
func (s *State) ensure(host model.HostID) *record {
	at, found := s.search(host)
	if !found {
		r := &record{member: model.Member{Host: host, State: model.Starting}}
		s.records = slices.Insert(s.records, at, r)
	}
	return s.records[at]
}

// hear takes in the host's own description. It reports false for one from an
// earlier life or out of order.
func (r *record) hear(now model.Instant, member model.Member, sequence uint64) bool {
	if member.Incarnation < r.member.Incarnation {
		return false
	}
	if member.Incarnation == r.member.Incarnation && sequence <= r.sequence {
		return false
	}
	state := r.member.State
	r.member = member
	r.member.State = state
	r.declared = member.State
	r.sequence = sequence
	r.heard = now
	r.observed = now
	r.lost = false
	return true
}

// list takes in the platform's entry. The host's own description outranks it.
func (r *record) list(entry model.HostEntry) {
	r.listed = true
	r.listedLeaving = entry.Leaving
	if r.heard == 0 {
		r.member.FailureDomain = entry.FailureDomain
		r.member.PeerAddress = entry.PeerAddress
	}
}

// suspect notes that the stream to the host broke.
func (r *record) suspect(now model.Instant, settings Settings) { r.lost = true }

// state judges the host.
func (r *record) state(now model.Instant, settings Settings) model.MemberState {
	silence := now.Sub(r.heard)
	switch {
	case r.heard == 0:
		return model.Starting
	case silence >= settings.FailAfter:
		return model.Failed
	case silence >= settings.SuspectAfter || r.lost:
		return model.Suspected
	case r.listedLeaving:
		return model.Leaving
	default:
		return r.declared
	}
}

// refresh judges all hosts anew. It reports whether the view changed.
func (s *State) refresh(now model.Instant, config *model.Config) (changed bool) {
	for _, r := range s.records {
		r.member.State = r.state(now, s.settings)
		if config != nil && r.member.State == model.Serving && slices.Contains(config.LeavingHosts, r.member.Host) {
			r.member.State = model.Leaving
		}
	}
	s.records = slices.DeleteFunc(s.records, func(r *record) bool {
		return !r.listed && now.Sub(r.heard) >= forgetAfterFails*s.settings.FailAfter
	})
	return s.rebuild()
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
		if r.heard != 0 && r.member.State != model.Failed {
			members = append(members, r.member)
		}
	}
	if selfAt == len(s.records) {
		members = append(members, s.self)
	}
	changed = !slices.EqualFunc(s.members, members, sameView)
	s.members = members
	return changed
}

// sameView reports whether two descriptions differ in nothing but the revision.
func sameView(a, b model.Member) bool {
	a.Revision = b.Revision
	return a == b
}
