package blame

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

const (
	// recentRun is the time after a run to its end in which content is not suspected of a crash.
	// Later, it may have begun to crash upstreams, for example those of a new version.
	recentRun = 2 * time.Second
	// pastRun is the time after a run to its end in which a crash is doubtful evidence.
	pastRun = time.Minute
	// generationTime is the time for which a generation collects runs, and maxRunsPerGeneration
	// bounds their number. Two generations cover pastRun at the most.
	generationTime       = 30 * time.Second
	maxRunsPerGeneration = 16384
)

// recentRuns remembers which contents ran to their end lately, and when. The zero value is empty.
type recentRuns struct {
	current, previous map[uint64]model.Instant
	startedAt         model.Instant
}

// runKey identifies content that ran on a service. Content may crash the upstreams of one shard
// only.
func runKey(c Content, service model.ServiceName) uint64 {
	// The odd factor spreads the fingerprint over all bits before it is combined.
	return uint64(c.Fingerprint)*0x9E3779B97F4A7C15 ^ xxhash.Sum64String(string(service))
}

// add records a run to its end.
func (runs *recentRuns) add(now model.Instant, c Content, service model.ServiceName) {
	if runs.current == nil || now.Sub(runs.startedAt) >= generationTime || len(runs.current) >= maxRunsPerGeneration {
		runs.previous, runs.current = runs.current, make(map[uint64]model.Instant)
		runs.startedAt = now
	}
	runs.current[runKey(c, service)] = now
}

// within reports whether content ran to its end within a time.
func (runs *recentRuns) within(now model.Instant, d time.Duration, c Content, service model.ServiceName) bool {
	key := runKey(c, service)
	for _, generation := range []map[uint64]model.Instant{runs.current, runs.previous} {
		if at, found := generation[key]; found && now.Sub(at) <= d {
			return true
		}
	}
	return false
}
