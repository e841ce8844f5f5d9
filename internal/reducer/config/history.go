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
	// keptEntries is how many applied entries a node keeps for peers that lag.
	keptEntries = 512
	// rememberedChanges is how many changes a node and a snapshot remember, to
	// recognise a resent change and to answer for a change's outcome.
	rememberedChanges = 1024
	// maxPending bounds the entries that wait for a missing one.
	maxPending = 1024
	// maxSnapshotBytes bounds an encoded snapshot. The store's limit is one
	// megabyte.
	maxSnapshotBytes = 900_000
)

// history is the contiguous log as far as the node knows it.
type history struct {
	config *model.Config
	// entries holds the latest applied entries, oldest first, without gaps.
	entries []model.LogEntry
	// changes holds the latest changes and refusals, oldest first, without void
	// entries.
	changes []changeRecord
	// forgotten is the highest revision whose change may be missing in changes.
	forgotten model.Revision
	// pending holds entries behind a gap.
	pending map[model.Revision]model.LogEntry
	// size estimates the bytes of a snapshot: the last one's plus the texts of the
	// changes since.
	size int
	// encoded is the snapshot of encodedAt, kept for the peers that ask for it.
	encoded   []byte
	encodedAt model.Revision
}

// changeRecord remembers an accepted or refused change.
type changeRecord struct {
	Revision model.Revision     `json:"revision"`
	Change   model.ChangeID     `json:"change"`
	Operator model.OperatorName `json:"operator"`
	Accepted model.Instant      `json:"accepted"`
	// TextHash tells a change that was sent again from another one under the same
	// identifier.
	TextHash uint64 `json:"text_hash"`
	// Refused marks a change that was refused for good.
	Refused bool `json:"refused,omitempty"`
}

// newHistory returns an empty log.
func newHistory() *history {
	return &history{config: &model.Config{}, pending: make(map[model.Revision]model.LogEntry)}
}

// applied returns the highest contiguous revision.
func (h *history) applied() model.Revision { return h.config.Revision }

// add takes in an entry and applies what has become contiguous. An entry at or
// below the applied revision changes nothing.
func (h *history) add(entry model.LogEntry) {
	if entry.Revision <= h.applied() || len(h.pending) >= maxPending && entry.Revision != h.applied()+1 {
		return
	}
	h.pending[entry.Revision] = entry
	h.drain()
}

// drain applies the pending entries that are contiguous.
func (h *history) drain() {
	for {
		next, ok := h.pending[h.applied()+1]
		if !ok {
			return
		}
		delete(h.pending, next.Revision)
		h.apply(next)
	}
}

// apply puts the next entry in force. A fence, a change that is known already,
// and one that does not apply only occupy their revisions: each node decides so
// from the log alone.
func (h *history) apply(entry model.LogEntry) {
	config := *h.config
	next := &config
	if !h.knows(entry.Change) {
		next = h.effectOf(entry)
	}
	next.Revision = entry.Revision
	h.config = next
	h.entries = append(h.entries, entry)
	if excess := len(h.entries) - keptEntries; excess > 0 {
		h.entries = slices.Delete(h.entries, 0, excess)
	}
}

// effectOf returns the configuration after an entry whose change is new, and
// remembers the change. A fence with a change's identifier refuses the change, and
// so does an entry that does not apply.
func (h *history) effectOf(entry model.LogEntry) *model.Config {
	config := *h.config
	if entry.IsFence() {
		if entry.Change != "" {
			h.remember(entry, true)
		}
		return &config
	}
	changed, failure := evaluate(h.config, entry.Text)
	h.remember(entry, failure != nil)
	if failure == nil {
		config = *changed
	}
	return &config
}

// evaluate returns the configuration after a text's changes.
func evaluate(config *model.Config, text string) (*model.Config, *model.Failure) {
	script, failure := statement.Parse(text)
	if failure != nil {
		return nil, failure
	}
	return statement.Replay(config, script.Changes)
}

// remember records a change that was accepted or refused.
func (h *history) remember(entry model.LogEntry, refused bool) {
	h.changes = append(h.changes, changeRecord{
		Revision: entry.Revision, Change: entry.Change, Operator: entry.Operator, Accepted: entry.Accepted,
		TextHash: hashText(entry.Text),
		Refused:  refused,
	})
	h.size += len(entry.Text)
	if excess := len(h.changes) - rememberedChanges; excess > 0 {
		h.forgotten = h.changes[excess-1].Revision
		h.changes = slices.Delete(h.changes, 0, excess)
	}
}

