package model

import (
	"encoding/json"
	"fmt"
	"time"
)

// Code classifies a failure for callers and operators.
type Code string

// The failure codes of the callers' and the administration API.
const (
	CodeBadRequest       Code = "bad_request"
	CodeUnknownService   Code = "unknown_service"
	CodeUnknownRoute     Code = "unknown_route"
	CodeTooLarge         Code = "too_large"
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

// Failure is a typed failure with a code for programs and a message for people.
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

// Outcome tells a caller what became of its request.
type Outcome string

// The three outcomes. NotRun is said only while nothing was written to an
// upstream.
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

// Percent returns the covered share; an empty total counts as nothing covered.
func (c Coverage) Percent() Percent {
	if c.Total == 0 {
		return 0
	}
	return Percent(100 * float64(c.Searched) / float64(c.Total))
}

// Row is one row of a reply, kept as the upstream wrote it.
type Row = json.RawMessage

// Answer is what a caller gets.
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
	// RetryAfter is how long the caller should wait after NotRun.
	RetryAfter time.Duration
	// Attempts is the number of sub-requests that were sent for the request,
	// hedges and retries included; Planned is the number without them.
	Attempts int
	Planned  int
}
