package config

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Description is the section of the state dump about the configuration log.
type Description struct {
	Revision model.Revision `json:"revision"`
	// Ready reports whether the node may start new work.
	Ready        bool `json:"ready"`
	Synchronised bool `json:"synchronised"`
	CatchingUp   bool `json:"catching_up"`
	Isolated     bool `json:"isolated"`
	// SinceStore and SincePeer are the times since the last reply of the store and
	// since the last message of a peer, in nanoseconds.
	SinceStore time.Duration `json:"since_store"`
	SincePeer  time.Duration `json:"since_peer"`
	// Watching reports whether the node is elected to watch the store, and
	// WatchOpen whether a watch call is open.
	Watching  bool `json:"watching"`
	WatchOpen bool `json:"watch_open"`
	// Entries and Changes count the log entries and change records in memory,
	// Pending the entries behind a gap.
	Entries int `json:"entries"`
	Changes int `json:"changes"`
	Pending int `json:"pending"`
	// Snapshot is the revision of the newest snapshot that this node has written or
	// seen, and Floor the highest floor.
	Snapshot model.Revision `json:"snapshot"`
	Floor    model.Revision `json:"floor"`
	// Proposals lists the operators' changes in progress on this node, at most
	// maxDescribedProposals.
	Proposals []ProposalDescription `json:"proposals,omitempty"`
}

// ProposalDescription describes an operator's change in progress.
type ProposalDescription struct {
	Change   model.ChangeID     `json:"change"`
	Operator model.OperatorName `json:"operator"`
	Stage    string             `json:"stage"`
	Target   model.Revision     `json:"target,omitempty"`
	// WritePending reports whether a write of the target revision may still take effect.
	WritePending bool `json:"may_land,omitempty"`
}

// maxDescribedProposals bounds the number of proposals in a dump.
const maxDescribedProposals = 16

// stageNames are the names of the proposal stages in a dump.
var stageNames = [...]string{
	stageQueued:   "queued",
	stageReading:  "reading",
	stageCreating: "creating",
	stageSettling: "settling",
	stageFencing:  "fencing",
}

// Describe returns the section of the state dump about the configuration log.
func (s *State) Describe(now model.Instant) Description {
	d := Description{
		Revision:     s.history.applied(),
		Ready:        s.sync.ready(),
		Synchronised: s.sync.synced,
		CatchingUp:   s.sync.catchingUp,
		Isolated:     s.sync.isolated,
		SinceStore:   now.Sub(s.sync.lastStoreContact),
		SincePeer:    now.Sub(s.sync.lastPeerContact),
		Watching:     s.follower.watching,
		WatchOpen:    s.follower.watchOpen,
		Entries:      len(s.history.entries),
		Changes:      len(s.history.changes),
		Pending:      len(s.history.pending),
		Snapshot:     s.compaction.snapshot,
		Floor:        max(s.compaction.floor, s.reader.floor),
	}
	for _, p := range s.proposer.queue[:min(maxDescribedProposals, len(s.proposer.queue))] {
		d.Proposals = append(d.Proposals, ProposalDescription{
			Change: p.change, Operator: p.operator, Stage: stageNames[p.stage], Target: p.target, WritePending: p.writePending,
		})
	}
	return d
}
