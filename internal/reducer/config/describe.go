package config

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Description is the part's share of the state dump.
type Description struct {
	Revision model.Revision `json:"revision"`
	// Ready tells whether the node may start new work.
	Ready        bool `json:"ready"`
	Synchronised bool `json:"synchronised"`
	CatchingUp   bool `json:"catching_up"`
	Isolated     bool `json:"isolated"`
	// SinceStore and SincePeer are how long the node has heard nothing of either,
	// in nanoseconds.
	SinceStore time.Duration `json:"since_store"`
	SincePeer  time.Duration `json:"since_peer"`
	// Watching tells whether the node is to watch the store, and WatchOpen whether
	// it does.
	Watching  bool `json:"watching"`
	WatchOpen bool `json:"watch_open"`
	// Entries and Changes count what the node keeps of the log, Pending what waits
	// behind a gap.
	Entries int `json:"entries"`
	Changes int `json:"changes"`
	Pending int `json:"pending"`
	// Snapshot and Floor are the newest that this node has written or seen.
	Snapshot model.Revision `json:"snapshot"`
	Floor    model.Revision `json:"floor"`
	// Proposals are the operators' changes under way on this node.
	Proposals []ProposalDescription `json:"proposals,omitempty"`
}

// ProposalDescription is an operator's change under way.
type ProposalDescription struct {
	Change   model.ChangeID     `json:"change"`
	Operator model.OperatorName `json:"operator"`
	Stage    string             `json:"stage"`
	Target   model.Revision     `json:"target,omitempty"`
	// MayLand tells that a write of the target may yet take effect.
	MayLand bool `json:"may_land,omitempty"`
}

// maxDescribedProposals bounds the proposals in a dump.
const maxDescribedProposals = 16

// stageNames are the names of the stages in a dump.
var stageNames = [...]string{
	stageQueued:   "queued",
	stageReading:  "reading",
	stageCreating: "creating",
	stageSettling: "settling",
	stageFencing:  "fencing",
}

// Describe returns the part's share of the state dump.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		Revision:     s.history.applied(),
		Ready:        s.sync.ready(),
		Synchronised: s.sync.synced,
		CatchingUp:   s.sync.catchingUp,
		Isolated:     s.sync.isolated,
		SinceStore:   now.Sub(s.sync.lastStore),
		SincePeer:    now.Sub(s.sync.lastPeer),
		Watching:     s.follower.watching,
		WatchOpen:    s.follower.waiting,
		Entries:      len(s.history.entries),
		Changes:      len(s.history.changes),
		Pending:      len(s.history.pending),
		Snapshot:     s.compact.snapshot,
		Floor:        max(s.compact.floor, s.reader.floor),
	}
	for _, p := range s.proposer.queue[:min(maxDescribedProposals, len(s.proposer.queue))] {
		d.Proposals = append(d.Proposals, ProposalDescription{
			Change: p.change, Operator: p.operator, Stage: stageNames[p.stage], Target: p.target, MayLand: p.mayLand,
		})
	}
	return d
}
