package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// sampleInForce lists what is known of some other hosts' revisions: the most
// recent of a random choice.
func (s *State) sampleInForce(ctx *step.Context) []message.InForce {
	var known []*record
	for _, r := range s.records {
		if r.observed != 0 && r.isAlive() {
			known = append(known, r)
		}
	}
	for i := range min(inForceChoice, len(known)) {
		j := i + ctx.Random.IntN(len(known)-i)
		known[i], known[j] = known[j], known[i]
	}
	known = known[:min(inForceChoice, len(known))]
	slices.SortStableFunc(known, func(a, b *record) int { return cmp.Compare(b.observed, a.observed) })
	var sample []message.InForce
	for _, r := range known[:min(inForceSample, len(known))] {
		sample = append(sample, message.InForce{
			Host:        r.member.Host,
			Incarnation: r.member.Incarnation,
			Revision:    r.member.Revision,
			Age:         int64(ctx.Now.Sub(r.observed)),
		})
	}
	return sample
}

// learnInForce takes in what a peer knows of other hosts' revisions.
func (s *State) learnInForce(now model.Instant, known []message.InForce) {
	for _, k := range known {
		r := s.record(k.Host)
		if r == nil || k.Incarnation != r.member.Incarnation {
			continue
		}
		observed := now.Add(-time.Duration(k.Age))
		if observed <= r.observed {
			continue
		}
		r.observed = observed
		r.member.Revision = max(r.member.Revision, k.Revision)
		if observed > r.lost {
			r.lost = 0
		}
	}
}

// HostRevision is what is known of the configuration on one host.
type HostRevision struct {
	Host          model.HostID
	FailureDomain model.FailureDomain
	State         model.MemberState
	Revision      model.Revision
	// Lag is how many revisions the host is behind the newest one known.
	Lag model.Revision
	// Age is how old the knowledge is; negative means that the host's revision is
	// not known.
	Age time.Duration
}

// Revisions returns what is known of every host's configuration, ordered by
// host.
func (s *State) Revisions(now model.Instant) []HostRevision {
	selfAt, _ := s.search(s.self.Host)
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

// age returns how old the knowledge of the host's revision is.
func (r *record) age(now model.Instant) time.Duration {
	if r.observed == 0 {
		return -1
	}
	return now.Sub(r.observed)
}

// hostRevision describes one host's configuration.
func (s *State) hostRevision(m model.Member, age time.Duration) HostRevision {
	lag := model.Revision(0)
	if m.Revision < s.latest {
		lag = s.latest - m.Revision
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

// Others returns the number of other hosts that the node knows of.
func (s *State) Others() int { return len(s.records) }
