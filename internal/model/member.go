package model

// MemberState is what a node believes of another node.
type MemberState string

// The states of a member.
const (
	// Serving members take requests.
	Serving MemberState = "serving"
	// Starting members are not ready for requests.
	Starting MemberState = "starting"
	// Leaving members finish what they have and take no new sessions.
	Leaving MemberState = "leaving"
	// Suspected members were not heard from for a while.
	Suspected MemberState = "suspected"
	// Failed members were not heard from for long, or are gone from the host
	// list.
	Failed MemberState = "failed"
)

// Member is a node as described by itself in its digest.
type Member struct {
	Host          HostID        `json:"host"`
	Incarnation   Incarnation   `json:"incarnation"`
	FailureDomain FailureDomain `json:"failure_domain"`
	// CallerAddress is where callers connect, PeerAddress where nodes connect.
	CallerAddress string      `json:"caller_address"`
	PeerAddress   string      `json:"peer_address"`
	State         MemberState `json:"state"`
	// Revision is the configuration in force on the member.
	Revision Revision `json:"revision"`
	// Weight is the host's share of callers and upstreams relative to other
	// hosts; zero means DefaultHostWeight.
	Weight int `json:"weight,omitempty"`
}

// DefaultHostWeight is the weight of a host that states none.
const DefaultHostWeight = 1

// HostEntry is one host in the platform's lagging host list.
type HostEntry struct {
	Host          HostID        `json:"host"`
	FailureDomain FailureDomain `json:"failure_domain"`
	PeerAddress   string        `json:"peer_address"`
	Leaving       bool          `json:"leaving"`
}

// LogEntry is an accepted configuration change, or a fence.
type LogEntry struct {
	Revision Revision `json:"revision"`
	// Change identifies the change. A fence that carries one refuses that change
	// for good.
	Change   ChangeID     `json:"change_id"`
	Operator OperatorName `json:"operator"`
	// Base is the revision that the operator based the change on; zero means
	// any.
	Base Revision `json:"base,omitempty"`
	// Text holds the statements in the operators' language; empty for a fence.
	Text string `json:"text,omitempty"`
	// Accepted is the writer's clock at the proposal.
	Accepted Instant `json:"accepted"`
}

// IsFence reports whether the entry only occupies its revision, so that a
// delayed write cannot take it.
func (e LogEntry) IsFence() bool { return e.Text == "" }

// Table is the result of a show statement.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}
