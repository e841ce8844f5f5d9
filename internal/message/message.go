// Package message defines the messages between nodes. They are plain values;
// package peer encodes them for gRPC. Messages that a node sends to itself never
// leave the reducer.
package message

import (
	"net/http"

	"github.com/hawthorntack/hawthorntack/internal/bounded"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Message is a message from one node to another.
type Message interface{ isMessage() }

// Dispatch asks a dispatcher to run one sub-request on one of its upstreams.
type Dispatch struct {
	Attempt  model.AttemptID
	Upstream model.UpstreamID
	Kind     Kind
	// RequestID is the caller's identifier of the request, zero if it set none.
	RequestID model.RequestID
	// Version and Shards select the snapshot and the shards of a search. They are
	// unset for an order.
	Version model.Version
	Shards  []model.ShardID
	// Body is the query or order to send to the upstream.
	Body []byte
	// TimeLeft is the time to the deadline in nanoseconds at the time of sending. It
	// is relative so that the clocks of two hosts need not agree.
	TimeLeft int64
	// MaxQueueWait is the maximum time to wait for a slot, in nanoseconds.
	MaxQueueWait int64
	// User is the owner of the service, for fair queueing.
	User        model.UserID
	Fingerprint model.Fingerprint
	// Isolate asks the dispatcher to run nothing else on the upstream at the same
	// time.
	Isolate bool
	// Hedge marks a hedged attempt, which is dropped instead of queued if no slot is
	// free.
	Hedge bool
	// Repeatable is false for work that must run at most once.
	Repeatable bool
	// DispatcherIncarnation is the incarnation of the dispatcher that the message is
	// addressed to, zero if it is not known. A copy that reaches a later incarnation
	// is dropped, because the earlier one may already have run the work.
	DispatcherIncarnation model.Incarnation
	// Priority is the same for all sub-requests of one request, so that overloaded
	// dispatchers shed entire requests and not parts of many. Sub-requests with a
	// higher priority are kept longer.
	Priority uint32
}

// Kind is the kind of work that a sub-request carries.
type Kind uint8

// Kinds of work.
const (
	KindSearch Kind = iota + 1
	KindOrder
)

// Cancel cancels a sub-request, in the dispatcher's queue or at the upstream.
type Cancel struct {
	Attempt model.AttemptID
}

// DispatchStatus classifies the result of a sub-request.
type DispatchStatus uint8

// Statuses of a dispatch. All except StatusAnswered, StatusFailed and StatusLost
// mean that the upstream did not run the work.
const (
	// StatusAnswered means that the result carries the upstream's reply.
	StatusAnswered DispatchStatus = iota + 1
	// StatusRefused means that the work was never written to the upstream, or that
	// the upstream replied that it shed the work.
	StatusRefused
	// StatusVersionGone means that the upstream no longer holds the requested
	// version.
	StatusVersionGone
	// StatusFailed means that the upstream replied with an error after it had
	// accepted the work.
	StatusFailed
	// StatusLost means that the connection ended after the work was written and
	// before the reply.
	StatusLost
	// StatusCancelled means that the sub-request was cancelled before it was written
	// to the upstream.
	StatusCancelled
	// StatusNotOwner means that this node is not a dispatcher of the upstream.
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

// DispatchResult reports the result of a sub-request to its coordinator.
type DispatchResult struct {
	Attempt  model.AttemptID
	Upstream model.UpstreamID
	Status   DispatchStatus
	// Reason is the cause of a refusal or failure.
	Reason model.Code
	// Version is the snapshot version that the rows come from.
	Version model.Version
	// Rows holds one row per shard of a search, or the single reply of an order.
	Rows []model.Row
	// RowShards lists the shards that the rows belong to, in the same order.
	RowShards []model.ShardID
	// RetryAfter is the estimated time after which a retry may be accepted, such as the
	// time that the upstream's queue needs to drain, in nanoseconds.
	RetryAfter int64
	// FreeSlots and Queued describe the upstream's queue after this result.
	FreeSlots int
	Queued    int
	// Crash is true if the connection was lost in a way that indicates a crash of the
	// upstream while this request ran.
	Crash bool
	// RanAlone is true if nothing else ran on the upstream together with this request.
	RanAlone bool
}

// IndexReport distributes the status of an upstream, as seen by its dispatcher.
type IndexReport struct {
	Report model.IndexReport
}

// IndexInterest subscribes to a dispatcher's index reports of services for a limited
// time.
type IndexInterest struct {
	Services []model.ServiceName
}

// OrderForward sends an order to its session's home, which is the node that opened the
// session, or to the home's successor.
type OrderForward struct {
	// Call identifies the call at the forwarding node and is returned in OrderOutcome.
	Call      model.CallID
	RequestID model.RequestID
	Service   model.ServiceName
	Body      []byte
	// TimeLeft is the time left for the order, in nanoseconds.
	TimeLeft int64
	// Acknowledged is the highest sequence number whose outcome the caller has
	// received.
	Acknowledged uint64
	// Hops counts the nodes that have forwarded the order, so that a forwarding loop
	// between nodes with stale membership views ends.
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
	// Fingerprint distinguishes a resent request from a different one with the same
	// identifier.
	Fingerprint model.Fingerprint
	// Started is true if the order may have run.
	Started bool
	// Done is true if Answer is final.
	Done   bool
	Answer model.Answer
}

// SessionHandover transfers sessions from a stopping home node to its successor. The
// sessions are sealed: the stopping node starts no more of their orders.
type SessionHandover struct {
	From        model.HostID
	Incarnation model.Incarnation
	// Part is the number of this part of the handover, starting at one. Parts is the
	// number of parts.
	Part  uint32
	Parts uint32
	// Attempt numbers the handovers that the stopping home has started; a later one
	// completely replaces an earlier one.
	Attempt uint64
	// SuccessorIncarnation is the incarnation of the successor that the message is
	// addressed to. A later incarnation has no record of the orders that the earlier
	// one started.
	SuccessorIncarnation model.Incarnation
	// Homes lists the homes whose sessions are handed over: the stopping home and
	// those that it has taken over itself. Every part carries all of them.
	Homes []HandoverHome
	// Sessions lists the open sessions in this part with their sequence numbers.
	// Outcomes lists records of orders, whose session may be in an earlier part.
	Sessions []HandoverSession
	Outcomes []OutcomeRecord
}

// HandoverHome is the state of a home in a handover: the guarantees that it has given
// for the sessions that it opened.
type HandoverHome struct {
	Host        model.HostID
	Incarnation model.Incarnation
	// Generation counts the handovers of this home's sessions.
	Generation uint64
	// Issued is the highest session number that the home has assigned.
	Issued uint64
	// Closed is the highest session number that no longer accepts a first order.
	Closed uint64
	// Aged is the highest session number that no longer accepts new orders.
	Aged uint64
	// Expired is the highest session number whose outcomes are no longer stored.
	Expired uint64
}

// HandoverSession is one session of a handover.
type HandoverSession struct {
	Session model.SessionID
	// Acknowledged is the highest sequence number whose outcome the caller has
	// received.
	Acknowledged uint64
	// HighestSeen is the highest sequence number that the old home accepted.
	HighestSeen uint64
	// Refused is the sequence number up to which all orders without a recorded
	// outcome were refused and will never be started.
	Refused uint64
	// Expires is part of the wire format, but no node sets or reads it.
	Expires int64
}

// HandoverAck acknowledges one part of a handover. Part zero acknowledges that the
// successor is now responsible for the sessions.
type HandoverAck struct {
	Part uint32
	// From, Incarnation and Attempt identify the handover.
	From        model.HostID
	Incarnation model.Incarnation
	Attempt     uint64
}

// SessionMoved announces which node is responsible for the sessions of a stopped
// home. Sent to the successor itself, it completes the handover: from then on only
// the successor may start orders of these sessions.
type SessionMoved struct {
	From        model.HostID
	Incarnation model.Incarnation
	To          model.HostID
	// Generation counts the handovers of the home's sessions. Messages about an
	// earlier generation are ignored.
	Generation uint64
	// Attempt identifies the completed handover to the successor.
	Attempt uint64
}

// Digest is the periodic gossip message of a node. It carries the node's own
// description and its information about other nodes.
type Digest struct {
	Member model.Member
	// Sequence increases with each digest of an incarnation.
	Sequence uint64
	// InForce lists the known configuration revisions of other nodes.
	InForce []InForce
	// Rumors describe other nodes according to the sender's membership view.
	Rumors []Rumor
	// Holders is the set of hosts that have LatestRevision in force.
	Holders Holders
	// KnownHosts is the number of members in the sender's view. A peer that knows
	// more than twice as many sends the descriptions of all of them in return.
	KnownHosts uint32
	// LatestRevision is the highest revision known to exist.
	LatestRevision model.Revision
	// BlocksHash is a hash of the node's blocks, to detect differences.
	BlocksHash uint64
}

// Rumor is the description of a host from one of the host's digests, passed on by
// another node. Sequence is that of the digest and orders the rumors about one
// incarnation of the host.
type Rumor struct {
	Member   model.Member
	Sequence uint64
}

// Holders is a set of hosts, encoded as a bitmap over the members of a view in the
// order of their hosts. Only a node with the same view can decode it.
type Holders struct {
	// View is a hash of the members and their incarnations; zero means that there is
	// no set.
	View uint64
	Bits []byte
}

// InForce is the configuration revision in force on one host.
type InForce struct {
	Host        model.HostID
	Incarnation model.Incarnation
	Revision    model.Revision
	// Age is the age of this information, in nanoseconds.
	Age int64
}

// LogPull requests the log entries after a revision from a peer.
type LogPull struct {
	After model.Revision
}

// LogEntries carries contiguous log entries, or a snapshot when the log was
// truncated.
type LogEntries struct {
	// Snapshot, if present, is the encoded configuration at SnapshotRevision.
	Snapshot         []byte
	SnapshotRevision model.Revision
	Entries          []model.LogEntry
	// Latest is the sender's highest contiguous revision.
	Latest model.Revision
}

// Suspicion reports to all nodes that a request may have crashed an upstream. Without a service it
// tells that an upstream crashed under no suspected content, and without an upstream that the
// sender begins to try suspected content.
type Suspicion struct {
	Service     model.ServiceName
	Fingerprint model.Fingerprint
	Upstream    model.UpstreamID
	// Attempt identifies the crash, so that it is counted only once.
	Attempt model.AttemptID
	// RanAlone is true if nothing else ran on the upstream. Only such a crash
	// can cause a block. Of requests that are routed by host and path it means that the
	// content was suspected when the attempt was sent.
	RanAlone bool `json:"Alone"`
	// TimeLeft is the remaining duration of the suspicion or block, in nanoseconds.
	TimeLeft int64
	// Blocked is true if the sender blocks the content.
	Blocked bool `json:"Convicted"`
	// BlockDuration is the total duration of the block, in nanoseconds.
	BlockDuration int64 `json:"Term"`
	// Revision is the sender's configuration revision. The message is ignored if the
	// content was unblocked at a later revision.
	Revision model.Revision
}

// Bound brings the numbers of a suspicion that another node has sent into the bounds of package
// bounded.
func (s *Suspicion) Bound() {
	s.TimeLeft, s.BlockDuration = bounded.Nanoseconds(s.TimeLeft), bounded.Nanoseconds(s.BlockDuration)
}

// Unblock clears the suspicions and blocks of a fingerprint.
type Unblock struct {
	Service     model.ServiceName
	Fingerprint model.Fingerprint
}

// Subquery delegates some shards of a gathered request to a node in another failure
// domain, so that only their merged replies are sent between the domains.
type Subquery struct {
	// Number is assigned by the sender, and Address is where it receives the reports.
	Number  uint64
	Address string
	// Route is the name of the route. Services lists the shards, each of which is sent
	// to one upstream.
	Route    string
	Services []model.ServiceName
	// TopRecords limits the records in a report to this number, the greatest ones.
	TopRecords int
	// RequestID is the caller's identifier of the request. The fields from Method to
	// Body are the parts of model.ForwardRequest that are forwarded to upstreams.
	RequestID string
	Method    string
	Authority string
	URI       string
	Header    http.Header
	Body      []byte
	// Timeout is the time until the deadline, in nanoseconds.
	Timeout int64
	// TimeToFirstReport is the time until the first report is due, and TimeToAnswer the
	// time until the request is answered with the parts that have arrived. Both are in
	// nanoseconds.
	TimeToFirstReport int64
	TimeToAnswer      int64
}

// SubqueryReport reports the parts of a subquery that have finished since the last
// report.
type SubqueryReport struct {
	Number uint64
	// RequestID is the caller's identifier of the request.
	RequestID string
	Answered  []SubqueryPart
	Failed    []SubqueryFailure
	// Records holds the greatest records of the answered parts, in descending order.
	Records []byte
}

// SubqueryPart is an answered part. Index is its position in Subquery.Services, and
// Signature is the signature of the upstream's reply.
type SubqueryPart struct {
	Index     int
	Signature string
}

// SubqueryFailure is a failed part. Index is its position in Subquery.Services.
type SubqueryFailure struct {
	Index int
	// Status shows whether an upstream may have run the part.
	Status DispatchStatus
}

// SubqueryCancel cancels a subquery.
type SubqueryCancel struct {
	Number    uint64
	RequestID string
}

// RateReports tells how a node uses the upstreams that limit the requests they take from all
// nodes together.
type RateReports struct {
	// Address is where the sender receives the reports of others. HasPart is true if it has a
	// part of the limits.
	Address string
	HasPart bool
	Reports []RateReport
}

// RateReport is one node's use of one upstream.
type RateReport struct {
	Upstream    model.UpstreamID
	Incarnation uint64
	// Limit is the limit that the upstream names, in requests per second.
	Limit float64
	// Age is the time since the upstream last named the limit to any node, as far as the sender
	// knows, in nanoseconds.
	Age int64
	// Rate is the rate at which the sender sends, in requests per second. Limited is true
	// if it would send more than its share.
	Rate    float64
	Limited bool
}

func (RateReports) isMessage()       {}
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
