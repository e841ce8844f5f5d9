// Package event defines the inputs of the reducer. Everything a node learns, of
// callers, peers, upstreams, the platform, operators and the passing of time,
// arrives as an Event inside an Envelope.
package event

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Envelope carries one event with the time and random bits that the reducer may
// use for it.
type Envelope struct {
	Now    model.Instant
	Random uint64
	Event  Event
}

// Event is an input of the reducer.
type Event interface{ isEvent() }

// Start is the first event of a node's life.
type Start struct{}

// Wake tells that the time of the earliest timer has come.
type Wake struct{}

// Entry is a caller's question which addresses to use for a service.
type Entry struct {
	Call    model.CallID
	Service string
}

// Search is a caller's search.
type Search struct {
	Call      model.CallID
	RequestID model.RequestID
	// Services lists names and patterns.
	Services []string
	Query    []byte
	// Timeout is the caller's; zero means the services' deadline.
	Timeout time.Duration
}

// Order is a caller's order.
type Order struct {
	Call      model.CallID
	RequestID model.RequestID
	Service   model.ServiceName
	Body      []byte
	Timeout   time.Duration
	// Acknowledged is the highest sequence number of the session whose outcome
	// the caller has.
	Acknowledged uint64
}

// CallerGone tells that the caller closed its request.
type CallerGone struct {
	Call model.CallID
}

// PeerMessage is a message from a peer, or from the node itself.
type PeerMessage struct {
	From        model.HostID
	Incarnation model.Incarnation
	Message     message.Message
}

// PeerLost tells that the stream to or from a peer ended: messages on their way
// may be lost.
type PeerLost struct {
	Host model.HostID
}

// ConnectionOpened tells that a connection to an upstream is ready.
type ConnectionOpened struct {
	Connection model.ConnectionID
}

// ConnectionClosed tells that a connection to an upstream ended or could not be
// opened.
type ConnectionClosed struct {
	Connection model.ConnectionID
	// Attempt is the request that was on the connection, zero if none.
	Attempt model.AttemptID
	// Written is false only when not one byte of the request was written.
	Written bool
	// Refused is true when the connection was never opened.
	Refused bool
	// Mismatch is true when the connection was closed because a reply carried
	// another attempt's identifier.
	Mismatch bool
	Reason   string
}

// UpstreamStatus classifies an upstream's reply.
type UpstreamStatus uint8

// The classes of upstream replies.
const (
	// UpstreamAnswered carries rows or an order's reply.
	UpstreamAnswered UpstreamStatus = iota + 1
	// UpstreamShed means that the upstream refused the work without running it.
	UpstreamShed
	// UpstreamVersionGone means that it does not hold the asked version.
	UpstreamVersionGone
	// UpstreamCancelled means that the work was stopped on request.
	UpstreamCancelled
	// UpstreamFailed means that the work failed after it was accepted.
	UpstreamFailed
)

// UpstreamReply is an upstream's reply to an attempt.
type UpstreamReply struct {
	Connection model.ConnectionID
	// Attempt is the identifier echoed by the upstream.
	Attempt    model.AttemptID
	Status     UpstreamStatus
	Version    model.Version
	Rows       []model.Row
	RowShards  []model.ShardID
	RetryAfter time.Duration
	// Draining is set when the upstream announces that it is leaving.
	Draining bool
	// Closing is set when the connection ends with this reply.
	Closing bool
}

// UpstreamStatusRead carries an upstream's own status: what it holds and the
// load that it reports, which may lag.
type UpstreamStatusRead struct {
	Connection model.ConnectionID
	Holdings   []model.Holding
	Draining   bool
	// InFlight is the load the upstream reports.
	InFlight int
}

// UpstreamCancelDone tells that an upstream has taken in a cancellation, so that
// the connection that carried it is idle again.
type UpstreamCancelDone struct {
	Connection model.ConnectionID
}

// HostList is the platform's list of hosts; it may lag.
type HostList struct {
	Hosts []model.HostEntry
	// DrainingUpstreams lists the upstreams that the platform says are leaving.
	DrainingUpstreams []model.UpstreamID
	// Failed is true when the list could not be read.
	Failed bool
}

// StoreStatus classifies the outcome of a call to the key-value service.
type StoreStatus uint8

// The outcomes of a store call.
const (
	StoreOK StoreStatus = iota + 1
	// StoreConflict means that the compare failed: nothing was written.
	StoreConflict
	// StoreUnknown means that no reply came: a write may have taken effect, or
	// may still.
	StoreUnknown
	// StoreRejected means that the service refused the call without running it.
	StoreRejected
	// StoreTruncated means that a watch's starting revision is no longer kept.
	StoreTruncated
)

// StoreItem is one key of the key-value service.
type StoreItem struct {
	Key   string
	Value []byte
	// ModRevision is the service's revision of the last change of the key.
	ModRevision uint64
	Deleted     bool
}

// StoreResult is the outcome of a store call, or of one waiting watch.
type StoreResult struct {
	Operation model.OperationID
	Status    StoreStatus
	Items     []StoreItem
	// StoreRevision is the service's revision at the reply.
	StoreRevision uint64
}

// Statement is an operator's text in the operators' language.
type Statement struct {
	Call     model.CallID
	Operator model.OperatorName
	Text     string
	// DryRun asks for the difference without a change.
	DryRun bool
	// Change is the identifier that the operator chose, or empty.
	Change model.ChangeID
}

// DumpRequest asks for the state dump.
type DumpRequest struct {
	Call model.CallID
}

// StopRequested starts the graceful stop; a second one ends it at once.
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
