package config

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// Limits of proposals.
const (
	// proposalTime bounds an operator's call. An outcome that is not known by
	// then is settled behind it.
	proposalTime = 5 * time.Second
	// maxProposals bounds the proposals that wait on one node.
	maxProposals = 256
	// maxTextBytes bounds the text of one change.
	maxTextBytes = 128 << 10
	// keptOutcomes is how many outcomes of its own proposals a node remembers.
	keptOutcomes = 256
)

// stage is where a proposal stands. Each step is decided on a reading of the
// log that began after the step before it.
type stage uint8

// The stages of a proposal.
const (
	// stageQueued waits for the proposals before it.
	stageQueued stage = iota
	// stageReading reads the newest log, to check the change against it.
	stageReading
	// stageCreating waits for the reply to the write.
	stageCreating
	// stageSettling reads the log to see what became of the write.
	stageSettling
	// stageFencing waits for the reply to the write of a fence or a refusal.
	stageFencing
)

// proposal is an operator's change on its way into the log.
type proposal struct {
	change   model.ChangeID
	operator model.OperatorName
	text     string
	script   statement.Script
	// calls are the operator's calls that wait: a change that is sent again while
	// it is under way joins it.
	calls    []model.CallID
	deadline model.Instant
	stage    stage
	// target is the revision that the last write tried to take.
	target model.Revision
	// mayLand is true while a write of target may yet take effect.
	mayLand bool
	// shared is true when the operator knows the change's identifier and may have
	// sent the change to another node, or may yet do so.
	shared bool
	// failure is why the change is being refused; nil while it is not.
	failure *model.Failure
	// winner is the change that a conflict was lost to; nil if there was none.
	winner *effect.Winner
	// read is the number of the reading that the stage waits for.
	read uint64
	// retryAt is when a rejected write is tried again; zero means not waiting.
	retryAt model.Instant
}

// isUndecided reports whether the change may be in the log, or may still get
// there. Only the log can tell so of a shared change.
func (p *proposal) isUndecided() bool {
	if p.shared {
		return true
	}
	switch p.stage {
	case stageCreating, stageSettling, stageFencing:
		return true
	default:
		return p.mayLand
	}
}

// entry returns the log entry for the proposal at its target.
func (p *proposal) entry(now model.Instant) model.LogEntry {
	return model.LogEntry{
		Revision: p.target,
		Change:   p.change,
		Operator: p.operator,
		Base:     p.script.Base,
		Text:     p.text,
		Accepted: now,
	}
}

// newProposal returns a queued proposal of a statement.
func newProposal(now model.Instant, e event.Statement, script statement.Script, shared bool) *proposal {
	return &proposal{
		change:   e.Change,
		shared:   shared,
		operator: e.Operator,
		text:     e.Text,
		script:   script,
		calls:    []model.CallID{e.Call},
		deadline: now.Add(proposalTime),
	}
}

// ChangeStatus is what is known of a change.
type ChangeStatus struct {
	Change   model.ChangeID
	Operator model.OperatorName
	Outcome  effect.StatementOutcome
	// Revision is where an accepted change stands in the log.
	Revision model.Revision
	// Accepted is the proposer's clock; zero unless accepted.
	Accepted model.Instant
	// Failure tells why a change was not accepted.
	Failure *model.Failure
}

// status describes the recorded change.
func (c changeRecord) status() ChangeStatus {
	status := ChangeStatus{
		Change: c.Change, Operator: c.Operator, Outcome: effect.Accepted, Revision: c.Revision, Accepted: c.Accepted,
	}
	if c.Refused {
		status.Outcome = effect.NotAccepted
		status.Failure = c.refusal()
	}
	return status
}

// refusal is the failure of a refused change.
func (c changeRecord) refusal() *model.Failure {
	return model.Failf(model.CodeConflict, "change %s was refused at revision %d: use another change id", c.Change, c.Revision)
}

// Change returns what is known of a change: from the log, or from the node's
// own proposals. It returns false for a change that this node does not know;
// that proves nothing, because another node may be about to write it.
func (s *State) Change(id model.ChangeID) (ChangeStatus, bool) {
	if record, ok := s.history.change(id); ok {
		return record.status(), true
	}
	if p := s.proposer.find(id); p != nil {
		return ChangeStatus{Change: id, Operator: p.operator, Outcome: effect.ChangeUnknown}, true
	}
	return s.proposer.outcome(id)
}

// History returns the accepted entries that the node keeps, fences included,
// oldest first.
func (s *State) History() []model.LogEntry {
	entries := make([]model.LogEntry, len(s.history.entries))
	copy(entries, s.history.entries)
	return entries
}
