package model

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Instant is a point in time as nanoseconds since the Unix epoch. The runtime
// derives it from the monotonic clock, so it never goes backwards within a process.
type Instant int64

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the duration from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }

// Before reports whether t is earlier than u.
func (t Instant) Before(u Instant) bool { return t < u }

// HostID names an entry host, a machine on which one node runs. A HostID together
// with an Incarnation identifies one run of a node.
type HostID string

// Incarnation numbers the runs of the node on one host; it increases with every
// restart.
type Incarnation uint64

// FailureDomain names a set of hosts that may fail together, such as a zone.
type FailureDomain string

// UserID names a user: the owner of services.
type UserID string

// ServiceName names a service.
type ServiceName string

// UpstreamID names an upstream as "service/upstream". A slash or percent sign in the service is
// escaped, so that the service can be read back.
type UpstreamID string

var (
	escapeService   = strings.NewReplacer("%", "%25", "/", "%2F")
	unescapeService = strings.NewReplacer("%25", "%", "%2F", "/")
)

// NewUpstreamID returns the identifier of an upstream of a service, for names with any bytes.
func NewUpstreamID(service ServiceName, upstream string) UpstreamID {
	return UpstreamID(escapeService.Replace(string(service)) + "/" + upstream)
}

// Service returns the service part of the identifier.
func (id UpstreamID) Service() ServiceName {
	service, _, _ := strings.Cut(string(id), "/")
	if strings.Contains(service, "%") {
		service = unescapeService.Replace(service)
	}
	return ServiceName(service)
}

// ShardID names a shard of one service within a partition map.
type ShardID string

// Version numbers a snapshot of the index. All services share one sequence of
// versions; zero means "no version".
type Version uint64

// Revision numbers an accepted configuration change; zero is the empty
// configuration.
type Revision uint64

// ChangeID identifies a proposed configuration change, so that a writer can
// recognise its own entry after a lost reply.
type ChangeID string

// OperatorName names an operator of the administration API.
type OperatorName string

// CallID identifies a caller's or operator's open HTTP request within one
// incarnation of a node. The runtime assigns it.
type CallID uint64

// OperationID identifies a call to the platform's key-value service within one
// incarnation of a node. The reducer assigns it.
type OperationID uint64

// ConnectionID identifies a connection to an upstream within one incarnation of
// a node. The reducer assigns it.
type ConnectionID uint64

// AttemptID identifies one sub-request to one upstream across all nodes.
type AttemptID struct {
	Host        HostID
	Incarnation Incarnation
	Number      uint64
}

// String returns the value of the Attempt-Id header.
func (id AttemptID) String() string {
	return string(id.Host) + "-" + strconv.FormatUint(uint64(id.Incarnation), 36) + "-" + strconv.FormatUint(id.Number, 36)
}

// IsZero reports whether the identifier is unset.
func (id AttemptID) IsZero() bool { return id == AttemptID{} }

// SessionID identifies a caller's session. Host and Incarnation name its home
// node, the only node that may start the session's orders.
type SessionID struct {
	Host        HostID
	Incarnation Incarnation
	Number      uint64
}

// String returns the textual form, "host-incarnation-number" with the numbers
// in base 36.
func (id SessionID) String() string { return AttemptID(id).String() }

// IsZero reports whether the identifier is unset.
func (id SessionID) IsZero() bool { return id == SessionID{} }

// RequestID identifies a caller's request. A resent request keeps its RequestID.
type RequestID struct {
	Session  SessionID
	Sequence uint64
}

// IsZero reports whether the identifier is unset.
func (id RequestID) IsZero() bool { return id == RequestID{} }

// String returns the value of the Request-Id header, "session.sequence", or the
// empty string if the identifier is unset.
func (id RequestID) String() string {
	if id.IsZero() {
		return ""
	}
	return id.Session.String() + "." + strconv.FormatUint(id.Sequence, 10)
}

// maxIDLength is the maximum length in bytes of the textual form of a session
// identifier.
const maxIDLength = 200

// IDError reports a malformed session or request identifier.
type IDError struct {
	Text   string
	Reason string
}

// Error implements error.
func (e *IDError) Error() string {
	return fmt.Sprintf("malformed identifier %.40q: %s", e.Text, e.Reason)
}

// ParseSessionID parses the textual form of a session identifier. Errors are of
// type *IDError.
func ParseSessionID(text string) (SessionID, error) {
	if len(text) > maxIDLength {
		return SessionID{}, &IDError{Text: text, Reason: "too long"}
	}
	rest, number, ok := cutLast(text, '-')
	if !ok {
		return SessionID{}, &IDError{Text: text, Reason: "no session number"}
	}
	host, incarnation, ok := cutLast(rest, '-')
	if !ok || host == "" {
		return SessionID{}, &IDError{Text: text, Reason: "no host or incarnation"}
	}
	n, err := strconv.ParseUint(number, 36, 64)
	if err != nil {
		return SessionID{}, &IDError{Text: text, Reason: "session number is not in base 36"}
	}
	i, err := strconv.ParseUint(incarnation, 36, 64)
	if err != nil {
		return SessionID{}, &IDError{Text: text, Reason: "incarnation is not in base 36"}
	}
	return SessionID{Host: HostID(host), Incarnation: Incarnation(i), Number: n}, nil
}

// ParseRequestID parses the value of a Request-Id header. Errors are of type
// *IDError.
func ParseRequestID(text string) (RequestID, error) {
	session, sequence, ok := cutLast(text, '.')
	if !ok {
		return RequestID{}, &IDError{Text: text, Reason: "no sequence number"}
	}
	id, err := ParseSessionID(session)
	if err != nil {
		return RequestID{}, err
	}
	n, err := strconv.ParseUint(sequence, 10, 64)
	if err != nil || n == 0 {
		return RequestID{}, &IDError{Text: text, Reason: "sequence number is not a positive decimal"}
	}
	return RequestID{Session: id, Sequence: n}, nil
}

// cutLast splits text around the last occurrence of separator. Without one it
// returns text, "" and false.
func cutLast(text string, separator byte) (before, after string, found bool) {
	i := strings.LastIndexByte(text, separator)
	if i < 0 {
		return text, "", false
	}
	return text[:i], text[i+1:], true
}
