package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// sampleInForce returns the known revisions of some other hosts: the most recently
// observed ones out of a random choice.
func (s *State) sampleInForce(ctx *step.Context) []message.InForce {
	var known []*record
	for _, r := range s.records {
		if r.revisionObservedAt != 0 && r.isAlive() {
			known = append(known, r)
		}
	}
	for i := range min(inForceCandidates, len(known)) {
		j := i + ctx.Random.IntN(len(known)-i)
		known[i], known[j] = known[j], known[i]
	}
	known = known[:min(inForceCandidates, len(known))]
	slices.SortStableFunc(known, func(a, b *record) int { return cmp.Compare(b.revisionObservedAt, a.revisionObservedAt) })
	var sample []message.InForce
	for _, r := range known[:min(maxInForceSample, len(known))] {
		sample = append(sample, message.InForce{
			Host:        r.member.Host,
			Incarnation: r.member.Incarnation,
			Revision:    r.member.Revision,
			Age:         int64(ctx.Now.Sub(r.revisionObservedAt)),
		})
	}
	return sample
}

// mergeInForce merges a peer's sample of other hosts' revisions.
func (s *State) mergeInForce(now model.Instant, known []message.InForce) {
	for _, k := range known {
		r := s.record(k.Host)
		if r == nil || k.Incarnation != r.member.Incarnation {
			continue
		}
		observed := now.Add(-time.Duration(k.Age))
		if observed <= r.revisionObservedAt {
			continue
		}
		r.revisionObservedAt = observed
		r.member.Revision = max(r.member.Revision, k.Revision)
		if observed > r.streamLostAt {
			r.streamLostAt = 0
		}
	}
}

// HostRevision is the last known configuration revision of one host.
type HostRevision struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
	State         model.MemberState
	Revision      model.Revision
	// Lag is the number of revisions that the host is behind the newest known one.
	Lag model.Revision
	// Age is the time since the revision was observed on the host; negative if the
	// revision is unknown.
	Age time.Duration
}

// Revisions returns the known revision of every host, ordered by host.
func (s *State) Revisions(now model.Instant) []HostRevision {
	selfAt, _ := s.searchRecord(s.self.Host)
	revisions := make([]HostRevision, 0, len(s.records)+1)
	for i := 0; i <= len(s.records); i++ {
		if i == selfAt {
			revisions = append(revisions, s.hostRevision(s.self, 0))
		}
		if i < len(s.records) {
			r := s.records[i]
			revisions = append(revisions, s.hostRevision(r.member, r.age(now)))
		}
	}
	return revisions
}

// age returns the time since the host's revision was observed, or a negative value
// if it is unknown.
func (r *record) age(now model.Instant) time.Duration {
	if r.revisionObservedAt == 0 {
		return -1
	}
	return now.Sub(r.revisionObservedAt)
}

// hostRevision returns the revision of one member.
func (s *State) hostRevision(m model.Member, age time.Duration) HostRevision {
	lag := model.Revision(0)
	if m.Revision < s.latestRevision {
		lag = s.latestRevision - m.Revision
	}
	return HostRevision{
		Host:          m.Host,
		FailureDomain: m.FailureDomain,
		State:         m.State,
		Revision:      m.Revision,
		Lag:           lag,
		Age:           age,
	}
}

// OtherHostCount returns the number of other hosts that the node knows of.
func (s *State) OtherHostCount() int { return len(s.records) }
