package reducer

import (
	"encoding/json"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/admission"
	"github.com/hawthorntack/hawthorntack/internal/reducer/config"
	"github.com/hawthorntack/hawthorntack/internal/reducer/dispatch"
	"github.com/hawthorntack/hawthorntack/internal/reducer/interest"
	"github.com/hawthorntack/hawthorntack/internal/reducer/quarantine"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/reducer/session"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Maximum lengths of the lists in a dump.
const (
	maxDumpedMembers  = 256
	maxDumpedServices = 256
)

// Dump is the state dump: the state of the node between two events.
type Dump struct {
	Self     model.Member   `json:"self"`
	State    string         `json:"state"`
	Members  []model.Member `json:"members"`
	Revision model.Revision `json:"revision"`
	// Config is the configuration in force, without key hashes.
	Config *model.Config `json:"config"`
	// OmittedMembers and OmittedServices are the numbers of entries that exceed the
	// maximum length of the lists.
	OmittedMembers  int `json:"omitted_members,omitempty"`
	OmittedServices int `json:"omitted_services,omitempty"`
	// Configuration describes the node's progress in the configuration log.
	Configuration config.Description `json:"configuration"`
	// KnownUpstreams is the number of upstreams with a report in the catalog.
	KnownUpstreams int `json:"known_upstreams"`
	// Interest describes the subscriptions to index reports and the parked searches.
	Interest interest.Description `json:"interest"`
	// Dispatch describes the dispatcher's upstreams, and Admission the open
	// requests by user.
	Dispatch  dispatch.Description  `json:"dispatch"`
	Admission admission.Description `json:"admission"`
	// Query describes the coordinator.
	Query    query.Description `json:"query"`
	Timers   int               `json:"timers"`
	InFlight int               `json:"in_flight"`
	// Session describes the stored outcomes, and Quarantine the suspected and blocked
	// contents.
	Session    session.Description    `json:"session"`
	Quarantine quarantine.Description `json:"quarantine"`
}

// Describe returns the state dump at the time now.
func (s *State) Describe(now model.Instant) Dump {
	return s.describe(s.context(now, 0))
}

// describe collects the descriptions of the reducer's components.
func (s *State) describe(ctx *step.Context) Dump {
	members, omittedMembers := firstOf(s.membership.Members(), maxDumpedMembers)
	config := ctx.Config.WithoutKeys()
	var omittedServices int
	config.Services, omittedServices = firstOf(config.Services, maxDumpedServices)
	return Dump{
		Self:            s.membership.Self(),
		State:           string(s.lifecycle.state),
		Members:         members,
		Revision:        ctx.Config.Revision,
		Config:          config,
		OmittedMembers:  omittedMembers,
		OmittedServices: omittedServices,
		KnownUpstreams:  s.catalog.Len(),
		Configuration:   s.config.Describe(ctx.Now),
		Query:           s.query.Describe(ctx),
		Timers:          s.timers.Len(),
		InFlight:        s.openRequests(),
		Session:         s.session.Describe(ctx.Now),
		Quarantine:      s.quarantine.Describe(ctx.Now),
		Interest:        s.interest.Describe(),
		Dispatch:        s.dispatch.Describe(ctx.Now),
		Admission:       s.admission.Describe(),
	}
}

// firstOf returns the first values, at most limit, and the number of omitted ones.
func firstOf[T any](values []T, limit int) (first []T, omitted int) {
	if len(values) <= limit {
		return values, 0
	}
	return values[:limit], len(values) - limit
}

// dump encodes the state as JSON.
func (s *State) dump(ctx *step.Context) []byte {
	encoded, err := json.Marshal(s.describe(ctx))
	if err != nil {
		return []byte(`{"error":"the state could not be encoded"}`)
	}
	return encoded
}
