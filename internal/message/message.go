// Package message defines the messages between nodes. They are plain values;
// package peer encodes them for gRPC. A node also sends messages to itself, and
// then they never leave the reducer.
package message

import (
	"net/http"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Message is a message from one node to another.
type Message interface{ isMessage() }

// Dispatch asks a dispatcher to run one sub-request on one of its upstreams.
type Dispatch struct {
	Attempt  model.AttemptID
	Upstream model.UpstreamID
	Kind     Kind
	// RequestID is the caller's, zero if it gave none.
	RequestID model.RequestID
	// Version and Shards pin a search; an order has neither.
	Version model.Version
	Shards  []model.ShardID
	// Body is the query or order to pass on.
	Body []byte
	// TimeLeft is the remaining time to the deadline in nanoseconds when sent,
	// so that the clocks of two hosts need not agree.
	TimeLeft int64
	// MaxQueueWait bounds the wait for a slot in nanoseconds.
	MaxQueueWait int64
	// User is the owner of the service, for fair queueing.
	User        model.UserID
	Fingerprint model.Fingerprint
	// Isolate asks that nothing else runs on the upstream at the same time.
	Isolate bool
	// Hedge marks a speculative attempt: it is dropped rather than queued when
	// no slot is free.
	Hedge bool
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// DispatcherIncarnation is the life of the dispatcher that is meant, zero if it is not known. A
	// copy that reaches a later life is dropped: the earlier one may have run it.
	DispatcherIncarnation model.Incarnation
	// Priority is the same for all sub-requests of one request, so that
	// overloaded dispatchers drop the same requests whole. The highest is kept.
	Priority uint32
}

// Kind is the kind of work a sub-request carries.
type Kind uint8

// The kinds of work.
const (
	KindSearch Kind = iota + 1
	KindOrder
)

// Cancel takes back a sub-request: from the queue, or at the upstream.
type Cancel struct {
	Attempt model.AttemptID
}

// DispatchStatus is what became of a sub-request.
type DispatchStatus uint8

// The statuses of a dispatch. All but StatusAnswered, StatusFailed and
// StatusLost mean that the upstream did not run the work.
const (
	// StatusAnswered carries the upstream's reply.
	StatusAnswered DispatchStatus = iota + 1
	// StatusRefused means that it was never written to the upstream, or that the
	// upstream shed it and said so.
	StatusRefused
	// StatusVersionGone means that the upstream no longer holds the pinned
	// version.
	StatusVersionGone
	// StatusFailed means that the upstream replied with an error after it had
	// accepted the work.
	StatusFailed
	// StatusLost means that the connection ended after the work was written and
	// before the reply.
	StatusLost
	// StatusCancelled means that a cancelled sub-request was never written.
	StatusCancelled
	// StatusNotOwner means that this node does not dispatch for the upstream.
	StatusNotOwner
)

// NotRun reports whether the status proves that the work did not run.
func (s DispatchStatus) NotRun() bool {
	switch s {
	case StatusRefused, StatusVersionGone, StatusCancelled, StatusNotOwner:
		return true
	default:
		return false
	}
}

// DispatchResult tells the coordinator what became of a sub-request.
type DispatchResult struct {
	Attempt  model.AttemptID
	Upstream model.UpstreamID
	Status   DispatchStatus
	// Reason tells why, for refusals and failures.
	Reason model.Code
	// Version is the snapshot that the rows come from.
	Version model.Version
	// Rows holds one row a shard of a search, or the single reply of an order.
	Rows []model.Row
	// RowShards lists the shards that the rows stand for, in the same order.
	RowShards []model.ShardID
	// RetryAfter is how long the upstream's queue needs, in nanoseconds.
	RetryAfter int64
	// FreeSlots and Queued describe the upstream's queue after this result.
	FreeSlots int
	Queued    int
	// Crash marks a lost connection that looks like a crash of the upstream
	// while this request ran.
	Crash bool
	// RanAlone marks that nothing else ran on the upstream with this request.
	RanAlone bool
}

// IndexReport spreads what a dispatcher learned of an upstream.
type IndexReport struct {
	Report model.IndexReport
}

// IndexInterest asks a dispatcher for the reports of services, for a time.
type IndexInterest struct {
	Services []model.ServiceName
}

// OrderForward sends an order to its session's home node.
type OrderForward struct {
	// Call is the forwarding node's call, returned in OrderOutcome.
	Call      model.CallID
	RequestID model.RequestID
	Service   model.ServiceName
	Body      []byte
	TimeLeft  int64
	// Acknowledged is the highest sequence number whose outcome the caller has.
	Acknowledged uint64
	// Hops counts the nodes that the order has passed, to end a loop of nodes
	// with stale views.
	Hops uint32
}

// OrderOutcome returns the outcome of a forwarded order.
type OrderOutcome struct {
	Call   model.CallID
	Answer model.Answer
}

// OutcomeRecord is a session's record of one order.
type OutcomeRecord struct {
	RequestID model.RequestID
	Service   model.ServiceName
	// Fingerprint tells a resend from another request under the same identifier.
	Fingerprint model.Fingerprint
	// Started means that the order may have run.
	Started bool
	// Done means that Answer is final.
	Done   bool
	Answer model.Answer
}

// SessionHandover passes sealed sessions from a stopping home to a successor.
type SessionHandover struct {
	From        model.HostID
	Incarnation model.Incarnation
	// Part numbers the parts of a handover from one; Parts is their count.
	Part  uint32
	Parts uint32
	// Attempt numbers the handovers that the stopping home has begun; a later one
	// replaces an earlier one whole.
	Attempt uint64
	// SuccessorIncarnation is the life of the successor that is meant: a later one does not know
	// what the earlier one started.
	SuccessorIncarnation model.Incarnation
	// Homes lists the homes whose sessions are handed over: the stopping one, and
	// those that it took over itself. Every part carries all of them.
	Homes []HandoverHome
	// Sessions lists the open sessions in this part with their highest
	// acknowledged sequence numbers.
	Sessions []HandoverSession
	Outcomes []OutcomeRecord
}

// HandoverHome is what a home has promised about the sessions that it numbered.
type HandoverHome struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Generation counts the handovers of this home's sessions.
	Generation uint64
	// Issued is the highest session number given out.
	Issued uint64
	// Closed is the highest session number that takes no first order any more.
	Closed uint64
	// Aged is the highest session number that takes no new order any more.
	Aged uint64
	// Expired is the highest session number whose outcomes are not kept.
	Expired uint64
}

