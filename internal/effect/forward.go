package effect

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// ReplyForward ends a routed request.
type ReplyForward struct {
	Call   model.CallID
	Answer model.ForwardAnswer
	// Route names the route, or is empty, and Elapsed is the time since the
	// request's event, both for metrics.
	Route   string
	Elapsed time.Duration
}

// SendForward writes a routed request on an idle connection to an upstream.
type SendForward struct {
	Connection model.ConnectionID
	Attempt    uint64
	// Instance names the upstream that may run the request.
	Instance string
	Request  *model.ForwardRequest
	TimeLeft time.Duration
	// Hedge marks extra work, for metrics.
	Hedge bool
}

// RegistryVerb is the kind of a registry call.
type RegistryVerb uint8

// The kinds of registry calls.
const (
	// ReadRoutes reads the routing configuration.
	ReadRoutes RegistryVerb = iota + 1
	// WatchRoutes waits for a change of it after a revision.
	WatchRoutes
	// ReadUpstreams reads all registrations of upstreams.
	ReadUpstreams
	// ReadMembers reads the nodes' announcements and suspicions.
	ReadMembers
	// WatchMembers waits for a change of them after a revision.
	WatchMembers
	// Announce writes the node's own announcement under a new lease, or under
	// Lease if it is set.
	Announce
	// RenewLease keeps the announcement for another lease time.
	RenewLease
	// Withdraw ends the lease and with it the announcement.
	Withdraw
	// ReportSuspicion tells the other nodes of a request that crashes upstreams.
	ReportSuspicion
)

// CallRegistry calls the registry in which operators, upstreams and nodes write
// what they are; a RegistryResult follows.
type CallRegistry struct {
	Operation model.OperationID
	Verb      RegistryVerb
	// After is the revision that a watch continues from, and Wait how long it
	// waits for a change.
	After uint64
	Wait  time.Duration
	// Timeout ends the call as unknown.
	Timeout time.Duration
	// Member is the announcement, and LeaseTime how long it holds without a
	// renewal.
	Member    model.Member
	Lease     uint64
	LeaseTime time.Duration
	Suspicion message.Suspicion
}

// PublishReady tells the readiness check whether the node serves.
type PublishReady struct {
	Ready bool
}

// CloseCallerListeners ends the listening for callers and closes their idle connections;
// requests that are open go on.
type CloseCallerListeners struct{}

func (CloseCallerListeners) isEffect() {}
func (ReplyForward) isEffect()         {}
func (SendForward) isEffect()          {}
func (CallRegistry) isEffect()         {}
func (PublishReady) isEffect()         {}
