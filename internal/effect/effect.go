// Package effect defines the outputs of the reducer: the actions that the runtime
// must carry out, represented as data.
package effect

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Effect is an action for the runtime to carry out.
type Effect interface{ isEffect() }

// ReplyCaller sends the answer to a search or an order.
type ReplyCaller struct {
	Call   model.CallID
	Answer model.Answer
	// Service is the service of the request, or the first of several, for metrics.
	Service model.ServiceName
	// Elapsed is the time since the event that carried the request.
	Elapsed time.Duration
}

// EntryAddress is one address that a caller may use.
type EntryAddress struct {
	Address       string
	Host          model.HostID
	FailureDomain model.FailureDomain
}

// ReplyEntry sends the reply to an entry request: the addresses that a caller may
// use, and for how long it may cache them.
type ReplyEntry struct {
	Call      model.CallID
	Addresses []EntryAddress
	TTL       time.Duration
	Session   model.SessionID
	Failure   *model.Failure
}

// SendPeer sends a message to a peer. Delivery is not guaranteed; the event PeerLost
// reports that messages may have been lost.
type SendPeer struct {
	To      model.HostID
	Address string
	Message message.Message
}

// OpenConnection opens a connection to an upstream.
type OpenConnection struct {
	Connection model.ConnectionID
	Upstream   model.UpstreamID
	Address    string
}

// CloseConnection closes a connection to an upstream.
type CloseConnection struct {
	Connection model.ConnectionID
}

// SendUpstream writes a sub-request on an idle connection.
type SendUpstream struct {
	Connection model.ConnectionID
	Attempt    model.AttemptID
	Upstream   model.UpstreamID
	Kind       message.Kind
	RequestID  model.RequestID
	Version    model.Version
	Shards     []model.ShardID
	Body       []byte
	TimeLeft   time.Duration
	// Hedge marks a hedged sub-request, for metrics.
	Hedge bool
}

// CancelUpstream asks an upstream, on an idle connection, to stop an attempt
// that runs on another connection.
type CancelUpstream struct {
	Connection model.ConnectionID
	Attempt    model.AttemptID
}

// ReadUpstreamStatus requests an upstream's status on an idle connection.
type ReadUpstreamStatus struct {
	Connection model.ConnectionID
}

// StoreVerb is the operation of a store call.
type StoreVerb uint8

// Operations of store calls.
const (
	// StoreGet reads one key.
	StoreGet StoreVerb = iota + 1
	// StoreList reads up to Limit keys with a prefix, starting after the key After.
	StoreList
	// StoreCreate writes a key only if it is absent.
	StoreCreate
	// StoreSwap writes a key only if its ModRevision is Expect.
	StoreSwap
	// StoreDelete removes a key only if its ModRevision is Expect.
	StoreDelete
	// StoreWatch waits for a change under a prefix after FromRevision.
	StoreWatch
)

// CallStore calls the key-value service; a StoreResult follows.
type CallStore struct {
	Operation    model.OperationID
	Verb         StoreVerb
	Key          string
	Value        []byte
	Expect       uint64
	FromRevision uint64
	// After is the key after which a list starts.
	After string
	Limit int
	// Timeout is the time after which the call ends with the status StoreUnknown.
	Timeout time.Duration
}

// ReadHostList requests the platform's host list.
type ReadHostList struct{}

// ReplyStatement sends the result of an operator's statement.
type ReplyStatement struct {
	Call   model.CallID
	Result StatementResult
}

// StatementResult is the result of the statements that an operator submitted.
type StatementResult struct {
	// Outcome is "accepted", "not_accepted", "unknown", "shown" or "dry_run".
	Outcome  StatementOutcome
	Revision model.Revision
	Change   model.ChangeID
	Tables   []model.Table
	// Text holds a formatted configuration or configuration difference.
	Text    string
	Failure *model.Failure
	// Winner is the change that was accepted first, if the failure is a conflict.
	Winner *Winner
}

// Winner identifies the change that was accepted when two changes conflicted.
type Winner struct {
	Revision model.Revision     `json:"revision"`
	Operator model.OperatorName `json:"operator"`
	Change   model.ChangeID     `json:"change_id"`
}

// StatementOutcome classifies the result of a statement.
type StatementOutcome string

// Outcomes of statements.
const (
	Accepted      StatementOutcome = "accepted"
	NotAccepted   StatementOutcome = "not_accepted"
	ChangeUnknown StatementOutcome = "unknown"
	Shown         StatementOutcome = "shown"
	DryRun        StatementOutcome = "dry_run"
)

// PublishOperators passes the operators in force to the administration API.
type PublishOperators struct {
	Operators []model.Operator
}

// ReplyDump sends the state dump as JSON.
type ReplyDump struct {
	Call model.CallID
	JSON []byte
}

// Severity is the level of a log line.
type Severity uint8

// Severities of log lines.
const (
	Info Severity = iota + 1
	Warning
	Error
)

// Log writes a log line.
type Log struct {
	Severity Severity
	// Component is the part of the reducer that emits the line, such as "dispatch".
	Component string
	Message   string
	Fields    []Field
}

// Field is one field of a log line.
type Field struct {
	Name  string
	Value string
}

// Count adds to a counter metric.
type Count struct {
	Metric Metric
	// Label is the value of the metric's single label, or empty.
	Label string
	Delta float64
}

// Metric names a counter that the reducer increments. The set of names is fixed and
// listed in docs/METRICS.md.
type Metric string

// Exit ends the process.
type Exit struct {
	// OpenRequests is the number of requests that were still open.
	OpenRequests int
}

func (ReplyCaller) isEffect()        {}
func (ReplyEntry) isEffect()         {}
func (SendPeer) isEffect()           {}
func (OpenConnection) isEffect()     {}
func (CloseConnection) isEffect()    {}
func (SendUpstream) isEffect()       {}
func (CancelUpstream) isEffect()     {}
func (ReadUpstreamStatus) isEffect() {}
func (CallStore) isEffect()          {}
func (ReadHostList) isEffect()       {}
func (ReplyStatement) isEffect()     {}
func (ReplyDump) isEffect()          {}
func (PublishOperators) isEffect()   {}
func (Log) isEffect()                {}
func (Count) isEffect()              {}
func (Exit) isEffect()               {}