// untilTime matches the end of a conviction. A duration becomes another time
// whenever the text is sent again, so that it does not tell texts apart.
var untilTime = regexp.MustCompile(`\buntil \S+`)

// hashText returns a hash that is the same for a text that is sent again.
func hashText(text string) uint64 {
	return xxhash.Sum64String(untilTime.ReplaceAllString(text, ""))
}

// change returns the record of a change.
func (h *history) change(id model.ChangeID) (changeRecord, bool) {
	at := slices.IndexFunc(h.changes, func(c changeRecord) bool { return c.Change == id })
	if at < 0 {
		return changeRecord{}, false
	}
	return h.changes[at], true
}

// knows reports whether a change was accepted before.
func (h *history) knows(id model.ChangeID) bool {
	_, ok := h.change(id)
	return ok
}

// changedSince returns the newest change after a revision.
func (h *history) changedSince(revision model.Revision) (changeRecord, bool) {
	for _, c := range slices.Backward(h.changes) {
		if !c.Refused {
			return c, c.Revision > revision
		}
	}
	return changeRecord{}, false
}

// after returns up to limit applied entries after a revision, and false when
// they are no longer all kept.
func (h *history) after(revision model.Revision, limit int) ([]model.LogEntry, bool) {
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
	Config    *model.Config  `json:"config"`
	Changes   []changeRecord `json:"changes"`
	Forgotten model.Revision `json:"forgotten"`
}

// SnapshotError reports a snapshot that cannot be read.
type SnapshotError struct{ Reason string }

// Error implements error.
func (e *SnapshotError) Error() string { return "configuration snapshot: " + e.Reason }

// encodeSnapshot returns the compressed snapshot of a configuration with the
// history's changes.
func (h *history) encodeSnapshot(config *model.Config) ([]byte, error) {
	plain, err := json.Marshal(snapshot{Config: config, Changes: h.changes, Forgotten: h.forgotten})
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

// snapshotInForce returns the compressed snapshot of the configuration in force.
// It is encoded once a revision, because that takes long for a large one.
func (h *history) snapshotInForce() ([]byte, error) {
	if h.encoded != nil && h.encodedAt == h.applied() {
		return h.encoded, nil
	}
	encoded, err := h.encodeSnapshot(h.config)
	if err != nil {
		return nil, err
	}
	h.encoded, h.encodedAt = encoded, h.applied()
	return encoded, nil
}

// checkSize refuses a configuration whose snapshot would not fit into the store.
// Encoding takes long for a large configuration, so that it is left out while the
// estimate is far from the limit.
func (h *history) checkSize(next *model.Config) *model.Failure {
	if h.size < maxSnapshotBytes/2 {
		return nil
	}
	encoded, err := h.encodeSnapshot(next)
	if err != nil {
		return model.Failf(model.CodeInternal, "%v", err)
	}
	if len(encoded) > maxSnapshotBytes {
		return model.Failf(model.CodeTooLarge, "the configuration would need %d bytes in the store, more than %d",
			len(encoded), maxSnapshotBytes)
	}
	h.size = len(encoded)
	return nil
}

// maxPlainSnapshotBytes bounds a snapshot after decompression.
const maxPlainSnapshotBytes = 64 << 20

// decodeSnapshot reads a compressed snapshot.
func decodeSnapshot(data []byte) (snapshot, error) {
	reader, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return snapshot{}, fmt.Errorf("decompress configuration snapshot: %w", err)
	}
	var s snapshot
	if err := json.NewDecoder(io.LimitReader(reader, maxPlainSnapshotBytes)).Decode(&s); err != nil {
		return snapshot{}, fmt.Errorf("decode configuration snapshot: %w", err)
	}
	if s.Config == nil {
		return snapshot{}, &SnapshotError{Reason: "no configuration"}
	}
	return s, nil
}

// install puts a snapshot of some size in bytes in force if it is newer than
// what is applied.
func (h *history) install(s snapshot, size int) {
	if s.Config.Revision <= h.applied() {
		return
	}
	h.config = s.Config
	h.changes = s.Changes
	h.forgotten = s.Forgotten
	h.entries = nil
	h.size = size
	for revision := range h.pending {
		if revision <= s.Config.Revision {
			delete(h.pending, revision)
		}
	}
	h.drain()
}