// HandoverSession is one session of a handover.
type HandoverSession struct {
	Session      model.SessionID
	Acknowledged uint64
	// HighestSeen is the highest sequence number that the old home accepted.
	HighestSeen uint64
	// Refused is the highest sequence number up to which orders without an
	// outcome were refused and never start.
	Refused uint64
	Expires int64
}

// HandoverAck confirms one part of a handover, or with part zero that the
// successor answers for the sessions.
type HandoverAck struct {
	Part uint32
	// From, Incarnation and Attempt name the handover.
	From        model.HostID
	Incarnation model.Incarnation
	Attempt     uint64
}

// SessionMoved tells all nodes who answers for a stopped home's sessions. Sent to
// the successor itself it ends the handover: from then on the successor alone
// may start the sessions' orders.
type SessionMoved struct {
	From        model.HostID
	Incarnation model.Incarnation
	To          model.HostID
	// Generation counts the handovers of the home's sessions; news of an earlier
	// one is ignored.
	Generation uint64
	// Attempt names the handover that ends, for the successor.
	Attempt uint64
}

// Digest is a node's periodic description of itself and what it knows.
type Digest struct {
	Member model.Member
	// Sequence grows with each digest of an incarnation.
	Sequence uint64
	// InForce lists what is known of other nodes' revisions.
	InForce []InForce
	// Rumors describe other nodes as the sender believes them to be.
	Rumors []Rumor
	// Holders tells which hosts have LatestRevision in force.
	Holders Holders
	// KnownHosts counts the hosts that the sender has a description of: a peer that
	// knows many more sends them.
	KnownHosts uint32
	// LatestRevision is the highest revision known to exist.
	LatestRevision model.Revision
	// BlocksHash is a hash of the node's convictions, to detect differences.
	BlocksHash uint64
}

// Rumor is a host's description at one of its digests, as believed by the
// sender. The sequence of the digest orders what is said of one life of a host.
type Rumor struct {
	Member   model.Member
	Sequence uint64
}

// Holders is a set of hosts as one bit for each member of a view, ordered by
// host. It means something only to a node with the same view.
type Holders struct {
	// View is a hash of the members and their lives; zero means that there is no
	// set.
	View uint64
	Bits []byte
}

// InForce is the configuration revision in force on one host.
type InForce struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Revision    model.Revision
	// Age is how old the knowledge is, in nanoseconds.
	Age int64
}

// LogPull asks a peer for log entries after a revision.
type LogPull struct {
	After model.Revision
}

// LogEntries carries contiguous log entries, or a snapshot when the log was
// truncated.
type LogEntries struct {
	// Snapshot, when present, is the printed configuration at SnapshotRevision.
	Snapshot         []byte
	SnapshotRevision model.Revision
	Entries          []model.LogEntry
	// Latest is the sender's highest contiguous revision.
	Latest model.Revision
}

