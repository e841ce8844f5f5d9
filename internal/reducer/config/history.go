package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// Limits of the node's copy of the log.
const (
	// maxEntries is the number of applied entries that a node keeps for lagging
	// peers.
	maxEntries = 512
	// maxChangeRecords is the number of changes that a node and a snapshot
	// remember, to recognise a resent change and to report a change's outcome.
	maxChangeRecords = 1024
	// maxPendingEntries bounds the entries that wait for a missing one.
	maxPendingEntries = 1024
	// maxSnapshotBytes bounds an encoded snapshot. The store's limit is one
	// megabyte.
	maxSnapshotBytes = 900_000
)

// history is the contiguous part of the log that the node has.
type history struct {
	config *model.Config
	// entries holds the latest applied entries, oldest first, without gaps.
	entries []model.LogEntry
	// changes holds the latest accepted and refused changes, oldest first. Void
	// entries are not included.
	changes []changeRecord
	// droppedRevision is the highest revision whose change may be missing from
	// changes.
	droppedRevision model.Revision
	// pending holds the entries behind a gap.
	pending map[model.Revision]model.LogEntry
	// snapshotSize estimates the size of a snapshot in bytes: that of the last one
	// plus the texts of the changes since.
	snapshotSize int
	// encodedSnapshot caches the snapshot at encodedRevision for peers that request
	// it.
	encodedSnapshot []byte
	encodedRevision model.Revision
}

// changeRecord describes an accepted or refused change.
type changeRecord struct {
	Revision model.Revision     `json:"revision"`
	Change   model.ChangeID     `json:"change"`
	Operator model.OperatorName `json:"operator"`
	Accepted model.Instant      `json:"accepted"`
	// TextHash distinguishes a resent change from a different one under the same
	// identifier.
	TextHash uint64 `json:"text_hash"`
	// Refused marks a change that was refused permanently.
	Refused bool `json:"refused,omitempty"`
}

// newHistory returns an empty log.
func newHistory() *history {
	return &history{config: &model.Config{}, pending: make(map[model.Revision]model.LogEntry)}
}

// applied returns the highest contiguous revision.
func (h *history) applied() model.Revision { return h.config.Revision }

// add adds an entry and applies all entries that are now contiguous. An entry at or
// below the applied revision is ignored, and so is one behind a gap while
// maxPendingEntries are pending.
func (h *history) add(entry model.LogEntry) {
	if entry.Revision <= h.applied() || len(h.pending) >= maxPendingEntries && entry.Revision != h.applied()+1 {
		return
	}
	h.pending[entry.Revision] = entry
	h.applyPending()
}

// applyPending applies the pending entries that are contiguous.
func (h *history) applyPending() {
	for {
		next, ok := h.pending[h.applied()+1]
		if !ok {
			return
		}
		delete(h.pending, next.Revision)
		h.apply(next)
	}
}

// apply applies the next entry. A fence, a change that is already known and a
// change that is not valid only occupy their revisions. This depends on the log
// alone, so every node decides alike.
func (h *history) apply(entry model.LogEntry) {
	config := *h.config
	next := &config
	if !h.hasChange(entry.Change) {
		next = h.applyChange(entry)
	}
	next.Revision = entry.Revision
	h.config = next
	h.entries = append(h.entries, entry)
	if excess := len(h.entries) - maxEntries; excess > 0 {
		h.entries = slices.Delete(h.entries, 0, excess)
	}
}

// applyChange returns the configuration after an entry whose change is new, and
// records the change. A fence with a change identifier refuses that change, and an
// entry that is not valid counts as refused.
func (h *history) applyChange(entry model.LogEntry) *model.Config {
	config := *h.config
	if entry.IsFence() {
		if entry.Change != "" {
			h.recordChange(entry, true)
		}
		return &config
	}
	changed, failure := evaluate(h.config, entry.Text)
	h.recordChange(entry, failure != nil)
	if failure == nil {
		config = *changed
	}
	return &config
}

// evaluate returns the configuration after the changes in a text.
func evaluate(config *model.Config, text string) (*model.Config, *model.Failure) {
	script, failure := statement.Parse(text)
	if failure != nil {
		return nil, failure
	}
	return statement.Replay(config, script.Changes)
}

// recordChange records an accepted or refused change.
func (h *history) recordChange(entry model.LogEntry, refused bool) {
	h.changes = append(h.changes, changeRecord{
		Revision: entry.Revision, Change: entry.Change, Operator: entry.Operator, Accepted: entry.Accepted,
		TextHash: hashText(entry.Text),
		Refused:  refused,
	})
	h.snapshotSize += len(entry.Text)
	if excess := len(h.changes) - maxChangeRecords; excess > 0 {
		h.droppedRevision = h.changes[excess-1].Revision
		h.changes = slices.Delete(h.changes, 0, excess)
	}
}

// untilClause matches the end time of a block. It is excluded from the text hash
// because a duration resolves to another time whenever the text is sent again.
var untilClause = regexp.MustCompile(`\buntil \S+`)

// hashText returns a hash of a change's text that is the same when the text is sent
// again.
func hashText(text string) uint64 {
	return xxhash.Sum64String(untilClause.ReplaceAllString(text, ""))
}

