package event

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Forward is a caller's request that is routed by host and path.
type Forward struct {
	Call    model.CallID
	Request *model.ForwardRequest
}

// ForwardStatus classifies an upstream's reply to a forwarded request.
type ForwardStatus uint8

// The classes of replies to forwarded requests.
const (
	// ForwardAnswered is a success with the upstream's signature.
	ForwardAnswered ForwardStatus = iota + 1
	// ForwardFailed means that the upstream ran the request and failed.
	ForwardFailed
	// ForwardNotRun means that the upstream says that it did not run the request.
	ForwardNotRun
	// ForwardMisdirected means that another upstream has taken the address over;
	// the request did not run.
	ForwardMisdirected
	// ForwardInvalid is a reply that cannot be the upstream's whole answer.
	ForwardInvalid
)

// ForwardReply is an upstream's reply to a forwarded request.
type ForwardReply struct {
	Connection model.ConnectionID
	Attempt    uint64
	Status     ForwardStatus
	Reply      *model.ForwardedReply
	// Load is what the upstream says of its load, or nil.
	Load *model.ReportedLoad
	// IdleTimeout is when the upstream closes the connection if it stays idle;
	// zero means that it did not say.
	IdleTimeout time.Duration
	// Closing is set when the connection ends with this reply.
	Closing bool
}

// RegistryResult is the outcome of a registry call.
type RegistryResult struct {
	Operation model.OperationID
	Status    StoreStatus
	// Revision is the registry's revision at the reply.
	Revision uint64
	// Routes is the routing configuration, or nil if none is there or it has not
	// changed.
	Routes *model.RouteTable
	// Upstreams lists all registrations that can be used.
	Upstreams []model.Registration
	// Members lists the nodes; Gone lists those that a watch saw leave.
	Members        []model.Member
	RemovedMembers []model.HostID
	// Suspicions are what nodes reported of requests that crash upstreams.
	Suspicions []message.Suspicion
	// Lease is the lease of the node's own announcement.
	Lease uint64
}

func (Forward) isEvent()        {}
func (ForwardReply) isEvent()   {}
func (RegistryResult) isEvent() {}

// Reconfigured carries the settings that a running node can follow.
type Reconfigured struct {
	ExtraAttemptBudget model.Percent
	ExtraAttemptSlack  float64
	StopGrace          time.Duration
	EntryTTL           time.Duration
	// PollInterval is the time between two readings of the upstreams, RouteWait that of
	// one watch of the routes, and AdoptDelay how long newer routes wait for upstreams.
	PollInterval time.Duration
	RouteWait    time.Duration
	AdoptDelay   time.Duration
}

func (Reconfigured) isEvent() {}
