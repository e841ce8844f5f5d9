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
	// snapshotEvery is how many revisions the log grows between two snapshots.
	snapshotEvery = 256
	// keptInStore is how many entries before a snapshot stay in the store, so that
	// a node that lags a little needs no snapshot.
	keptInStore = 64
	// truncatePage is how many old entries are listed at once.
	truncatePage = 32
	// deleteInterval is the least time between two deletions: each ends the
	// watches of all watchers, which call the store again.
	deleteInterval = 200 * time.Millisecond
	// compactionInterval is the time between two looks at the log's length.
	compactionInterval = 2 * time.Second
)

// compactionStage is where the compaction of the log stands.
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
	// waitingToDelete puts the next deletion off.
	waitingToDelete
)

// compaction folds old entries into a snapshot. Any node may do it at any time:
// each write is a compare-and-swap that only moves forward.
type compaction struct {
	stage compactionStage
	// looked is when the node last looked at the log's length.
	looked model.Instant
	// snapshot is the newest snapshot's revision that this node knows of.
	snapshot model.Revision
	floor    model.Revision
	old      []event.StoreItem
	// deleted is when the last deletion was done.
	deleted model.Instant
}

// stepCompactionTimer begins a compaction when the log has grown and the node is
// the first in rendezvous order. Two nodes may both begin one.
func (s *State) stepCompactionTimer(ctx *step.Context) {
	c := &s.compact
	if c.stage == waitingToDelete && ctx.Now.Sub(c.deleted) >= deleteInterval {
		s.deleteOld(ctx)
	}
	if ctx.Now.Sub(c.looked) < compactionInterval {
		return
	}
	c.looked = ctx.Now
	grown := s.history.applied() >= c.snapshot+snapshotEvery
	if c.stage != compactionIdle || !s.sync.ready() || !grown || !isCompactor(ctx) {
		return
	}
	c.stage = readingSnapshot
	s.compactionCall(ctx, effect.CallStore{Verb: effect.StoreGet, Key: snapshotKey})
}

// isCompactor reports whether the node is the first member in rendezvous order.
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

// compactionCall calls the store for the compaction.
func (s *State) compactionCall(ctx *step.Context, call effect.CallStore) {
	s.calls.call(ctx, forCompaction, call)
}

// stepCompaction takes in the reply to a compaction's call. Any failure ends
// the compaction; the next one goes on where this one stopped.
func (s *State) stepCompaction(ctx *step.Context, e event.StoreResult) {
	c := &s.compact
	if e.Status != event.StoreOK {
		c.stage = compactionIdle
		return
	}
	switch c.stage {
	case readingSnapshot:
		s.writeSnapshot(ctx, e)
	case writingSnapshot:
		c.stage = readingFloor
		s.compactionCall(ctx, effect.CallStore{Verb: effect.StoreGet, Key: floorKey})
	case readingFloor:
		s.writeFloor(ctx, e)
	case writingFloor:
		s.listOld(ctx)
	case listingOld:
		c.old = e.Items
		s.deleteOld(ctx)
	case deletingOld:
		c.deleted = ctx.Now
		c.stage = waitingToDelete
	}
}

// writeSnapshot writes the configuration in force, unless the store's snapshot
// is as new.
func (s *State) writeSnapshot(ctx *step.Context, e event.StoreResult) {
	c := &s.compact
	if len(e.Items) > 0 {
		if present, err := decodeSnapshot(e.Items[0].Value); err == nil {
			c.snapshot = present.Config.Revision
		}
	}
	if s.history.applied() < c.snapshot+snapshotEvery {
		c.stage = compactionIdle
		return
	}
	encoded, err := s.history.snapshotInForce()
	if err != nil {
		ctx.Log(effect.Error, "config", err.Error())
		c.stage = compactionIdle
		return
	}
	c.snapshot = s.history.applied()
	c.stage = writingSnapshot
	ctx.Count(metricSnapshots, "")
	s.compactionCall(ctx, replace(snapshotKey, e, encoded))
}

// writeFloor raises the floor to a little below the snapshot.
func (s *State) writeFloor(ctx *step.Context, e event.StoreResult) {
	c := &s.compact
	present := model.Revision(0)
	if len(e.Items) > 0 {
		present = parseFloor(e.Items[0].Value)
	}
	c.floor = max(present, c.snapshot-keptInStore)
	if c.floor == present {
		s.listOld(ctx)
		return
	}
	c.stage = writingFloor
	value := strconv.FormatUint(uint64(c.floor), 10)
	s.compactionCall(ctx, replace(floorKey, e, []byte(value)))
}

// replace returns the write that replaces what a get has returned.
func replace(key string, got event.StoreResult, value []byte) effect.CallStore {
	if len(got.Items) == 0 {
		return effect.CallStore{Verb: effect.StoreCreate, Key: key, Value: value}
	}
	return effect.CallStore{Verb: effect.StoreSwap, Key: key, Value: value, Expect: got.Items[0].ModRevision}
}

// listOld asks for the oldest entries.
func (s *State) listOld(ctx *step.Context) {
	s.compact.stage = listingOld
	s.compactionCall(ctx, effect.CallStore{Verb: effect.StoreList, Key: logPrefix, Limit: truncatePage})
}

// deleteOld deletes the next listed entry at or below the floor.
func (s *State) deleteOld(ctx *step.Context) {
	c := &s.compact
	if len(c.old) == 0 {
		if c.stage == listingOld {
			c.stage = compactionIdle
			return
		}
		s.listOld(ctx)
		return
	}
	item := c.old[0]
	c.old = c.old[1:]
	if revision, ok := parseLogKey(item.Key); !ok || revision > c.floor {
		c.stage = compactionIdle
		return
	}
	c.stage = deletingOld
	s.compactionCall(ctx, effect.CallStore{Verb: effect.StoreDelete, Key: item.Key, Expect: item.ModRevision})
}
