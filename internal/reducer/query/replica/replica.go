// Package replica chooses among the upstreams that can run a sub-request, by free
// slots, by the latencies that the coordinator observed itself and by failure domain.
package replica

import (
	"math"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

const (
	// minSampleWeight is the minimum weight of the newest sample in the mean latency.
	minSampleWeight = 0.2
	// sampleTimeConstant is the time constant of the decay of earlier samples when
	// samples are rare.
	sampleTimeConstant = 1 * time.Second
	// recoveryTimeConstant is the time constant with which a high latency that is no
	// longer observed decays towards that of the fastest replica, so that a recovered
	// upstream is tried again.
	recoveryTimeConstant = 5 * time.Second
	// maxCountAge is the age up to which a dispatcher's count of free slots is used.
	maxCountAge = 250 * time.Millisecond
)

// Table holds a coordinator's statistics of each upstream.
type Table struct {
	stats map[model.UpstreamID]*Stats
}

// Stats holds a coordinator's statistics of one upstream.
type Stats struct {
	// latency is the mean of the recent latencies; zero means none observed.
	latency    time.Duration
	observedAt model.Instant
	// outstanding counts this coordinator's open attempts.
	outstanding int
	// sent counts the attempts sent since the dispatcher counted the free slots, which
	// was at countedAt.
	sent      int
	countedAt model.Instant
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{stats: make(map[model.UpstreamID]*Stats)} }

// Criteria states the criteria for the replica of a sub-request.
type Criteria struct {
	Now model.Instant
	// Domain is the coordinator's own failure domain.
	Domain model.FailureDomain
	// AvoidDomain is a failure domain that failed recently or is slow; its replicas are
	// chosen less often. Empty means none.
	AvoidDomain model.FailureDomain
	// RequireFreeSlot excludes replicas without a free slot.
	RequireFreeSlot bool
	// TypicalLatency bounds the latency expected of upstreams whose latency is unknown,
	// which otherwise is that of the fastest upstream; zero means no bound.
	TypicalLatency time.Duration
	// Tried lists upstreams that are excluded.
	Tried []model.UpstreamID
}

// statsOf returns the statistics of an upstream and creates them if needed.
func (t *Table) statsOf(id model.UpstreamID) *Stats {
	s, ok := t.stats[id]
	if !ok {
		s = &Stats{}
		t.stats[id] = s
	}
	return s
}

// RecordSent records that an attempt was sent.
func (t *Table) RecordSent(r *snapshot.Replica) {
	s := t.statsOf(r.ID)
	if s.countedAt != r.UpdatedAt {
		s.countedAt = r.UpdatedAt
		s.sent = 0
	}
	s.sent++
	s.outstanding++
}

// RecordSettled records that an attempt has ended, whatever its outcome.
func (t *Table) RecordSettled(id model.UpstreamID) {
	if s := t.statsOf(id); s.outstanding > 0 {
		s.outstanding--
	}
}

// Observe records the latency of an answered attempt.
func (t *Table) Observe(id model.UpstreamID, now model.Instant, d time.Duration) {
	s := t.statsOf(id)
	if s.latency == 0 {
		s.latency = d
	} else {
		s.latency += time.Duration(sampleWeight(now.Sub(s.observedAt)) * float64(d-s.latency))
	}
	s.observedAt = now
}

// sampleWeight returns the weight of a sample in the mean, by the time since the
// previous sample. The weight grows with that time because many nodes may use an
// upstream and each of them seldom: with a fixed weight a node would take seconds to
// detect that the upstream is slow.
func sampleWeight(since time.Duration) float64 {
	return max(minSampleWeight, 1-math.Exp(-float64(since)/float64(sampleTimeConstant)))
}

// ObserveAtLeast records that an attempt has taken at least d so far. It has no
// effect unless d is above the mean latency.
func (t *Table) ObserveAtLeast(id model.UpstreamID, now model.Instant, d time.Duration) {
	s := t.statsOf(id)
	if d > s.latency {
		s.latency = d
		s.observedAt = now
	}
}

// Latency returns the mean of the recent latencies of an upstream; zero if none is
// known.
func (t *Table) Latency(id model.UpstreamID) time.Duration {
	if s, ok := t.stats[id]; ok {
		return s.latency
	}
	return 0
}

// Remove removes the statistics of an upstream.
func (t *Table) Remove(id model.UpstreamID) { delete(t.stats, id) }

// Retain removes the statistics of all upstreams for which wanted returns false.
func (t *Table) Retain(wanted func(model.UpstreamID) bool) {
	for id := range t.stats {
		if !wanted(id) {
			delete(t.stats, id)
		}
	}
}

// freeSlots estimates the free slots, less those used by this coordinator's own
// attempts. A count older than maxCountAge is not used; the estimate is then the
// concurrency limit less the open attempts.
func (s *Stats) freeSlots(now model.Instant, r *snapshot.Replica) int {
	if now.Sub(r.UpdatedAt) > maxCountAge {
		return r.Limit - s.outstanding
	}
	if s.countedAt != r.UpdatedAt {
		return r.FreeSlots
	}
	return r.FreeSlots - s.sent
}

// expectedLatency returns the expected latency, given that of the fastest replica. A
// high latency decays only while no attempt is open, so that a slow replica is tried
// again by one attempt at a time.
func (s *Stats) expectedLatency(now model.Instant, fastest time.Duration) time.Duration {
	if s.latency <= fastest {
		return fastest
	}
	if s.outstanding > 0 {
		return s.latency
	}
	age := now.Sub(s.observedAt)
	decay := math.Exp(-float64(age) / float64(recoveryTimeConstant))
	return fastest + time.Duration(decay*float64(s.latency-fastest))
}
