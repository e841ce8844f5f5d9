// Package effect defines the outputs of the reducer: what the runtime is to do,
// as data.
package effect

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Effect is something for the runtime to carry out.
type Effect interface{ isEffect() }

// ReplyCaller ends a search or an order.
type ReplyCaller struct {
	Call   model.CallID
	Answer model.Answer
	// Service is the service or the first service of the request, for metrics.
	Service model.ServiceName
	// Elapsed is the time since the request's event.
	Elapsed time.Duration
}

// EntryAddress is one address that a caller may use.
type EntryAddress struct {
	Address       string
	Host          model.HostID
	FailureDomain model.FailureDomain
}

// ReplyEntry ends an entry question.
type ReplyEntry struct {
	Call      model.CallID
	Addresses []EntryAddress
	TTL       time.Duration
	Session   model.SessionID
	Failure   *model.Failure
}

// SendPeer sends a message to a peer. Delivery is not certain: PeerLost tells of
// a loss.
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
	// Hedge and Retry mark extra work, for metrics.
	Hedge bool
}

// CancelUpstream asks an upstream, on an idle connection, to stop an attempt
// that runs on another connection.
type CancelUpstream struct {
	Connection model.ConnectionID
	Attempt    model.AttemptID
}

// ReadUpstreamStatus asks for an upstream's status on an idle connection.
type ReadUpstreamStatus struct {
	Connection model.ConnectionID
}

// StoreVerb is the kind of a store call.
type StoreVerb uint8

// The kinds of store calls.
const (
	// StoreGet reads one key.
	StoreGet StoreVerb = iota + 1
	// StoreList reads the keys with a prefix, from After on, at most Limit.
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
	// After starts a list behind this key.
	After string
	Limit int
	// Timeout ends the call as unknown.
	Timeout time.Duration
}

// ReadHostList asks for the platform's host list.
type ReadHostList struct{}

// ReplyStatement ends an operator's statement.
type ReplyStatement struct {
	Call   model.CallID
	Result StatementResult
}

// StatementResult is what an operator gets for a text.
type StatementResult struct {
	// Outcome is "accepted", "not_accepted", "unknown", "shown" or "dry_run".
	Outcome  StatementOutcome
	Revision model.Revision
	Change   model.ChangeID
	Tables   []model.Table
	// Text holds a printed configuration or difference.
	Text    string
	Failure *model.Failure
	// Winner is the change that came first, when the failure is a conflict.
	Winner *Winner
}

// Winner names the change that won a conflict.
type Winner struct {
	Revision model.Revision     `json:"revision"`
	Operator model.OperatorName `json:"operator"`
	Change   model.ChangeID     `json:"change_id"`
}

// StatementOutcome tells what became of a statement.
type StatementOutcome string

// The outcomes of statements.
const (
	Accepted      StatementOutcome = "accepted"
	NotAccepted   StatementOutcome = "not_accepted"
	ChangeUnknown StatementOutcome = "unknown"
	Shown         StatementOutcome = "shown"
	DryRun        StatementOutcome = "dry_run"
)

// PublishOperators tells the administration API which operators are in force.
type PublishOperators struct {
	Operators []model.Operator
}

// ReplyDump returns the state dump as JSON.
type ReplyDump struct {
	Call model.CallID
	JSON []byte
}

// Severity is the level of a log line.
type Severity uint8

// The severities of log lines.
const (
	Info Severity = iota + 1
	Warning
	Error
)

// Log writes a log line.
type Log struct {
	Severity Severity
	// Component is the package that decided, such as "dispatch".
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

// Metric names a counter that the reducer's parts add to. The names are bounded
// and listed in docs/METRICS.md.
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
