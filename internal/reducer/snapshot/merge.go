package snapshot

import (
	"fmt"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// PartError reports a reply that cannot be merged into the result of a pinned query.
type PartError struct {
	Shard  string
	Reason string
}

// Error implements error.
func (e *PartError) Error() string { return fmt.Sprintf("reply for %s: %s", e.Shard, e.Reason) }

// Part is the row of one shard in the pinned version. Merge.Add accepts only parts
// that Pin.Part returned.
type Part struct {
	pin    *Pin
	target int
	row    model.Row
}

// Part returns the part of a reply for a target. It returns *PartError unless the
// reply consists of exactly one row, for the target's shard in the pinned version.
func (p *Pin) Part(target int, version model.Version, rowShards []model.ShardID, rows []model.Row) (Part, error) {
	t := &p.targets[target]
	switch {
	case version != p.version || version == 0:
		return Part{}, &PartError{Shard: t.Name, Reason: fmt.Sprintf("version %d is not the pinned version %d", version, p.version)}
	case len(rowShards) != 1 || rowShards[0] != t.Shard:
		return Part{}, &PartError{Shard: t.Name, Reason: "it is for other shards"}
	case len(rows) != 1:
		return Part{}, &PartError{Shard: t.Name, Reason: fmt.Sprintf("it has %d rows instead of one", len(rows))}
	}
	return Part{pin: p, target: target, row: rows[0]}, nil
}

// Merge collects the parts of one pinned query, at most one for each shard.
type Merge struct {
	pin      *Pin
	rows     []model.Row
	merged   []bool
	searched int
}

// NewMerge returns an empty merge for a pinned query.
func NewMerge(pin *Pin) *Merge {
	return &Merge{pin: pin, rows: make([]model.Row, pin.Len()), merged: make([]bool, pin.Len())}
}

// Add adds a part. It returns *PartError if the part belongs to another query or its
// shard was already added.
func (m *Merge) Add(part Part) error {
	if part.pin != m.pin || part.pin == nil {
		return &PartError{Reason: "it belongs to another query"}
	}
	if m.merged[part.target] {
		return &PartError{Shard: m.pin.targets[part.target].Name, Reason: "the shard was already merged"}
	}
	m.merged[part.target] = true
	m.rows[part.target] = part.row
	m.searched++
	return nil
}

// Searched returns the number of shards whose parts were added.
func (m *Merge) Searched() int { return m.searched }

// Coverage returns the number of shards whose parts were added, the total number of
// shards in the pinned partition maps, and the names of the missing ones.
func (m *Merge) Coverage() model.Coverage {
	coverage := model.Coverage{Searched: m.searched, Total: m.pin.Len(), Missing: []string{}}
	for i, present := range m.merged {
		if !present {
			coverage.Missing = append(coverage.Missing, m.pin.targets[i].Name)
		}
	}
	return coverage
}

// Percent returns the percentage of shards whose parts were added.
func (m *Merge) Percent() model.Percent {
	return model.Coverage{Searched: m.searched, Total: m.pin.Len()}.Percent()
}

// Rows returns the added rows in the order of the pinned partition maps.
func (m *Merge) Rows() []model.Row {
	rows := make([]model.Row, 0, m.searched)
	for i, present := range m.merged {
		if present {
			rows = append(rows, m.rows[i])
		}
	}
	return rows
}
