package effect

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// ReplyForward sends the answer to a routed request.
type ReplyForward struct {
	Call   model.CallID
	Answer model.ForwardAnswer
	// Route is the name of the route, or empty if none matched, and Elapsed is the
	// time since the event that carried the request. Both are for metrics.
	Route   string
	Elapsed time.Duration
}

// SendForward writes a routed request on an idle connection to an upstream.
type SendForward struct {
	Connection model.ConnectionID
	Attempt    uint64
	// Instance identifies the only upstream that may run the request.
	Instance string
	Request  *model.ForwardRequest
	TimeLeft time.Duration
	// Hedge marks a hedged attempt, for metrics.
	Hedge bool
}

// RegistryVerb is the operation of a registry call.
type RegistryVerb uint8

// Operations of registry calls.
const (
	// ReadRoutes reads the routing configuration.
	ReadRoutes RegistryVerb = iota + 1
	// WatchRoutes waits for a change of the routing configuration after a revision.
	WatchRoutes
	// ReadUpstreams reads all registrations of upstreams.
	ReadUpstreams
	// WatchUpstreams waits for a change of the registrations after a revision.
	WatchUpstreams
	// ReadMembers reads the nodes' announcements and suspicions.
	ReadMembers
	// WatchMembers waits for a change of the announcements or suspicions after a
	// revision.
	WatchMembers
	// Announce writes the node's own announcement under the given Lease, or under a
	// new lease if Lease is zero.
	Announce
	// RenewLease extends the announcement's lease by another LeaseTime.
	RenewLease
	// Withdraw revokes the lease and thereby removes the announcement.
	Withdraw
	// ReportSuspicion writes a report, for the other nodes, of a request that may
	// crash upstreams.
	ReportSuspicion
)

// CallRegistry calls the registry, which holds the operators' routing configuration
// and the entries of upstreams and nodes. A RegistryResult follows.
type CallRegistry struct {
	Operation model.OperationID
	Verb      RegistryVerb
	// After is the revision after which a watch continues, and Wait how long it waits
	// for a change.
	After uint64
	Wait  time.Duration
	// AllowStale permits a read to return data that is some seconds old, which costs the
	// registry less.
	AllowStale bool
	// Timeout is the time after which the call ends with the status StoreUnknown.
	Timeout time.Duration
	// Member is the announcement, and LeaseTime how long it stays valid without a
	// renewal. Lease identifies the lease.
	Member    model.Member
	Lease     uint64
	LeaseTime time.Duration
	Suspicion message.Suspicion
}

// PublishReady sets the result of the readiness check.
type PublishReady struct {
	Ready bool
}

// LimitRequests applies the operators' limits on callers' requests.
type LimitRequests struct {
	Limits model.RequestLimits
}

// CloseCallerListeners closes the listeners for callers and their idle connections.
// Open requests continue.
type CloseCallerListeners struct{}

func (CloseCallerListeners) isEffect() {}
func (LimitRequests) isEffect()        {}
func (ReplyForward) isEffect()         {}
func (SendForward) isEffect()          {}
func (CallRegistry) isEffect()         {}
func (PublishReady) isEffect()         {}
