// Package quarantine keeps requests that crash upstreams away from them. A
// connection that is cut without a reply makes its requests suspects, by a
// fingerprint of service and content. A suspect runs alone on an upstream, so
// that a second crash convicts it and not its neighbours.
package quarantine

import (
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Verdict is how a request content may run.
type Verdict uint8

// The verdicts.
const (
	// Clear content runs as usual.
	Clear Verdict = iota
	// Suspect content runs on one canary upstream, alone, before any other.
	Suspect
	// Convicted content is refused as not run.
	Convicted
)

// State holds suspects and convictions.
type State struct{}

// New returns a state without suspects.
func New() *State { return &State{} }

// Check returns the verdict on a content.
func (s *State) Check(ctx *step.Context, service model.ServiceName, print model.Fingerprint) Verdict {
	return Clear
}

// HandleCrash takes in that an upstream crashed under one of this node's
// attempts, as the coordinator learned it from the dispatcher.
func (s *State) HandleCrash(ctx *step.Context, service model.ServiceName, print model.Fingerprint, result message.DispatchResult) {
}

// HandleSurvived takes in that a suspect ran to its end without a crash.
func (s *State) HandleSurvived(ctx *step.Context, service model.ServiceName, print model.Fingerprint) {
}

// HandleSuspicion takes in a peer's suspicion or conviction.
func (s *State) HandleSuspicion(ctx *step.Context, m message.Suspicion) {}

// HandlePardon lifts suspicion and conviction of a fingerprint.
func (s *State) HandlePardon(ctx *step.Context, m message.Pardon) {}

// HandleConfig applies the operators' convictions after a change.
func (s *State) HandleConfig(ctx *step.Context) {}

// HandleTimer lets suspicions lapse.
func (s *State) HandleTimer(ctx *step.Context, id uint64) {}