// Suspicion tells all nodes of a crash that a request may have caused.
type Suspicion struct {
	Service     model.ServiceName
	Fingerprint model.Fingerprint
	Upstream    model.UpstreamID
	// Attempt identifies the crash, so that it is counted once.
	Attempt model.AttemptID
	// RanAlone marks that nothing else ran on the upstream: a conviction.
	RanAlone bool
	// TimeLeft is how long the suspicion or conviction still holds, in
	// nanoseconds.
	TimeLeft int64
	// Blocked marks that the sender refuses the content.
	Blocked bool
	// BlockDuration is the whole time of the conviction, in nanoseconds.
	BlockDuration int64
	// Revision is the sender's configuration: a later pardon outranks the news.
	Revision model.Revision
}

// Unblock lifts suspicions and convictions of a fingerprint.
type Unblock struct {
	Service     model.ServiceName
	Fingerprint model.Fingerprint
}

// RegistrySubscribe asks a node to share what it learns from the registry. It holds for a few
// seconds and names what the sender has already.
type RegistrySubscribe struct {
	// Address is where the sender takes messages.
	Address       string
	RoutesVersion model.Revision
	UpstreamsHash uint64
	MembersHash   uint64
	// Observations are what the sender saw of upstreams since its last message.
	Observations []model.Observation
}

// RegistryUpdate is what a node knows from the registry, or what has changed of it. An age
// is how long ago the part was known to be the newest, in nanoseconds; negative if
// the sender knows nothing of it.
type RegistryUpdate struct {
	RoutesVersion model.Revision
	RoutesAge     int64
	// Routes is nil for a receiver that has the version.
	Routes        *model.RouteTable
	UpstreamsHash uint64
	UpstreamsAge  int64
	// Upstreams is nil for a receiver that has the list of that sum, and so are
	// Members.
	Upstreams   []model.Registration
	MembersHash uint64
	MembersAge  int64
	Members     []model.Member
	Suspicions  []Suspicion
	// Observations are what the nodes of the failure domain saw of upstreams.
	Observations []model.Observation
}

// Subquery asks a node of another failure domain for some shards of a gathered request,
// so that their replies cross between the domains merged.
type Subquery struct {
	// Number is the sender's, and Address where it takes the reports.
	Number  uint64
	Address string
	// Route names the route, and Services the shards, of which each is offered to one
	// upstream.
	Route      string
	Services   []model.ServiceName
	TopRecords int
	// RequestID is the caller's identifier of the request; the other fields are those of
	// model.ForwardRequest that upstreams get.
	RequestID string
	Method    string
	Authority string
	URI       string
	Header    http.Header
	Body      []byte
	// Timeout is the time until the deadline, in nanoseconds.
	Timeout int64
	// TimeToFirstReport is the time until the first report, TimeToAnswer that until the parts are of
	// use, in nanoseconds.
	TimeToFirstReport int64
	TimeToAnswer      int64
}

// SubqueryReport tells what has become of parts of a subquery since the last report.
type SubqueryReport struct {
	Number uint64
	// RequestID is the caller's identifier of the request.
	RequestID string
	Answered  []SubqueryPart
	Failed    []SubqueryFailure
	// Records are the greatest records of the answered parts, greatest first.
	Records []byte
}

// SubqueryPart is an answered part, by its place among the subquery's services.
type SubqueryPart struct {
	Index     int
	Signature string
}

// SubqueryFailure is a part without an answer.
type SubqueryFailure struct {
	Index int
	// Status tells whether an upstream may have run it.
	Status DispatchStatus
}

// SubqueryCancel gives a subquery up.
type SubqueryCancel struct {
	Number    uint64
	RequestID string
}

func (Subquery) isMessage()          {}
func (SubqueryReport) isMessage()    {}
func (SubqueryCancel) isMessage()    {}
func (RegistrySubscribe) isMessage() {}
func (RegistryUpdate) isMessage()    {}
func (Dispatch) isMessage()          {}
func (Cancel) isMessage()            {}
func (DispatchResult) isMessage()    {}
func (IndexReport) isMessage()       {}
func (IndexInterest) isMessage()     {}
func (OrderForward) isMessage()      {}
func (OrderOutcome) isMessage()      {}
func (SessionHandover) isMessage()   {}
func (HandoverAck) isMessage()       {}
func (SessionMoved) isMessage()      {}
func (Digest) isMessage()            {}
func (LogPull) isMessage()           {}
func (LogEntries) isMessage()        {}
func (Suspicion) isMessage()         {}
func (Unblock) isMessage()           {}
