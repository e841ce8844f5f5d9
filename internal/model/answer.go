package model

import (
	"encoding/json"
	"fmt"
	"time"
)

// Code classifies a failure for callers and operators.
type Code string

// Failure codes of the caller API and the administration API.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnknownService   Code = "unknown_service"
	CodeUnknownRoute     Code = "unknown_route"
	CodeTooLarge         Code = "too_large"
	CodeRequestTimeout   Code = "request_timeout"
	CodeOverloaded       Code = "overloaded"
	CodeRateLimited      Code = "rate_limited"
	CodeDeadline         Code = "deadline"
	CodeUnavailable      Code = "unavailable"
	CodeLowCoverage      Code = "low_coverage"
	CodeIDRequired       Code = "request_id_required"
	CodeSessionUnknown   Code = "session_unknown"
	CodeOutcomeLost      Code = "outcome_lost"
	CodeQuarantined      Code = "quarantined"
	CodeStopping         Code = "stopping"
	CodeCancelled        Code = "cancelled"
	CodeUnauthenticated  Code = "unauthenticated"
	CodeForbidden        Code = "forbidden"
	CodeInvalid          Code = "invalid"
	CodeConflict         Code = "conflict"
	CodeStoreUnavailable Code = "store_unavailable"
	CodeInternal         Code = "internal"
)

// Failure is an error with a machine-readable code and a human-readable message.
type Failure struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
}

// Error implements error.
func (f *Failure) Error() string { return string(f.Code) + ": " + f.Message }

// Failf returns a failure with a formatted message.
func Failf(code Code, format string, arguments ...any) *Failure {
	return &Failure{Code: code, Message: fmt.Sprintf(format, arguments...)}
}

// Outcome states whether a request was executed.
type Outcome string

// Outcomes of a request. NotRun is returned only if it is certain that no upstream
// executed any part of the request: each attempt either was not written to an
// upstream, or was refused by an upstream that did not execute it, for example because
// it shed the work or no longer holds the requested version. Unknown means that the
// request may or may not have been executed.
const (
	Answered Outcome = "answered"
	NotRun   Outcome = "not_run"
	Unknown  Outcome = "unknown"
)

// Coverage states how much of a snapshot's key space a search covered, counted
// in shards of the snapshot's partition map.
type Coverage struct {
	Searched int `json:"searched"`
	Total    int `json:"total"`
	// Missing names the shards that were not searched as "service/shard".
	Missing []string `json:"missing"`
}

// Complete reports whether every shard was searched.
func (c Coverage) Complete() bool { return c.Searched == c.Total }

// Percent returns the share of the shards that were searched; it is 0 if Total is 0.
func (c Coverage) Percent() Percent {
	if c.Total == 0 {
		return 0
	}
	return Percent(100 * float64(c.Searched) / float64(c.Total))
}

// Row is one row of an upstream's reply, in the upstream's own encoding.
type Row = json.RawMessage

// Answer is the response to a caller's search or order.
type Answer struct {
	RequestID RequestID
	Outcome   Outcome
	Snapshot  Version
	// Coverage is nil for an order.
	Coverage *Coverage
	Results  []Row
	// OrderReply is the upstream's reply to an order.
	OrderReply json.RawMessage
	Failure    *Failure
	// RetryAfter is how long the caller should wait before it retries a request
	// whose outcome is NotRun.
	RetryAfter time.Duration
	// Attempts is the number of sub-requests that were sent for the request,
	// including hedges and retries; Planned is the number without them.
	Attempts int
	Planned  int
}
