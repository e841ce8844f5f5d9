// Package blame judges whether request content is to blame for crashes of upstreams.
//
// Content that crashes upstreams crashes each one that begins to run it. One node sees only its
// own attempts, and an upstream may crash for a reason of its own, alone or together with all
// others. Therefore
//
//   - content that an upstream ran to its end a moment before a crash is not suspected of it, and
//     a run to the end clears any suspicion;
//   - a second crash condemns content only if it was suspected when it was sent, and if neither
//     another upstream that did not run it nor other suspected content points to another cause;
//   - in doubt, content is tried: one attempt at a time, by one node after the other, each some time
//     after the last crash. Crashes in trials add up, the more so if nothing else explains them.
//
// State is fed with the crashes that the node sees and those that other nodes report. It has no
// clock; the caller passes the time and calls Judge when a verdict is due.
package blame

import (
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Times of suspicion and trial.
const (
	// suspicionDuration is how long content remains suspected after its latest crash or the end
	// of its block.
	suspicionDuration = 2 * time.Minute
	// VerdictDelay is the time from a crash to its verdict, in which other crashes at the time
	// become known.
	VerdictDelay = 500 * time.Millisecond
	// trialSpacing is the shortest time from a crash to a trial. Upstreams that crash together
	// have done so by then.
	trialSpacing = 500 * time.Millisecond
	// trialInterval is the time between two trials of content if nothing is heard of the first.
	trialInterval = 1500 * time.Millisecond
	// maxTrialDoublings bounds how often that time doubles.
	maxTrialDoublings = 4
	// trialStagger is how much later each further node may try content, and maxStaggered the
	// number of nodes up to which that grows.
	trialStagger = 2 * time.Second
	maxStaggered = 6
	// coincidence is the time around a crash in which the crash of another upstream points to a
	// common cause.
	coincidence = time.Second
)

// Weights of crashes. Content is condemned at condemned points.
const (
	condemned = 4
	// trialPoints is the weight of a crash in a trial, and doubtfulTrialPoints that of one beside
	// other crashes at the time.
	trialPoints         = 2
	doubtfulTrialPoints = 1
)

// Bounds of the state.
const (
	maxRecords          = 8192
	maxCrashesPerRecord = 16
	maxSeen             = 4096
	// minSweepInterval is the time between two removals of expired records.
	minSweepInterval = time.Second
)

// Content identifies the content of requests on one route.
type Content struct {
	Route       model.ServiceName
	Fingerprint model.Fingerprint
}

// Crash is the end of an upstream while it ran content.
type Crash struct {
	Content  Content
	Upstream model.UpstreamID
	// Attempt identifies the run, so that its crash counts once. RequestID is the caller's
	// identifier of the request, for logs; it is empty if another node reports the crash.
	Attempt   model.AttemptID
	RequestID string
	// Suspected means that the content was suspected when the attempt was sent.
	Suspected bool
	// SentAt is when this node sent the attempt; zero if another node reports the crash.
	SentAt model.Instant
}

// IsOwn reports whether this node sent the attempt.
func (c *Crash) IsOwn() bool { return c.SentAt != 0 }

// record is the history of suspected content.
type record struct {
	// crashes lists the upstreams that crashed, without repetition.
	crashes   []model.UpstreamID
	lastCrash model.Instant
	// firstCrash is the time of the first crash until it was checked for another cause; then zero.
	firstCrash model.Instant
	points     int
	// doubtful means that a crash may have had another cause.
	doubtful bool
	// held means that the content runs in trials only, because two upstreams of a service have
	// crashed.
	held      bool
	nextTrial model.Instant
	// openTrials counts the trials that this node has sent since the last outcome of one: their
	// callers may have left.
	openTrials int
	// blockedUntil is the end of the latest block.
	blockedUntil model.Instant
	// pending is the crash that awaits its verdict at verdictAt; zero if none does.
	pending   Crash
	verdictAt model.Instant
	crashedAt model.Instant
	inTrial   bool
}

// State is the evidence that one node knows of.
type State struct {
	records   map[Content]*record
	log       crashLog
	runs      recentRuns
	seen      map[model.AttemptID]bool
	seenOrder []model.AttemptID
	sweepAt   model.Instant
	// trials holds the trial that is under way on each route, as far as this node knows. Trials
	// of two contents at once could crash the same upstream.
	trials map[model.ServiceName]trial
}

// trial is a trial that is under way, until its outcome is known or a time has passed.
type trial struct {
	content Content
	until   model.Instant
}

// New returns a state without suspected content.
func New() *State {
	return &State{records: make(map[Content]*record), seen: make(map[model.AttemptID]bool), trials: make(map[model.ServiceName]trial)}
}

// RecordRun records that an upstream of a service ran content to its end. It reports whether the
// content was held, so that the other nodes should be told that it is cleared.
func (s *State) RecordRun(now model.Instant, c Content, service model.ServiceName) (wasHeld bool) {
	s.runs.add(now, c, service)
	r := s.records[c]
	if r == nil || r.crashes[len(r.crashes)-1].Service() != service {
		return false
	}
	s.Clear(c)
	return r.held || r.blockedUntil != 0
}

// Clear removes all suspicion of content.
func (s *State) Clear(c Content) {
	delete(s.records, c)
	s.endTrial(c)
}

// RecordTrial records that this node or another one begins to try content.
func (s *State) RecordTrial(now model.Instant, c Content) {
	until := now.Add(trialInterval)
	s.trials[c.Route] = trial{content: c, until: until}
	if r := s.records[c]; r != nil {
		r.nextTrial = until
	}
}

// RecordTrialSent records that this node has sent a trial of content to an upstream. Each further one
// without an outcome has to wait twice as long.
func (s *State) RecordTrialSent(now model.Instant, c Content) {
	if r := s.records[c]; r != nil {
		r.nextTrial = now.Add(trialInterval << min(r.openTrials, maxTrialDoublings))
		r.openTrials++
	}
}

// endTrial ends the trial of content whose outcome is known.
func (s *State) endTrial(c Content) {
	if s.trials[c.Route].content == c {
		delete(s.trials, c.Route)
	}
}

// RanRecently reports whether an upstream of a service ran content to its end on this node within
// recentRun.
func (s *State) RanRecently(now model.Instant, c Content, service model.ServiceName) bool {
	return s.runs.within(now, recentRun, c, service)
}

// RecordUpstreamCrash records the end of an upstream, whatever it ran.
func (s *State) RecordUpstreamCrash(now model.Instant, upstream model.UpstreamID) {
	s.log.add(now, upstream)
}

// HasCrashed reports whether an upstream of a service is known to have crashed a moment ago.
func (s *State) HasCrashed(now model.Instant, service model.ServiceName) bool {
	return s.log.hasCrash(now, service)
}

// RecordCrash records a crash and reports whether it is evidence against the content. A further crash
// under suspected content is judged by Judge, VerdictDelay later, if it happened in a trial or
// under an attempt of this node.
func (s *State) RecordCrash(now model.Instant, crash Crash) bool {
	if s.hasSeen(crash.Attempt) {
		return false
	}
	c := crash.Content
	s.log.add(now, crash.Upstream, c)
	if s.RanRecently(now, c, crash.Upstream.Service()) {
		return false
	}
	r := s.getOrCreate(now, c)
	if r == nil {
		return false
	}
	first := len(r.crashes) == 0
	sentAt := crash.SentAt
	if !crash.IsOwn() {
		sentAt = now
	}
	inTrial := crash.Suspected && !first && sentAt >= r.lastCrash.Add(trialSpacing)
	if inTrial {
		s.log.markTrial(now, crash.Upstream)
	}
	s.endTrial(c)
	r.add(crash.Upstream)
	r.lastCrash, r.openTrials = now, 0
	switch {
	case first:
		r.firstCrash = now
	case !crash.Suspected:
	case inTrial, crash.IsOwn() && r.verdictAt == 0:
		r.pending, r.crashedAt, r.inTrial = crash, now, inTrial
		r.verdictAt = now.Add(VerdictDelay)
		if r.points >= condemned {
			r.verdictAt = now
		}
	}
	return true
}

// add adds a crashed upstream.
func (r *record) add(upstream model.UpstreamID) {
	if slices.Contains(r.crashes, upstream) {
		return
	}
	r.held = r.held || slices.ContainsFunc(r.crashes, func(other model.UpstreamID) bool { return other.Service() == upstream.Service() })
	if len(r.crashes) == maxCrashesPerRecord {
		r.crashes = r.crashes[1:]
	}
	r.crashes = append(r.crashes, upstream)
}

// hasSeen records an attempt and reports whether it was known.
func (s *State) hasSeen(attempt model.AttemptID) bool {
	if s.seen[attempt] {
		return true
	}
	s.seen[attempt] = true
	s.seenOrder = append(s.seenOrder, attempt)
	if len(s.seenOrder) > maxSeen {
		delete(s.seen, s.seenOrder[0])
		s.seenOrder = s.seenOrder[1:]
	}
	return false
}

// getOrCreate returns the record of content, or nil if there are too many.
func (s *State) getOrCreate(now model.Instant, c Content) *record {
	if r := s.records[c]; r != nil {
		if !r.hasExpired(now) {
			return r
		}
		delete(s.records, c)
	}
	if now >= s.sweepAt {
		s.sweepAt = now.Add(minSweepInterval)
		for other, r := range s.records {
			if r.hasExpired(now) {
				delete(s.records, other)
			}
		}
		for route, t := range s.trials {
			if now >= t.until {
				delete(s.trials, route)
			}
		}
	}
	if len(s.records) >= maxRecords {
		return nil
	}
	r := &record{}
	s.records[c] = r
	return r
}

// hasExpired reports whether a record no longer matters.
func (r *record) hasExpired(now model.Instant) bool {
	return now >= max(r.lastCrash, r.blockedUntil).Add(suspicionDuration) && r.verdictAt == 0
}

// IsSuspect reports whether content is suspected.
func (s *State) IsSuspect(now model.Instant, c Content) bool {
	r := s.records[c]
	return r != nil && !r.hasExpired(now)
}

// IsHeld reports whether content runs in trials only.
func (s *State) IsHeld(now model.Instant, c Content) bool {
	r := s.records[c]
	return r != nil && r.held && !r.hasExpired(now)
}

// Admit returns zero if a request with held content may run now, as a trial, and else the time to
// wait. Rank is the node's place in the order in which the nodes may try the content.
func (s *State) Admit(now model.Instant, c Content, rank int) (wait time.Duration) {
	if !s.IsHeld(now, c) {
		return 0
	}
	r := s.records[c]
	from := max(r.lastCrash.Add(trialSpacing), r.blockedUntil).Add(time.Duration(min(rank, maxStaggered)) * trialStagger)
	from = max(from, r.nextTrial, r.verdictAt)
	if other := s.trials[c.Route]; other.content != c {
		from = max(from, other.until)
	}
	if now < from {
		return from.Sub(now)
	}
	s.RecordTrial(now, c)
	return 0
}

// SetBlocked records that content is blocked until a time, by this node or another one, because of
// the crash of an upstream.
func (s *State) SetBlocked(now model.Instant, c Content, upstream model.UpstreamID, until model.Instant) {
	r := s.getOrCreate(now, c)
	if r == nil {
		return
	}
	if len(r.crashes) == 0 {
		r.crashes = append(r.crashes, upstream)
		r.lastCrash = now
	}
	r.held, r.points, r.verdictAt = true, max(r.points, condemned), 0
	r.blockedUntil = max(r.blockedUntil, until)
}
