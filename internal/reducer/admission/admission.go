// Package admission decides whether a node takes on a request: rate and
// concurrency limits of users and services, and each user's weighted fair share
// of the node.
package admission

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// State counts the open requests of each user and service.
type State struct{}

// New returns an empty state.
func New() *State { return &State{} }

// Refusal tells why a request is not taken on.
type Refusal struct {
	Failure    *model.Failure
	RetryAfter time.Duration
}

// Admit takes a request on, or refuses it. Each admitted request is given back
// by one Release.
func (s *State) Admit(ctx *step.Context, service *model.Service) *Refusal { return nil }

// Release gives an admitted request back.
func (s *State) Release(ctx *step.Context, service *model.Service) {}
