package event

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Forward is a caller's request that is routed by its HTTP host and its path.
type Forward struct {
	Call    model.CallID
	Request *model.ForwardRequest
}

// ForwardStatus classifies an upstream's reply to a forwarded request.
type ForwardStatus uint8

// Classes of replies to forwarded requests.
const (
	// ForwardAnswered means success; the reply carries the upstream's signature.
	ForwardAnswered ForwardStatus = iota + 1
	// ForwardFailed means that the upstream ran the request and failed.
	ForwardFailed
	// ForwardNotRun means that the upstream reports that it did not run the request.
	ForwardNotRun
	// ForwardMisdirected means that another upstream now uses the address. The
	// request did not run.
	ForwardMisdirected
	// ForwardInvalid means that the reply is malformed or incomplete.
	ForwardInvalid
)

// String returns the class as it appears in log lines.
func (s ForwardStatus) String() string {
	switch s {
	case ForwardAnswered:
		return "answered"
	case ForwardFailed:
		return "failed"
	case ForwardNotRun:
		return "not_run"
	case ForwardMisdirected:
		return "misdirected"
	case ForwardInvalid:
		return "invalid"
	default:
		return "no_reply"
	}
}

// ForwardReply is an upstream's reply to a forwarded request.
type ForwardReply struct {
	Connection model.ConnectionID
	Attempt    uint64
	Status     ForwardStatus
	// Code is the HTTP status of the reply.
	Code  int
	Reply *model.ForwardedReply
	// Load is the load that the upstream reports, or nil.
	Load *model.ReportedLoad
	// Notice is what the upstream states about itself. It is empty in a reply of another
	// process at the upstream's address.
	Notice model.Notice
	// IdleTimeout is the time after which the upstream closes the connection if it
	// stays idle; zero means that the upstream did not report one.
	IdleTimeout time.Duration
	// Closing is set when the connection ends with this reply.
	Closing bool
}

// RegistryResult is the outcome of a registry call.
type RegistryResult struct {
	Operation model.OperationID
	Status    StoreStatus
	// Revision is the registry's revision at the time of the reply or, if the reply is
	// Incomplete, that of its last change.
	Revision uint64
	// Era is the registry's era, which rises when it comes back from an older copy of its data and
	// gives revisions out again. It is set for failed calls too, and zero if the reply stated none.
	Era uint64
	// Incomplete is set if the registry may have more changes than fit into the reply to
	// a watch.
	Incomplete bool
	// Routes is the routing configuration, or nil if there is none or it has not
	// changed.
	Routes *model.RouteTable
	// Upstreams lists the valid registrations of upstreams, after a watch those that have
	// changed. RemovedUpstreams lists the instances whose registration a watch reported
	// as removed or no longer valid.
	Upstreams        []model.Registration
	RemovedUpstreams []string
	// Members lists the nodes; RemovedMembers lists those whose removal a watch
	// reported.
	Members        []model.Member
	RemovedMembers []model.HostID
	// Suspicions are the nodes' reports of requests that may crash upstreams.
	Suspicions []message.Suspicion
	// Lease is the identifier of the lease of the node's own announcement.
	Lease uint64
}

func (Forward) isEvent()        {}
func (ForwardReply) isEvent()   {}
func (RegistryResult) isEvent() {}

// Reconfigured carries the settings that can be changed while the node runs.
type Reconfigured struct {
	// ExtraAttemptBudget and ExtraAttemptSlack bound the hedges and retries of a
	// service over all nodes: a percentage of its requests plus a constant.
	ExtraAttemptBudget model.Percent
	ExtraAttemptSlack  float64
	// BudgetWindow is the length of the window of that bound.
	BudgetWindow time.Duration
	// StopGrace is the maximum duration of a graceful shutdown, and EntryTTL how long
	// a caller may cache the reply to an Entry query.
	StopGrace time.Duration
	EntryTTL  time.Duration
	// PollInterval is the time between two reads of the upstreams, RouteWait the
	// duration of one watch of the routes, and AdoptDelay the longest time that new
	// routes wait for the upstreams of their services.
	PollInterval time.Duration
	RouteWait    time.Duration
	AdoptDelay   time.Duration
}

func (Reconfigured) isEvent() {}
