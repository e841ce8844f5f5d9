package config

import (
	"encoding/json"
	"strconv"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// listPage is how many entries one list call returns.
const listPage = 128

// readStage is where a read of the log stands.
type readStage uint8

// The stages of a read. The floor is read after the log: a delayed write may
// bring an entry back whose revision was truncated, and the floor, which is
// written before the truncation, then tells that the entry does not count.
const (
	readIdle readStage = iota
	readLog
	readFloor
	readSnapshot
)

// reader reads the log from the store, one read at a time. Reads are numbered,
// so that a proposal can wait for one that began after a certain moment.
type reader struct {
	stage    readStage
	started  uint64
	finished uint64
	// again asks for another read after the present one.
	again bool
	// retryAt is when a failed read is repeated; zero means that none failed.
	retryAt model.Instant
	entries []model.LogEntry
	floor   model.Revision
	// revision is the store's revision at the first page.
	revision uint64
}

// requestRead asks for a read that begins from now on and returns its number.
func (s *State) requestRead(ctx *step.Context) uint64 {
	r := &s.reader
	if r.stage != readIdle {
		r.again = true
		return r.started + 1
	}
	if r.retryAt != 0 && ctx.Now.Before(r.retryAt) {
		return r.started + 1
	}
	s.beginRead(ctx)
	return r.started
}

// beginRead starts a read.
func (s *State) beginRead(ctx *step.Context) {
	s.reader.started++
	s.reader.again = false
	s.reader.retryAt = 0
	s.reader.entries = nil
	s.reader.revision = 0
	s.reader.stage = readLog
	s.listAfter(ctx, logKey(s.history.applied()))
}

// listAfter asks for the next page of the log.
func (s *State) listAfter(ctx *step.Context, key string) {
	s.calls.call(ctx, forRead, effect.CallStore{
		Verb: effect.StoreList, Key: logPrefix, After: key, Limit: listPage,
	})
}

// stepReader repeats a failed read.
func (s *State) stepReader(ctx *step.Context) {
	r := &s.reader
	if r.stage == readIdle && r.retryAt != 0 && r.retryAt <= ctx.Now {
		s.beginRead(ctx)
	}
}

// abort gives the present read up; its results no longer count.
func (r *reader) abort() {
	r.stage = readIdle
	r.again = false
	r.retryAt = 0
}

// stepRead takes in one reply of a read.
func (s *State) stepRead(ctx *step.Context, e event.StoreResult) {
	if e.Status != event.StoreOK {
		s.failRead(ctx)
		return
	}
	switch s.reader.stage {
	case readLog:
		s.takePage(ctx, e)
	case readFloor:
		s.takeFloor(ctx, e)
	case readSnapshot:
		s.takeSnapshot(ctx, e)
	}
}

// takePage keeps a page of the log and asks for the next one, or for the floor.
func (s *State) takePage(ctx *step.Context, e event.StoreResult) {
	r := &s.reader
	if r.revision == 0 {
		r.revision = e.StoreRevision
	}
	r.entries = append(r.entries, decodeEntries(ctx, e.Items)...)
	if len(e.Items) >= listPage {
		s.listAfter(ctx, e.Items[len(e.Items)-1].Key)
		return
	}
	r.stage = readFloor
	s.calls.call(ctx, forRead, effect.CallStore{Verb: effect.StoreGet, Key: floorKey})
}

// takeFloor finishes the read, or asks for the snapshot when entries that the
// node lacks were truncated.
func (s *State) takeFloor(ctx *step.Context, e event.StoreResult) {
	s.reader.floor = 0
	if len(e.Items) > 0 {
		s.reader.floor = parseFloor(e.Items[0].Value)
	}
	if s.reader.floor <= s.history.applied() {
		s.finishRead(ctx)
		return
	}
	s.reader.stage = readSnapshot
	s.calls.call(ctx, forRead, effect.CallStore{Verb: effect.StoreGet, Key: snapshotKey})
}

// takeSnapshot installs the snapshot that stands for the truncated entries.
func (s *State) takeSnapshot(ctx *step.Context, e event.StoreResult) {
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
	s.history.install(decoded, len(e.Items[0].Value))
	s.finishRead(ctx)
}

// finishRead applies the entries above the floor.
func (s *State) finishRead(ctx *step.Context) {
	r := &s.reader
	for _, entry := range r.entries {
		if entry.Revision > r.floor {
			s.history.add(entry)
		}
	}
	r.entries = nil
	r.stage = readIdle
	r.finished = r.started
	s.sync.readDone()
	s.follower.readDone(r.revision)
	s.proposalRead(ctx)
	s.keepWatching(ctx)
	if r.again && r.stage == readIdle {
		s.beginRead(ctx)
	}
}

// failRead gives a read up until a later time.
func (s *State) failRead(ctx *step.Context) {
	r := &s.reader
	r.entries = nil
	r.stage = readIdle
	r.retryAt = ctx.Now.Add(backoff(ctx))
	ctx.Count(metricReadFailures, "")
}

// parseFloor reads the floor's value; an unreadable one counts as none.
func parseFloor(value []byte) model.Revision {
	revision, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return 0
	}
	return model.Revision(revision)
}

// decodeEntries reads log entries. An unreadable entry only occupies its
// revision, as a fence does: each node decides so from the log alone.
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
