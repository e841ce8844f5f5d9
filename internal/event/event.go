// Package event defines the inputs of the reducer. All input from callers, peers,
// upstreams, the platform, operators and timers arrives as an Event inside an
// Envelope.
package event

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Envelope carries one event together with the current time and the random seed
// that the reducer uses to process it.
type Envelope struct {
	Now    model.Instant
	Random uint64
	Event  Event
}

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Start is the first event after a node's process has started.
type Start struct{}

// Wake reports that the earliest timer is due.
type Wake struct{}

// Entry is a caller's query for the node addresses to use for a service.
type Entry struct {
	Call    model.CallID
	Service string
}

// Search is a caller's search of one or more services.
type Search struct {
	Call      model.CallID
	RequestID model.RequestID
	// Services lists service names and patterns.
	Services []string
	Query    []byte
	// Timeout is the timeout set by the caller; zero means the services' deadline.
	Timeout time.Duration
}

// Order is a caller's order to one service.
type Order struct {
	Call      model.CallID
	RequestID model.RequestID
	Service   model.ServiceName
	Body      []byte
	Timeout   time.Duration
	// Acknowledged is the highest sequence number of the session whose outcome
	// the caller has received.
	Acknowledged uint64
}

// CallerGone reports that the caller closed its request.
type CallerGone struct {
	Call model.CallID
}

// PeerMessage is a message from a peer, or from the node itself.
type PeerMessage struct {
	From        model.HostID
	Incarnation model.Incarnation
	Message     message.Message
}

// PeerLost reports that the stream to or from a peer ended. Messages in transit may
// be lost.
type PeerLost struct {
	Host model.HostID
}

// ConnectionOpened reports that a connection to an upstream is ready.
type ConnectionOpened struct {
	Connection model.ConnectionID
}

// ConnectionClosed reports that a connection to an upstream ended or could not be
// opened.
type ConnectionClosed struct {
	Connection model.ConnectionID
	// Attempt is the request that was in flight on the connection, zero if none.
	Attempt model.AttemptID
	// Written is false only if no byte of the request was written.
	Written bool
	// Refused is true if the connection could not be opened.
	Refused bool
	// Mismatch is true if the connection was closed because a reply carried the
	// identifier of another attempt.
	Mismatch bool
	Reason   string
}

// UpstreamStatus classifies an upstream's reply.
type UpstreamStatus uint8

// Classes of upstream replies.
const (
	// UpstreamAnswered means that the reply carries rows or the result of an order.
	UpstreamAnswered UpstreamStatus = iota + 1
	// UpstreamShed means that the upstream refused the work without running it.
	UpstreamShed
	// UpstreamVersionGone means that the upstream does not hold the requested
	// version.
	UpstreamVersionGone
	// UpstreamCancelled means that the work was cancelled on request.
	UpstreamCancelled
	// UpstreamFailed means that the work failed after it was accepted.
	UpstreamFailed
)

// UpstreamReply is an upstream's reply to an attempt.
type UpstreamReply struct {
	Connection model.ConnectionID
	// Attempt is the identifier echoed by the upstream.
	Attempt model.AttemptID
	Status  UpstreamStatus
	Version model.Version
	Rows    []model.Row
	// RowShards lists the shards that Rows belong to, in the same order.
	RowShards  []model.ShardID
	RetryAfter time.Duration
	// Draining is set when the upstream announces that it is draining.
	Draining bool
	// Closing is set when the connection ends with this reply.
	Closing bool
}

// UpstreamStatusRead carries the status that an upstream reports: the snapshots
// that it holds and its load, which may be outdated.
type UpstreamStatusRead struct {
	Connection model.ConnectionID
	Holdings   []model.Holding
	Draining   bool
	// InFlight is the number of running requests that the upstream reports.
	InFlight int
}

// UpstreamCancelDone reports that an upstream has acknowledged a cancellation, so
// that the connection that carried it is idle again.
type UpstreamCancelDone struct {
	Connection model.ConnectionID
}

// HostList is the platform's list of hosts, which may be outdated.
type HostList struct {
	Hosts []model.HostEntry
	// DrainingUpstreams lists the upstreams that the platform reports as draining.
	DrainingUpstreams []model.UpstreamID
	// Failed is true if the list could not be read.
	Failed bool
}

// StoreStatus classifies the outcome of a call to the key-value service.
type StoreStatus uint8

// Outcomes of a store call.
const (
	// StoreOK means that the call succeeded.
	StoreOK StoreStatus = iota + 1
	// StoreConflict means that the comparison failed and nothing was written.
	StoreConflict
	// StoreUnknown means that no reply was received: a write may have taken
	// effect or may still do so.
	StoreUnknown
	// StoreRejected means that the service refused the call without running it.
	StoreRejected
	// StoreTruncated means that the start revision of a watch is no longer
	// available.
	StoreTruncated
)

// StoreItem is one key of the key-value service.
type StoreItem struct {
	Key   string
	Value []byte
	// ModRevision is the store revision of the last change of the key.
	ModRevision uint64
	Deleted     bool
}

// StoreResult is the outcome of a store call, or of one watch request.
type StoreResult struct {
	Operation model.OperationID
	Status    StoreStatus
	Items     []StoreItem
	// StoreRevision is the store's revision at the time of the reply.
	StoreRevision uint64
}

// Statement carries the statements that an operator submits, in the language of package
// statement.
type Statement struct {
	Call     model.CallID
	Operator model.OperatorName
	Text     string
	// DryRun requests the configuration difference without applying it.
	DryRun bool
	// Change is the change identifier chosen by the operator, or empty.
	Change model.ChangeID
}

// DumpRequest requests the state dump.
type DumpRequest struct {
	Call model.CallID
}

// StopRequested starts the graceful shutdown; a second one ends the process at once.
type StopRequested struct{}

func (Start) isEvent()              {}
func (Wake) isEvent()               {}
func (Entry) isEvent()              {}
func (Search) isEvent()             {}
func (Order) isEvent()              {}
func (CallerGone) isEvent()         {}
func (PeerMessage) isEvent()        {}
func (PeerLost) isEvent()           {}
func (ConnectionOpened) isEvent()   {}
func (ConnectionClosed) isEvent()   {}
func (UpstreamReply) isEvent()      {}
func (UpstreamStatusRead) isEvent() {}
func (UpstreamCancelDone) isEvent() {}
func (HostList) isEvent()           {}
func (StoreResult) isEvent()        {}
func (Statement) isEvent()          {}
func (DumpRequest) isEvent()        {}
func (StopRequested) isEvent()      {}
