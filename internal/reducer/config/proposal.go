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
	// proposalTimeout bounds an operator's call. A proposal whose outcome is
	// unknown by then is resolved in the background.
	proposalTimeout = 5 * time.Second
	// maxProposals bounds the proposals queued on one node.
	maxProposals = 256
	// maxTextBytes bounds the size of one change's text in bytes.
	maxTextBytes = 128 << 10
	// maxOutcomes is the number of outcomes of its own proposals that a node
	// remembers.
	maxOutcomes = 256
)

// proposalStage is the current stage of a proposal. Each decision is based on a
// read of the log that began after the previous stage.
type proposalStage uint8

// The stages of a proposal.
const (
	// stageQueued waits for the proposals ahead in the queue.
	stageQueued proposalStage = iota
	// stageReading reads the newest log, to validate the change against it.
	stageReading
	// stageCreating waits for the reply to the write.
	stageCreating
	// stageSettling reads the log to find out whether the write took effect.
	stageSettling
	// stageFencing waits for the reply to the write of a fence or a refusal.
	stageFencing
)

// proposal is an operator's change that is not yet decided.
type proposal struct {
	change   model.ChangeID
	operator model.OperatorName
	text     string
	script   statement.Script
	// calls are the operator's calls that wait for the outcome. A change that is
	// sent again while it is in progress joins the same proposal.
	calls    []model.CallID
	deadline model.Instant
	stage    proposalStage
	// target is the revision that the last write tried to create.
	target model.Revision
	// writePending is true while a write of target may still take effect.
	writePending bool
	// mayBeResent is true when the operator knows the change's identifier, so that
	// another node may have received the change or may still receive it.
	mayBeResent bool
	// failure is the reason why the change is being refused; nil while it is not.
	failure *model.Failure
	// winner is the accepted change that the proposal conflicts with; nil if there
	// is none.
	winner *effect.Winner
	// readNumber is the number of the read that the stage waits for.
	readNumber uint64
	// retryAt is when a rejected write is retried; zero if no retry is scheduled.
	retryAt model.Instant
}

// isUndecided reports whether the change may be in the log or may still get there.
// For a change that may be resent, only the log decides.
func (p *proposal) isUndecided() bool {
	if p.mayBeResent {
		return true
	}
	switch p.stage {
	case stageCreating, stageSettling, stageFencing:
		return true
	default:
		return p.writePending
	}
}

// entry returns the log entry for the proposal at its target revision.
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

// newProposal returns a queued proposal for a statement.
func newProposal(now model.Instant, e event.Statement, script statement.Script, mayBeResent bool) *proposal {
	return &proposal{
		change:      e.Change,
		mayBeResent: mayBeResent,
		operator:    e.Operator,
		text:        e.Text,
		script:      script,
		calls:       []model.CallID{e.Call},
		deadline:    now.Add(proposalTimeout),
	}
}

// ChangeStatus is the known state of a change.
type ChangeStatus struct {
	Change   model.ChangeID
	Operator model.OperatorName
	Outcome  effect.StatementOutcome
	// Revision is the log revision of an accepted or refused change; zero if it is
	// not in the log.
	Revision model.Revision
	// Accepted is the time of acceptance on the proposer's clock; zero unless
	// accepted.
	Accepted model.Instant
	// Failure is the reason why a change was not accepted.
	Failure *model.Failure
}

// status returns the status of a recorded change.
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

// refusal returns the failure of a refused change.
func (c changeRecord) refusal() *model.Failure {
	return model.Failf(model.CodeConflict, "change %s was refused at revision %d: use another change id", c.Change, c.Revision)
}

// Change returns the known status of a change: from the log, or from the node's own
// proposals. It returns false for a change that this node does not know; another
// node may still be about to write that change.
func (s *State) Change(id model.ChangeID) (ChangeStatus, bool) {
	if record, ok := s.history.findChange(id); ok {
		return record.status(), true
	}
	if p := s.proposer.find(id); p != nil {
		return ChangeStatus{Change: id, Operator: p.operator, Outcome: effect.ChangeUnknown}, true
	}
	return s.proposer.outcome(id)
}

// History returns the log entries that the node keeps in memory, fences included,
// oldest first.
func (s *State) History() []model.LogEntry {
	entries := make([]model.LogEntry, len(s.history.entries))
	copy(entries, s.history.entries)
	return entries
}
