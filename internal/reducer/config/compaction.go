package config

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Limits of compaction.
const (
	// revisionsPerSnapshot is the number of revisions between two snapshots.
	revisionsPerSnapshot = 256
	// entriesKeptBelowSnapshot is the number of entries before a snapshot that stay
	// in the store, so that a node that lags slightly needs no snapshot.
	entriesKeptBelowSnapshot = 64
	// truncatePageSize is the number of old entries listed per call.
	truncatePageSize = 32
	// minDeleteInterval is the shortest time between two deletions. Each deletion
	// ends the watches of all watchers, which then call the store again.
	minDeleteInterval = 200 * time.Millisecond
	// compactionCheckInterval is the time between two checks of the log's length.
	compactionCheckInterval = 2 * time.Second
)

// compactionStage is the current stage of a compaction.
type compactionStage uint8

// The stages of a compaction. The order matters: the snapshot is written before
// the floor, and the floor before entries are deleted.
const (
	compactionIdle compactionStage = iota
	readingSnapshot
	writingSnapshot
	readingFloor
	writingFloor
	listingOld
	deletingOld
	// waitingToDelete waits for minDeleteInterval before the next deletion.
	waitingToDelete
)

// compaction folds old entries into a snapshot. Any node may run it at any time:
// each write is a compare-and-swap that only moves forward.
type compaction struct {
	stage compactionStage
	// lastCheck is when the node last checked the log's length.
	lastCheck model.Instant
	// snapshot is the revision of the newest snapshot that this node knows of.
	snapshot model.Revision
	floor    model.Revision
	oldItems []event.StoreItem
	// lastDeletion is when the last deletion completed.
	lastDeletion model.Instant
}

// checkCompaction starts a compaction when the log has grown by
// revisionsPerSnapshot and the node is first in rendezvous order. Two nodes whose
// membership views differ may both start one. It also continues a compaction that
// waits to delete.
func (s *State) checkCompaction(ctx *step.Context) {
	c := &s.compaction
	if c.stage == waitingToDelete && ctx.Now.Sub(c.lastDeletion) >= minDeleteInterval {
		s.deleteNextOld(ctx)
	}
	if ctx.Now.Sub(c.lastCheck) < compactionCheckInterval {
		return
	}
	c.lastCheck = ctx.Now
	grown := s.history.applied() >= c.snapshot+revisionsPerSnapshot
	if c.stage != compactionIdle || !s.sync.ready() || !grown || !isCompactor(ctx) {
		return
	}
	c.stage = readingSnapshot
	s.callForCompaction(ctx, effect.CallStore{Verb: effect.StoreGet, Key: snapshotKey})
}

// isCompactor reports whether the node is the first serving member in rendezvous
// order.
func isCompactor(ctx *step.Context) bool {
	var hosts []model.HostID
	for _, member := range ctx.View.Members() {
		if member.State == model.Serving {
			hosts = append(hosts, member.Host)
		}
	}
	first := rendezvous.Top(hosts, 1, "config-compaction")
	return len(first) == 1 && first[0] == ctx.Self.Host
}

// callForCompaction emits a store call of the compaction.
func (s *State) callForCompaction(ctx *step.Context, call effect.CallStore) {
	s.calls.call(ctx, purposeCompaction, call)
}

// handleCompactionResult advances the compaction by one stage. Any failure ends the
// compaction; the next one continues from what the store then holds.
func (s *State) handleCompactionResult(ctx *step.Context, e event.StoreResult) {
	c := &s.compaction
	if e.Status != event.StoreOK {
		c.stage = compactionIdle
		return
	}
	switch c.stage {
	case readingSnapshot:
		s.writeSnapshot(ctx, e)
	case writingSnapshot:
		c.stage = readingFloor
		s.callForCompaction(ctx, effect.CallStore{Verb: effect.StoreGet, Key: floorKey})
	case readingFloor:
		s.writeFloor(ctx, e)
	case writingFloor:
		s.listOld(ctx)
	case listingOld:
		c.oldItems = e.Items
		s.deleteNextOld(ctx)
	case deletingOld:
		c.lastDeletion = ctx.Now
		c.stage = waitingToDelete
	}
}

// writeSnapshot writes the configuration in force, unless the store's snapshot is
// less than revisionsPerSnapshot older.
func (s *State) writeSnapshot(ctx *step.Context, e event.StoreResult) {
	c := &s.compaction
	if len(e.Items) > 0 {
		if stored, err := decodeSnapshot(e.Items[0].Value); err == nil {
			c.snapshot = stored.Config.Revision
		}
	}
	if s.history.applied() < c.snapshot+revisionsPerSnapshot {
		c.stage = compactionIdle
		return
	}
	encoded, err := s.history.currentSnapshot()
	if err != nil {
		ctx.Log(effect.Error, "config", err.Error())
		c.stage = compactionIdle
		return
	}
	c.snapshot = s.history.applied()
	c.stage = writingSnapshot
	ctx.Count(metricSnapshots, "")
	s.callForCompaction(ctx, replaceCall(snapshotKey, e, encoded))
}

// writeFloor raises the floor to entriesKeptBelowSnapshot revisions below the
// snapshot.
func (s *State) writeFloor(ctx *step.Context, e event.StoreResult) {
	c := &s.compaction
	stored := model.Revision(0)
	if len(e.Items) > 0 {
		stored = parseFloor(e.Items[0].Value)
	}
	c.floor = max(stored, c.snapshot-entriesKeptBelowSnapshot)
	if c.floor == stored {
		s.listOld(ctx)
		return
	}
	c.stage = writingFloor
	value := strconv.FormatUint(uint64(c.floor), 10)
	s.callForCompaction(ctx, replaceCall(floorKey, e, []byte(value)))
}

// replaceCall returns the write that replaces the value that a get returned: a
// create if the key was absent, otherwise a compare-and-swap.
func replaceCall(key string, current event.StoreResult, value []byte) effect.CallStore {
	if len(current.Items) == 0 {
		return effect.CallStore{Verb: effect.StoreCreate, Key: key, Value: value}
	}
	return effect.CallStore{Verb: effect.StoreSwap, Key: key, Value: value, Expect: current.Items[0].ModRevision}
}

// listOld lists the oldest entries.
func (s *State) listOld(ctx *step.Context) {
	s.compaction.stage = listingOld
	s.callForCompaction(ctx, effect.CallStore{Verb: effect.StoreList, Key: logPrefix, Limit: truncatePageSize})
}

// deleteNextOld deletes the next listed entry if it is at or below the floor, and
// otherwise ends the compaction.
func (s *State) deleteNextOld(ctx *step.Context) {
	c := &s.compaction
	if len(c.oldItems) == 0 {
		if c.stage == listingOld {
			c.stage = compactionIdle
			return
		}
		s.listOld(ctx)
		return
	}
	item := c.oldItems[0]
	c.oldItems = c.oldItems[1:]
	if revision, ok := parseLogKey(item.Key); !ok || revision > c.floor {
		c.stage = compactionIdle
		return
	}
	c.stage = deletingOld
	s.callForCompaction(ctx, effect.CallStore{Verb: effect.StoreDelete, Key: item.Key, Expect: item.ModRevision})
}
