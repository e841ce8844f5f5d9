package blame

import (
	"cmp"
	"slices"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Verdict is the judgement of a crash.
type Verdict struct {
	Crash Crash
	// Condemned means that the content is to be blocked.
	Condemned bool
	// Points is the weight of all crashes so far. The other fields are what decided the weight
	// of this one: whether it happened in a trial, whether another cause is likely, whether
	// other content ran on the upstream that may have caused it, and whether the content has
	// run to its end on this node before.
	Points    int
	InTrial   bool
	Explained bool
	Shared    bool
	RanBefore bool
}

// Judge returns the verdicts that are due, ordered by content.
func (s *State) Judge(now model.Instant) []Verdict {
	var verdicts []Verdict
	for c, r := range s.records {
		if r.firstCrash != 0 && now >= r.firstCrash.Add(VerdictDelay) {
			r.doubtful = r.doubtful || s.hasOtherCrash(r.firstCrash, r.crashes[0].Service(), c)
			r.firstCrash = 0
		}
		if r.verdictAt != 0 && now >= r.verdictAt {
			verdicts = append(verdicts, s.judge(c, r))
		}
	}
	slices.SortFunc(verdicts, func(a, b Verdict) int {
		return cmp.Or(cmp.Compare(a.Crash.Content.Route, b.Crash.Content.Route), cmp.Compare(a.Crash.Content.Fingerprint, b.Crash.Content.Fingerprint))
	})
	return verdicts
}

// judge weighs the pending crash of a record.
func (s *State) judge(c Content, r *record) Verdict {
	r.verdictAt = 0
	service, at := r.pending.Upstream.Service(), r.crashedAt
	v := Verdict{
		Crash:     r.pending,
		InTrial:   r.inTrial,
		Explained: s.hasOtherCrash(at, service, c) || s.ranWithOtherSuspect(at, r.pending.Upstream, c),
		Shared:    s.ranWithUnknown(at, r.pending.Upstream, c),
		RanBefore: s.runs.within(at, pastRun, c, service),
	}
	isDoubtful := v.Explained || v.Shared || v.RanBefore
	switch {
	case !isDoubtful && !r.doubtful:
		r.points = max(r.points, condemned)
	case !v.InTrial:
	case v.Explained:
		r.points += doubtfulTrialPoints
	default:
		r.points += trialPoints
	}
	r.doubtful = r.doubtful || isDoubtful
	v.Points = r.points
	v.Condemned = r.points >= condemned
	return v
}

// hasOtherCrash reports whether an upstream of a service that did not run the content crashed at
// about the same time. A crash in a trial of other content has a cause of its own.
func (s *State) hasOtherCrash(at model.Instant, service model.ServiceName, c Content) bool {
	return slices.ContainsFunc(s.log.events, func(e crashEvent) bool {
		return e.upstream.Service() == service && isWithin(at, e.at, coincidence) && !slices.Contains(e.contents, c) && !e.inTrial
	})
}

// ranWithUnknown reports whether other content ran on an upstream when it crashed that has not run
// to its end on this node lately.
func (s *State) ranWithUnknown(at model.Instant, upstream model.UpstreamID, c Content) bool {
	return slices.ContainsFunc(s.log.contents(at, upstream), func(other Content) bool {
		return other != c && !s.runs.within(at, pastRun, other, upstream.Service())
	})
}

// ranWithOtherSuspect reports whether other content that has crashed other upstreams too ran on an
// upstream when it crashed.
func (s *State) ranWithOtherSuspect(at model.Instant, upstream model.UpstreamID, c Content) bool {
	for _, other := range s.log.contents(at, upstream) {
		if r := s.records[other]; other != c && r != nil && len(r.crashes) > 1 {
			return true
		}
	}
	return false
}

// Description describes the suspected content in the state dump.
type Description struct {
	Suspects int `json:"suspects"`
	// Held is the number of suspects that run in trials only.
	Held int `json:"held"`
	// Crashes is the number of crashes of upstreams that are remembered.
	Crashes int `json:"crashes"`
}

// Describe returns a description of the state.
func (s *State) Describe(now model.Instant) Description {
	d := Description{Crashes: len(s.log.events)}
	for _, r := range s.records {
		if r.hasExpired(now) {
			continue
		}
		d.Suspects++
		if r.held {
			d.Held++
		}
	}
	return d
}
