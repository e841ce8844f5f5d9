// Package replica chooses among the upstreams that could run a sub-request, by
// free slots, by the coordinator's own recent latencies and by failure domain.
package replica

import (
	"math"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

const (
	// weightOfSample is the least share of the newest sample in the mean latency.
	weightOfSample = 0.2
	// sampleTime is the time constant with which the samples before lose their weight
	// when samples are rare.
	sampleTime = 1 * time.Second
	// forgetTime is the time constant with which a high latency that is no
	// longer observed falls towards that of the fastest replica, so that a
	// recovered upstream is tried again.
	forgetTime = 5 * time.Second
	// countTime is how long a dispatcher's count of free slots is believed.
	countTime = 250 * time.Millisecond
)

// Table holds what a coordinator observed of each upstream.
type Table struct {
	stats map[model.UpstreamID]*Stats
}

// Stats is what a coordinator observed of one upstream.
type Stats struct {
	// latency is the mean of the recent latencies; zero means none observed.
	latency  time.Duration
	observed model.Instant
	// outstanding counts this coordinator's open attempts.
	outstanding int
	// sent counts the attempts sent since the dispatcher's count of free slots at
	// the time counted.
	sent    int
	counted model.Instant
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{stats: make(map[model.UpstreamID]*Stats)} }

// Criteria states what a sub-request needs.
type Criteria struct {
	Now model.Instant
	// Domain is the coordinator's own failure domain.
	Domain model.FailureDomain
	// Avoid is a failure domain that just failed or is slow, or empty.
	Avoid model.FailureDomain
	// RequireFreeSlot demands a replica with a free slot.
	RequireFreeSlot bool
	// TypicalLatency is the latency to expect of an upstream that none is known of; zero
	// means that of the fastest one.
	TypicalLatency time.Duration
	// Tried are the upstreams that are out of the question.
	Tried []model.UpstreamID
}

// of returns the statistics of an upstream.
func (t *Table) of(id model.UpstreamID) *Stats {
	s, ok := t.stats[id]
	if !ok {
		s = &Stats{}
		t.stats[id] = s
	}
	return s
}

// RecordSent takes in that an attempt was sent.
func (t *Table) RecordSent(r *snapshot.Replica) {
	s := t.of(r.ID)
	if s.counted != r.Updated {
		s.counted = r.Updated
		s.sent = 0
	}
	s.sent++
	s.outstanding++
}

// RecordSettled takes in that an attempt has ended, whatever its outcome.
func (t *Table) RecordSettled(id model.UpstreamID) {
	if s := t.of(id); s.outstanding > 0 {
		s.outstanding--
	}
}

// Observe takes in the latency of an answered attempt.
func (t *Table) Observe(id model.UpstreamID, now model.Instant, d time.Duration) {
	s := t.of(id)
	if s.latency == 0 {
		s.latency = d
	} else {
		s.latency += time.Duration(sampleWeight(now.Sub(s.observed)) * float64(d-s.latency))
	}
	s.observed = now
}

// sampleWeight returns the share of a sample in the mean, by the time since the one
// before. It answers the pattern "many nodes use an upstream, each of them seldom":
// with a fixed weight a node would take seconds to see that the upstream is slow.
func sampleWeight(since time.Duration) float64 {
	return max(weightOfSample, 1-math.Exp(-float64(since)/float64(sampleTime)))
}

// ObserveAtLeast takes in that an attempt has taken at least d so far.
func (t *Table) ObserveAtLeast(id model.UpstreamID, now model.Instant, d time.Duration) {
	s := t.of(id)
	if d > s.latency {
		s.latency = d
		s.observed = now
	}
}

// Latency returns the mean of the recent latencies, zero if none is known.
func (t *Table) Latency(id model.UpstreamID) time.Duration {
	if s, ok := t.stats[id]; ok {
		return s.latency
	}
	return 0
}

// Remove drops what was observed of an upstream.
func (t *Table) Remove(id model.UpstreamID) { delete(t.stats, id) }

// Keep forgets the upstreams that are not wanted any more.
func (t *Table) Keep(wanted func(model.UpstreamID) bool) {
	for id := range t.stats {
		if !wanted(id) {
			delete(t.stats, id)
		}
	}
}

// free estimates the free slots after what this coordinator sent itself. An old
// count says little, and the learned limit is all that is left to go by.
func (s *Stats) free(now model.Instant, r *snapshot.Replica) int {
	if now.Sub(r.Updated) > countTime {
		return r.Limit - s.outstanding
	}
	if s.counted != r.Updated {
		return r.FreeSlots
	}
	return r.FreeSlots - s.sent
}

// estimate returns the latency to expect when the fastest replica has the given
// one. A replica that was slow is tried again by one attempt at a time.
func (s *Stats) estimate(now model.Instant, fastest time.Duration) time.Duration {
	if s.latency <= fastest {
		return fastest
	}
	if s.outstanding > 0 {
		return s.latency
	}
	age := now.Sub(s.observed)
	faded := math.Exp(-float64(age) / float64(forgetTime))
	return fastest + time.Duration(faded*float64(s.latency-fastest))
}
