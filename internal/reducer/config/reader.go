package config

import (
	"encoding/json"
	"strconv"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// listPageSize is the maximum number of entries per list call.
const listPageSize = 128

// readStage is the current stage of a read of the log.
type readStage uint8

// The stages of a read. The floor is read after the log: a delayed write may
// bring an entry back whose revision was truncated. The floor, which is written
// before the truncation, then shows that the entry must be ignored.
const (
	readIdle readStage = iota
	readLog
	readFloor
	readSnapshot
)

// reader reads the log from the store, one read at a time. Reads are numbered, so
// that a proposal can wait for a read that began after a given moment.
type reader struct {
	stage        readStage
	lastStarted  uint64
	lastFinished uint64
	// repeat requests another read after the current one.
	repeat bool
	// retryAt is when a failed read is retried; zero if none failed.
	retryAt model.Instant
	entries []model.LogEntry
	floor   model.Revision
	// revision is the store's revision at the first page.
	revision uint64
}

// requestRead requests a read that begins no earlier than now and returns its
// number. The read starts at once unless another one is in progress or a retry is
// scheduled.
func (s *State) requestRead(ctx *step.Context) uint64 {
	r := &s.reader
	if r.stage != readIdle {
		r.repeat = true
		return r.lastStarted + 1
	}
	if r.retryAt != 0 && ctx.Now.Before(r.retryAt) {
		return r.lastStarted + 1
	}
	s.beginRead(ctx)
	return r.lastStarted
}

// beginRead starts a read of the entries after the applied revision.
func (s *State) beginRead(ctx *step.Context) {
	s.reader.lastStarted++
	s.reader.repeat = false
	s.reader.retryAt = 0
	s.reader.entries = nil
	s.reader.revision = 0
	s.reader.stage = readLog
	s.listAfter(ctx, logKey(s.history.applied()))
}

// listAfter requests the next page of the log.
func (s *State) listAfter(ctx *step.Context, key string) {
	s.calls.call(ctx, purposeRead, effect.CallStore{
		Verb: effect.StoreList, Key: logPrefix, After: key, Limit: listPageSize,
	})
}

// retryFailedRead starts a scheduled retry when it is due.
func (s *State) retryFailedRead(ctx *step.Context) {
	r := &s.reader
	if r.stage == readIdle && r.retryAt != 0 && r.retryAt <= ctx.Now {
		s.beginRead(ctx)
	}
}

// abort cancels the current read and any retry. The caller must also drop the
// results of the read's calls.
func (r *reader) abort() {
	r.stage = readIdle
	r.repeat = false
	r.retryAt = 0
}

// handleReadResult processes one store reply of a read.
func (s *State) handleReadResult(ctx *step.Context, e event.StoreResult) {
	if e.Status != event.StoreOK {
		s.failRead(ctx)
		return
	}
	switch s.reader.stage {
	case readLog:
		s.handlePage(ctx, e)
	case readFloor:
		s.handleFloor(ctx, e)
	case readSnapshot:
		s.handleSnapshot(ctx, e)
	}
}

// handlePage stores a page of the log and requests the next page, or the floor
// after the last one.
func (s *State) handlePage(ctx *step.Context, e event.StoreResult) {
	r := &s.reader
	if r.revision == 0 {
		r.revision = e.StoreRevision
	}
	r.entries = append(r.entries, decodeEntries(ctx, e.Items)...)
	if len(e.Items) >= listPageSize {
		s.listAfter(ctx, e.Items[len(e.Items)-1].Key)
		return
	}
	r.stage = readFloor
	s.calls.call(ctx, purposeRead, effect.CallStore{Verb: effect.StoreGet, Key: floorKey})
}

// handleFloor finishes the read, or requests the snapshot if entries that the node
// lacks were truncated.
func (s *State) handleFloor(ctx *step.Context, e event.StoreResult) {
	s.reader.floor = 0
	if len(e.Items) > 0 {
		s.reader.floor = parseFloor(e.Items[0].Value)
	}
	if s.reader.floor <= s.history.applied() {
		s.finishRead(ctx)
		return
	}
	s.reader.stage = readSnapshot
	s.calls.call(ctx, purposeRead, effect.CallStore{Verb: effect.StoreGet, Key: snapshotKey})
}

// handleSnapshot installs the snapshot that replaces the truncated entries.
func (s *State) handleSnapshot(ctx *step.Context, e event.StoreResult) {
	if len(e.Items) == 0 {
		s.failRead(ctx)
		return
	}
	decoded, err := decodeSnapshot(e.Items[0].Value)
	if err != nil || decoded.Config.Revision < s.reader.floor {
		ctx.Log(effect.Error, "config", "the snapshot in the store cannot be used")
		s.failRead(ctx)
		return
	}
	s.history.installSnapshot(decoded, len(e.Items[0].Value))
	s.finishRead(ctx)
}

// finishRead applies the entries above the floor and resumes the work that waits
// for a read.
func (s *State) finishRead(ctx *step.Context) {
	r := &s.reader
	for _, entry := range r.entries {
		if entry.Revision > r.floor {
			s.history.add(entry)
		}
	}
	r.entries = nil
	r.stage = readIdle
	r.lastFinished = r.lastStarted
	s.sync.handleReadFinished()
	s.follower.handleReadFinished(r.revision)
	s.continueProposal(ctx)
	s.ensureWatch(ctx)
	if r.repeat && r.stage == readIdle {
		s.beginRead(ctx)
	}
}

// failRead ends the current read and schedules a retry.
func (s *State) failRead(ctx *step.Context) {
	r := &s.reader
	r.entries = nil
	r.stage = readIdle
	r.retryAt = ctx.Now.Add(backoff(ctx))
	ctx.Count(metricReadFailures, "")
}

// parseFloor parses the floor's value; an unreadable one counts as zero.
func parseFloor(value []byte) model.Revision {
	revision, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0
	}
	return model.Revision(revision)
}

// decodeEntries decodes log entries. An unreadable entry becomes a fence that only
// occupies its revision. This depends on the log alone, so every node treats the
// entry alike.
func decodeEntries(ctx *step.Context, items []event.StoreItem) []model.LogEntry {
	var entries []model.LogEntry
	for _, item := range items {
		revision, ok := parseLogKey(item.Key)
		if item.Deleted || !ok {
			continue
		}
		var entry model.LogEntry
		if err := json.Unmarshal(item.Value, &entry); err != nil || entry.Revision != revision {
			ctx.Log(effect.Error, "config", "unreadable log entry", effect.Field{Name: "key", Value: item.Key})
			entry = model.LogEntry{Revision: revision}
		}
		entries = append(entries, entry)
	}
	return entries
}
