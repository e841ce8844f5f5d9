package model

import (
	"net/http"
	"time"
)

// RouteTable is the operators' routing configuration at one version. It is
// immutable once in force.
type RouteTable struct {
	Version Revision `json:"version"`
	Routes  []Route  `json:"routes"`
	// MaxConnections holds how many connections an upstream of a service accepts
	// from all nodes together.
	MaxConnections map[ServiceName]int `json:"connections"`
	Limits         RequestLimits       `json:"limits"`
}

// RequestLimits bound what a caller may send.
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
	// Service answers the route's requests alone.
	Service ServiceName `json:"service,omitempty"`
	// Split divides the requests among services by weight.
	Split []WeightedService `json:"split,omitempty"`
	// Gather lists the services that are the shards of one index: a request goes
	// to one upstream of each.
	Gather []ServiceName `json:"gather,omitempty"`
	// TopRecords is how many of the greatest records a gathered answer holds.
	TopRecords int `json:"top_records,omitempty"`
	// MinCoverage is the share of the shards below which a gathered answer is a
	// failure.
	MinCoverage Percent `json:"least_coverage,omitempty"`
	// Repeatable permits hedges and retries of requests that may have run.
	Repeatable bool `json:"repeatable"`
	// MaxAttempts bounds the upstreams of one service that may run one request.
	MaxAttempts int `json:"max_attempts"`
	// Timeout is the longest time that a request may take.
	Timeout time.Duration `json:"timeout_nanos"`
	// TargetLatency is the time within which an answer is worth most.
	TargetLatency time.Duration `json:"target_latency_nanos"`
	// Rank orders the routes by urgency; 0 is the most urgent.
	Rank int `json:"rank"`
}

// WeightedService is one part of a split route.
type WeightedService struct {
	Service ServiceName `json:"service"`
	Weight  float64     `json:"weight"`
}

// Services returns the services that the route may use.
func (r *Route) Services() []ServiceName {
	switch {
	case len(r.Gather) > 0:
		return r.Gather
	case len(r.Split) > 0:
		names := make([]ServiceName, len(r.Split))
		for i, part := range r.Split {
			names[i] = part.Service
		}
		return names
	default:
		return []ServiceName{r.Service}
	}
}

// Registration is an upstream as it last registered itself.
type Registration struct {
	Upstream Upstream `json:"upstream"`
	// Instance is the name by which the upstream checks that a request is meant
	// for it and not for another process at the same address.
	Instance string `json:"instance"`
	// Incarnation tells the starts of an upstream with one instance name apart.
	Incarnation uint64 `json:"life"`
	// Warmup is how much longer the upstream stays slow after its start, at the
	// time of the registration.
	Warmup time.Duration `json:"warmup_nanos"`
}

// ForwardRequest is a caller's request as it is passed on to upstreams.
type ForwardRequest struct {
	// ID is the caller's identifier of this attempt; upstreams get it unchanged.
	ID     string
	Method string
	// Host is the host that routes the request, and Authority the Host header as the
	// caller wrote it.
	Host      string
	Authority string
	// Path is the path without the query, and URI both as the caller wrote them.
	Path string
	URI  string
	// Header holds the end-to-end headers.
	Header http.Header
	Body   []byte
	// Timeout is how long the caller waits; zero means that it did not say.
	Timeout time.Duration
}

// ForwardedReply is an upstream's whole reply, which is passed on unchanged.
type ForwardedReply struct {
	Status    int
	Header    http.Header
	Body      []byte
	Signature string
}

// ForwardAnswer is what a caller of a routed request gets: an upstream's reply,
// a gathered answer, or a failure of the node's own.
type ForwardAnswer struct {
	Outcome Outcome
	// Reply is the reply of a single upstream, or nil.
	Reply *ForwardedReply
	// Gathered is the merged answer of several shards, or nil.
	Gathered *GatheredAnswer
	Failure  *Failure
	// RetryAfter is how long the caller should wait after NotRun.
	RetryAfter time.Duration
}

// GatheredAnswer holds the greatest records of the shards that replied.
type GatheredAnswer struct {
	// Signatures are those of the replies that are included, one a shard.
	Signatures []string
	// Missing is the number of shards that are left out.
	Missing int
	// Records are the greatest records, greatest first.
	Records []byte
}

// ReportedLoad is what an upstream says of its own load.
type ReportedLoad struct {
	Running int `json:"running"`
	Waiting int `json:"waiting"`
	Slots   int `json:"slots"`
}

// Observation sums up what nodes saw of one upstream in about a second.
type Observation struct {
	Upstream UpstreamID `json:"upstream"`
	// Answered counts the successes, and Latency is the sum of their times.
	Answered     int           `json:"answered"`
	TotalLatency time.Duration `json:"latency_nanos"`
	// Failed counts the attempts that failed, were refused, or hung.
	Failed int `json:"failed"`
}

// Add adds what another node saw.
func (o *Observation) Add(other Observation) {
	o.Answered += other.Answered
	o.TotalLatency += other.TotalLatency
	o.Failed += other.Failed
}

// Samples returns the number of attempts.
func (o *Observation) Samples() int { return o.Answered + o.Failed }