// findChange returns the record of a change.
func (h *history) findChange(id model.ChangeID) (changeRecord, bool) {
	at := slices.IndexFunc(h.changes, func(c changeRecord) bool { return c.Change == id })
	if at < 0 {
		return changeRecord{}, false
	}
	return h.changes[at], true
}

// hasChange reports whether a change was accepted or refused before.
func (h *history) hasChange(id model.ChangeID) bool {
	_, ok := h.findChange(id)
	return ok
}

// changedSince returns the newest accepted change and reports whether it came after
// a revision.
func (h *history) changedSince(revision model.Revision) (changeRecord, bool) {
	for _, c := range slices.Backward(h.changes) {
		if !c.Refused {
			return c, c.Revision > revision
		}
	}
	return changeRecord{}, false
}

// entriesAfter returns up to limit applied entries after a revision, and false if
// the oldest of them is no longer kept.
func (h *history) entriesAfter(revision model.Revision, limit int) ([]model.LogEntry, bool) {
	if revision >= h.applied() {
		return nil, true
	}
	if len(h.entries) == 0 || h.entries[0].Revision > revision+1 {
		return nil, false
	}
	from := int(revision + 1 - h.entries[0].Revision)
	to := min(len(h.entries), from+limit)
	return slices.Clone(h.entries[from:to]), true
}

// snapshot is the state of the log at one revision.
type snapshot struct {
	Config          *model.Config  `json:"config"`
	Changes         []changeRecord `json:"changes"`
	DroppedRevision model.Revision `json:"forgotten"`
}

// SnapshotError reports a snapshot without usable content.
type SnapshotError struct{ Reason string }

// Error implements error.
func (e *SnapshotError) Error() string { return "configuration snapshot: " + e.Reason }

// encodeSnapshot returns the compressed snapshot of a configuration with the
// history's change records.
func (h *history) encodeSnapshot(config *model.Config) ([]byte, error) {
	plain, err := json.Marshal(snapshot{Config: config, Changes: h.changes, DroppedRevision: h.droppedRevision})
	if err != nil {
		return nil, fmt.Errorf("encode configuration snapshot: %w", err)
	}
	var out bytes.Buffer
	writer := gzip.NewWriter(&out)
	if _, err := writer.Write(plain); err != nil {
		return nil, fmt.Errorf("compress configuration snapshot: %w", err)
	}
	if err := writer.Close(); err != nil {
		return nil, fmt.Errorf("compress configuration snapshot: %w", err)
	}
	return out.Bytes(), nil
}

// currentSnapshot returns the compressed snapshot of the configuration in force. It
// is cached per revision, because encoding a large one takes long.
func (h *history) currentSnapshot() ([]byte, error) {
	if h.encodedSnapshot != nil && h.encodedRevision == h.applied() {
		return h.encodedSnapshot, nil
	}
	encoded, err := h.encodeSnapshot(h.config)
	if err != nil {
		return nil, err
	}
	h.encodedSnapshot, h.encodedRevision = encoded, h.applied()
	return encoded, nil
}

// checkSize refuses a configuration whose snapshot would not fit into the store.
// Encoding a large configuration takes long, so it is skipped while the estimate is
// far below the limit.
func (h *history) checkSize(next *model.Config) *model.Failure {
	if h.snapshotSize < maxSnapshotBytes/2 {
		return nil
	}
	encoded, err := h.encodeSnapshot(next)
	if err != nil {
		return model.Failf(model.CodeInternal, "%v", err)
	}
	if len(encoded) > maxSnapshotBytes {
		return model.Failf(model.CodeTooLarge, "the configuration would need %d bytes in the store; the limit is %d",
			len(encoded), maxSnapshotBytes)
	}
	h.snapshotSize = len(encoded)
	return nil
}

// maxDecompressedSnapshotBytes bounds the size of a snapshot after decompression.
const maxDecompressedSnapshotBytes = 64 << 20

// decodeSnapshot decodes a compressed snapshot.
func decodeSnapshot(data []byte) (snapshot, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return snapshot{}, fmt.Errorf("decompress configuration snapshot: %w", err)
	}
	var s snapshot
	if err := json.NewDecoder(io.LimitReader(reader, maxDecompressedSnapshotBytes)).Decode(&s); err != nil {
		return snapshot{}, fmt.Errorf("decode configuration snapshot: %w", err)
	}
	if s.Config == nil {
		return snapshot{}, &SnapshotError{Reason: "no configuration"}
	}
	return s, nil
}

// installSnapshot replaces the configuration by a snapshot if that is newer than
// the applied revision. The size is that of the encoded snapshot in bytes.
func (h *history) installSnapshot(s snapshot, size int) {
	if s.Config.Revision <= h.applied() {
		return
	}
	h.config = s.Config
	h.changes = s.Changes
	h.droppedRevision = s.DroppedRevision
	h.entries = nil
	h.snapshotSize = size
	for revision := range h.pending {
		if revision <= s.Config.Revision {
			delete(h.pending, revision)
		}
	}
	h.applyPending()
}
