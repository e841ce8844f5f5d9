package upstream

import (
	"encoding/json"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Paths of an upstream's API.
const (
	SearchPath   = "/v1/search"
	OrderPath    = "/v1/order"
	StatusPath   = "/v1/status"
	AttemptsPath = "/v1/attempts/"
)

// HTTP headers of an upstream's API.
const (
	// AttemptHeader carries the attempt's identifier; the upstream echoes it.
	AttemptHeader = "Attempt-Id"
	// RequestHeader carries the caller's request identifier.
	RequestHeader = "Request-Id"
	// TimeoutHeader carries the time left for the request, in milliseconds.
	TimeoutHeader = "Request-Timeout-Ms"
	// DrainingHeader is "true" if the upstream is draining.
	DrainingHeader = "Draining"
	// NotRunHeader is "true" on a refusal if the work did not run.
	NotRunHeader = "Not-Run"
)

// StatusCancelled is the HTTP status of work that was stopped on request.
const StatusCancelled = 499

// SearchRequest is the body of a search.
type SearchRequest struct {
	Version model.Version   `json:"version"`
	Shards  []model.ShardID `json:"shards"`
	Query   json.RawMessage `json:"query"`
}

// SearchReply is the body of a reply to a search. Rows has one row for each shard, in
// the order of Shards.
type SearchReply struct {
	Version model.Version   `json:"version"`
	Shards  []model.ShardID `json:"shards"`
	Rows    []model.Row     `json:"rows"`
}

// StatusReply is the body of a reply to a status read.
type StatusReply struct {
	Holdings []model.Holding `json:"holdings"`
	Draining bool            `json:"draining"`
	InFlight int             `json:"in_flight"`
}
