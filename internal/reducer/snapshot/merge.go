package snapshot

import (
	"fmt"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// PartError reports a reply that is not a part of a pinned query.
type PartError struct {
	Shard  string
	Reason string
}

// Error implements error.
func (e *PartError) Error() string { return fmt.Sprintf("reply for %s: %s", e.Shard, e.Reason) }

// Part is one shard's row of the pinned version. Only Pin.Part makes one that a
// Merge takes.
type Part struct {
	pin    *Pin
	target int
	row    model.Row
}

// Part checks that a reply consists of the target's shard in the pinned version
// and nothing else. It returns *PartError.
func (p *Pin) Part(target int, version model.Version, held []model.ShardID, rows []model.Row) (Part, error) {
	t := &p.targets[target]
	switch {
	case version != p.version || version == 0:
		return Part{}, &PartError{Shard: t.Name, Reason: fmt.Sprintf("version %d is not the pinned %d", version, p.version)}
	case len(held) != 1 || held[0] != t.Shard:
		return Part{}, &PartError{Shard: t.Name, Reason: "it is of other shards"}
	case len(rows) != 1:
		return Part{}, &PartError{Shard: t.Name, Reason: fmt.Sprintf("it has %d rows for one shard", len(rows))}
	}
	return Part{pin: p, target: target, row: rows[0]}, nil
}

// Merge gathers the parts of one pinned query, each shard at most once.
type Merge struct {
	pin      *Pin
	rows     []model.Row
	present  []bool
	searched int
}

// NewMerge returns a merge without parts.
func NewMerge(pin *Pin) *Merge {
	return &Merge{pin: pin, rows: make([]model.Row, pin.Len()), present: make([]bool, pin.Len())}
}

// Add takes in a part. It returns *PartError if the part is of another query or
// its shard is there already.
func (m *Merge) Add(part Part) error {
	if part.pin != m.pin || part.pin == nil {
		return &PartError{Reason: "it is of another query"}
	}
	if m.present[part.target] {
		return &PartError{Shard: m.pin.targets[part.target].Name, Reason: "the shard is there already"}
	}
	m.present[part.target] = true
	m.rows[part.target] = part.row
	m.searched++
	return nil
}

// Searched returns the number of shards whose parts are there.
func (m *Merge) Searched() int { return m.searched }

// Coverage computes the coverage over the pinned partition maps.
func (m *Merge) Coverage() model.Coverage {
	coverage := model.Coverage{Searched: m.searched, Total: m.pin.Len(), Missing: []string{}}
	for i, present := range m.present {
		if !present {
			coverage.Missing = append(coverage.Missing, m.pin.targets[i].Name)
		}
	}
	return coverage
}

// Percent returns the covered share of the shards.
func (m *Merge) Percent() model.Percent {
	return model.Coverage{Searched: m.searched, Total: m.pin.Len()}.Percent()
}

// Rows returns the rows in the order of the pinned partition maps.
func (m *Merge) Rows() []model.Row {
	rows := make([]model.Row, 0, m.searched)
	for i, present := range m.present {
		if present {
			rows = append(rows, m.rows[i])
		}
	}
	return rows
}
