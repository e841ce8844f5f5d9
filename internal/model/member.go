package model

import (
	"cmp"
	"slices"
)

// MemberState is the state of a member as seen by one node.
type MemberState string

// States of a member.
const (
	// Serving members take requests.
	Serving MemberState = "serving"
	// Starting members are not ready for requests.
	Starting MemberState = "starting"
	// Leaving members finish their open requests and take no new sessions.
	Leaving MemberState = "leaving"
	// Suspected members were last seen longer ago than the suspicion timeout, or the
	// stream to them broke, or they have sent too few digests since a suspicion.
	Suspected MemberState = "suspected"
	// Failed members were last seen longer ago than the failure timeout.
	Failed MemberState = "failed"
)

// Member describes a node. Every node publishes its own description.
type Member struct {
	Host          HostID        `json:"host"`
	Incarnation   Incarnation   `json:"incarnation"`
	FailureDomain FailureDomain `json:"failure_domain"`
	// CallerAddress is the address for callers, PeerAddress the one for other nodes.
	CallerAddress string      `json:"caller_address"`
	PeerAddress   string      `json:"peer_address"`
	State         MemberState `json:"state"`
	// Revision is the revision of the configuration in force on the member.
	Revision Revision `json:"revision"`
	// Weight is the host's share of callers and upstreams relative to other
	// hosts; zero means DefaultHostWeight.
	Weight int `json:"weight,omitempty"`
	// Load is the host's reported load in percent of its capacity. It is coarse and
	// seconds old.
	Load int `json:"load,omitempty"`
}

// ContainsHost reports whether a host is among the members, which are ordered by host.
func ContainsHost(members []Member, host HostID) bool {
	_, found := slices.BinarySearchFunc(members, host, func(member Member, host HostID) int { return cmp.Compare(member.Host, host) })
	return found
}

// DefaultHostWeight is the weight of a host that sets none.
const DefaultHostWeight = 1

// HostEntry is one host of the platform's host list, which may be outdated.
type HostEntry struct {
	Host          HostID        `json:"host"`
	FailureDomain FailureDomain `json:"failure_domain"`
	PeerAddress   string        `json:"peer_address"`
	Leaving       bool          `json:"leaving"`
}

// LogEntry is an entry of the configuration log: an accepted change or a fence.
type LogEntry struct {
	Revision Revision `json:"revision"`
	// Change identifies the change. A fence with a Change permanently rejects that
	// change.
	Change   ChangeID     `json:"change_id"`
	Operator OperatorName `json:"operator"`
	// Base is the revision that the operator based the change on; zero means any
	// revision.
	Base Revision `json:"base,omitempty"`
	// Text holds the statements in the operators' language; it is empty for a fence.
	Text string `json:"text,omitempty"`
	// Accepted is the time of the proposal on the writer's clock.
	Accepted Instant `json:"accepted"`
}

// IsFence reports whether the entry contains no change and only occupies its
// revision, so that a delayed write cannot take that revision.
func (e LogEntry) IsFence() bool { return e.Text == "" }

// Table is the result of a show statement.
type Table struct {
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}
