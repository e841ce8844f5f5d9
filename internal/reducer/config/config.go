// Package config keeps the operators' configuration: it proposes changes to the
// log in the platform's key-value service, follows the log, exchanges entries
// with peers, and applies contiguous revisions only, so that nothing reverts.
package config

import (
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// State is the node's copy of the log and the proposals under way.
type State struct {
	inForce *model.Config
}

// New returns a state with the empty configuration in force.
func New() *State { return &State{inForce: &model.Config{}} }

// InForce returns the configuration in force. It must not be changed.
func (s *State) InForce() *model.Config { return s.inForce }

// Ready reports whether the node knows a configuration that is recent enough to
// serve with.
func (s *State) Ready() bool { return false }

// Start begins to follow the log.
func (s *State) Start(ctx *step.Context) {}

// HandleStatement checks and proposes an operator's change; package show
// answers the questions.
func (s *State) HandleStatement(ctx *step.Context, e event.Statement, script statement.Script) {}

// HandleStoreResult takes in the outcome of a store call. It reports whether
// another configuration is in force.
func (s *State) HandleStoreResult(ctx *step.Context, e event.StoreResult) (changed bool) {
	return false
}

// HandlePull answers a peer that asks for log entries.
func (s *State) HandlePull(ctx *step.Context, from model.HostID, m message.LogPull) {}

// HandleEntries takes in log entries of a peer. It reports whether another
// configuration is in force.
func (s *State) HandleEntries(ctx *step.Context, from model.HostID, m message.LogEntries) (changed bool) {
	return false
}

// HandleDigest compares a peer's revision with the node's own and keeps what is
// in force where.
func (s *State) HandleDigest(ctx *step.Context, from model.HostID, m message.Digest) {}

// HandleResume resynchronises after the process was paused.
func (s *State) HandleResume(ctx *step.Context) {}

// HandleTimer retries store calls and pulls. It reports whether another
// configuration is in force.
func (s *State) HandleTimer(ctx *step.Context, id uint64) (changed bool) { return false }
