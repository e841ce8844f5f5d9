package model

import (
	"net/http"
	"time"
)

// RouteTable is the operators' routing configuration at one version. It is
// immutable once it is in force.
type RouteTable struct {
	Version Revision `json:"version"`
	Routes  []Route  `json:"routes"`
	// MaxConnections holds, for each service, the number of connections that one of
	// its upstreams accepts from all nodes together.
	MaxConnections map[ServiceName]int `json:"connections"`
	Limits         RequestLimits       `json:"limits"`
}

// RequestLimits are the limits on callers' requests and connections.
type RequestLimits struct {
	HeaderBytes int `json:"header_bytes"`
	BodyBytes   int `json:"body_bytes"`
	// HeaderTimeout is how long a caller may take to send its headers, and
	// IdleTimeout how long a connection may stay idle between two requests.
	HeaderTimeout time.Duration `json:"header_timeout_nanos"`
	IdleTimeout   time.Duration `json:"idle_timeout_nanos"`
}

// Route sends the requests for a host and path prefix to services. Exactly one
// of Service, Split and Gather is set.
type Route struct {
	Name   string `json:"name"`
	Host   string `json:"host"`
	Prefix string `json:"prefix"`
	// Service handles all requests of the route.
	Service ServiceName `json:"service,omitempty"`
	// Split distributes the requests among services by weight.
	Split []WeightedService `json:"split,omitempty"`
	// Gather lists the services that are the shards of one index. A request is
	// sent to one upstream of each, and the replies are merged.
	Gather []ServiceName `json:"gather,omitempty"`
	// TopRecords limits a gathered answer to this number of records, the greatest
	// ones.
	TopRecords int `json:"top_records,omitempty"`
	// MinCoverage is the share of the shards that must reply; a request with a
	// lower coverage fails.
	MinCoverage Percent `json:"least_coverage,omitempty"`
	// Repeatable permits hedges and retries of requests that may have run.
	Repeatable bool `json:"repeatable"`
	// MaxAttempts limits the number of upstreams of one service that may run one
	// request.
	MaxAttempts int `json:"max_attempts"`
	// Timeout is the longest time that a request may take.
	Timeout time.Duration `json:"timeout_nanos"`
	// TargetLatency is the time within which an answer has its full value.
	TargetLatency time.Duration `json:"target_latency_nanos"`
	// Rank is the priority of the route; 0 is the highest.
	Rank int `json:"rank"`
}

// WeightedService is one target of a split route.
type WeightedService struct {
	Service ServiceName `json:"service"`
	Weight  float64     `json:"weight"`
}

// Services returns the services that the route may send requests to.
func (r *Route) Services() []ServiceName {
	switch {
	case len(r.Gather) > 0:
		return r.Gather
	case len(r.Split) > 0:
		names := make([]ServiceName, len(r.Split))
		for i, target := range r.Split {
			names[i] = target.Service
		}
		return names
	default:
		return []ServiceName{r.Service}
	}
}

// Registration is an upstream's most recent entry in the registry.
type Registration struct {
	Upstream Upstream `json:"upstream"`
	// Instance is the name of the upstream's process. The upstream uses it to check
	// that a request is meant for it and not for another process at the same address.
	Instance string `json:"instance"`
	// Incarnation distinguishes the runs of an upstream that keeps its instance name.
	Incarnation uint64 `json:"life"`
	// Warmup is the remaining warm-up time at the time of the registration; until
	// then the upstream is slow.
	Warmup time.Duration `json:"warmup_nanos"`
	// Sequence counts the entries of one incarnation. Writes to the registry may be
	// delayed, so an entry may appear there after a later one.
	Sequence uint64 `json:"sequence,omitempty"`
}

// Notice is what an upstream states about itself in a reply.
type Notice struct {
	// Leaving is set if the upstream is leaving: it still replies, but must get no new
	// requests.
	Leaving bool
	// RateLimited is set if the upstream limits the requests that it takes from all nodes
	// together, and RateLimit is that limit in requests per second.
	RateLimited bool
	RateLimit   float64
	// RetryAfter is set in the refusal of a request: the upstream wants no requests from
	// this node for so long.
	RetryAfter time.Duration
}

// ForwardRequest is a caller's request as it is forwarded to upstreams.
type ForwardRequest struct {
	// ID is the caller's identifier of this attempt; it is forwarded unchanged.
	ID     string
	Method string
	// Host is the host by which the request is routed, and Authority the Host header
	// as the caller sent it.
	Host      string
	Authority string
	// Path is the path without the query. URI is the path with the query, as the
	// caller sent it.
	Path string
	URI  string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits; zero means that the caller set none.
	Timeout time.Duration
	// RoundTrip is the round-trip time of the caller's connection; zero if unknown.
	RoundTrip time.Duration
}

// Size returns the number of bytes of the request's texts, headers and body.
func (r *ForwardRequest) Size() int {
	size := len(r.ID) + len(r.Method) + len(r.Authority) + len(r.URI) + len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// ForwardedReply is an upstream's complete reply, which is returned to the caller
// unchanged.
type ForwardedReply struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
}

// ForwardAnswer is the response to a routed request: an upstream's reply, a
// gathered answer, or a failure that the node itself reports.
type ForwardAnswer struct {
	Outcome Outcome
	// Reply is the reply of a single upstream, or nil.
	Reply *ForwardedReply
	// Gathered is the merged answer of several shards, or nil.
	Gathered *GatheredAnswer
	Failure  *Failure
	// RetryAfter is how long the caller should wait before it retries a request
	// whose outcome is NotRun.
	RetryAfter time.Duration
}

// GatheredAnswer is the merged answer of the shards that replied.
type GatheredAnswer struct {
	// Signatures are the signatures of the included replies, one per shard.
	Signatures []string
	// Missing is the number of shards whose replies are not included.
	Missing int
	// Records holds the greatest records of the included replies, in descending order.
	Records []byte
}

// ReportedLoad is the load that an upstream reports.
type ReportedLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Observation aggregates the results that nodes got from one upstream during about
// one second.
type Observation struct {
	Upstream UpstreamID `json:"upstream"`
	// Answered is the number of successful attempts, and TotalLatency the sum of
	// their latencies.
	Answered     int           `json:"answered"`
	TotalLatency time.Duration `json:"latency_nanos"`
	// Failed is the number of attempts that failed, were refused, or hung.
	Failed int `json:"failed"`
}

// Add adds the counts and latencies of another observation of the same upstream.
func (o *Observation) Add(other Observation) {
	o.Answered += other.Answered
	o.TotalLatency += other.TotalLatency
	o.Failed += other.Failed
}

// Samples returns the number of attempts that were observed.
func (o *Observation) Samples() int { return o.Answered + o.Failed }
