package model

import (
	"fmt"
	"time"
)

// Percent is a ratio in hundredths.
type Percent float64

// Of returns the share of total that the percentage stands for.
func (p Percent) Of(total float64) float64 { return total * float64(p) / 100 }

// Config is the operators' configuration at one revision. It is immutable once
// in force: a change makes a new value.
type Config struct {
	Revision  Revision   `json:"revision"`
	Users     []User     `json:"users,omitempty"`
	Services  []Service  `json:"services,omitempty"`
	Operators []Operator `json:"operators,omitempty"`
	Blocks    []Block    `json:"convictions,omitempty"`
	// Unblocks lists the latest pardons, which lift the nodes' own convictions.
	Unblocks []Unblock `json:"pardons,omitempty"`
	// LeavingHosts lists entry hosts that an operator takes out of service.
	LeavingHosts []HostID `json:"leaving_hosts,omitempty"`
}

// User owns services and has a share of each node.
type User struct {
	ID UserID `json:"id"`
	// Weight is the user's share under contention, relative to other users.
	Weight int `json:"weight"`
	// RequestsPerSecond limits the user's requests on one node; zero means
	// unlimited.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
	// MaxInFlight limits the user's open requests on one node; zero means
	// unlimited.
	MaxInFlight int `json:"in_flight,omitempty"`
}

// Operator may issue statements for one user's services, or for all.
type Operator struct {
	Name OperatorName `json:"name"`
	// User limits the operator to one user's services; empty means all users.
	User UserID `json:"user,omitempty"`
	// KeyHash is the hash of the operator's key; the key itself is never kept.
	KeyHash string `json:"key_hash,omitempty"`
}

// Block refuses a request content that crashes upstreams.
type Block struct {
	Service     ServiceName `json:"service"`
	Fingerprint Fingerprint `json:"fingerprint"`
	// Until is when the conviction lapses; zero means never.
	Until Instant `json:"until,omitempty"`
}

// Unblock lifts what the nodes hold against a request content on evidence from
// before its revision.
type Unblock struct {
	Service     ServiceName `json:"service"`
	Fingerprint Fingerprint `json:"fingerprint"`
	Revision    Revision    `json:"revision"`
}

// Fingerprint is a hash of a request's service and content.
type Fingerprint uint64

// String returns the form in the operators' language, 16 hexadecimal digits.
func (f Fingerprint) String() string { return fmt.Sprintf("%016x", uint64(f)) }

// Service is a set of upstreams with one policy.
type Service struct {
	Name      ServiceName `json:"name"`
	User      UserID      `json:"user"`
	Policy    Policy      `json:"policy"`
	Upstreams []Upstream  `json:"upstreams,omitempty"`
}

// Policy states how a service's requests may be answered, repeated or refused.
type Policy struct {
	// AnswerBy is when a search answers with what it has, provided that the
	// coverage reaches MinCoverage; zero means at the deadline.
	AnswerBy time.Duration `json:"answer_by"`
	// Deadline is the longest time that a request may take.
	Deadline time.Duration `json:"deadline"`
	// MinCoverage is the coverage below which a search fails.
	MinCoverage Percent `json:"least_coverage"`
	// Repeatable permits hedges and retries of the service's requests.
	Repeatable bool `json:"repeatable"`
	// HedgeBudget bounds hedges as a share of first attempts.
	HedgeBudget Percent `json:"hedge_budget"`
	// RetryBudget bounds retries as a share of first attempts.
	RetryBudget Percent `json:"retry_budget"`
	// NoCanary scatters a search of unknown content to all shards at once. Without
	// it, such a search waits for the reply of one canary, so that content which
	// crashes upstreams reaches few of them.
	NoCanary bool `json:"no_canary,omitempty"`
	// QueueLimit bounds the sub-requests that wait for a slot of one upstream;
	// zero means that none may wait.
	QueueLimit int `json:"queue_limit"`
	// QueueWait bounds the time a sub-request waits for a slot; zero means that
	// it must be sent at once.
	QueueWait time.Duration `json:"queue_wait"`
	// RequestsPerSecond limits the service's requests on one node; zero means
	// unlimited.
	RequestsPerSecond float64 `json:"requests_per_second,omitempty"`
}

// Upstream is one back end of a service.
type Upstream struct {
	ID            UpstreamID    `json:"id"`
	Address       string        `json:"address"`
	FailureDomain FailureDomain `json:"failure_domain"`
	// Shard labels the shard that the upstream serves; empty means the service
	// has a single shard.
	Shard ShardID `json:"shard,omitempty"`
	// Slots is how many requests the upstream runs at once.
	Slots int `json:"slots"`
	// MaxConnections is how many connections the upstream accepts from all nodes.
	MaxConnections int `json:"connections"`
	// Draining upstreams get no new work.
	Draining bool `json:"draining,omitempty"`
}

// Default policy values of a service that states none.
const (
	DefaultDeadline    = 1 * time.Second
	DefaultMinCoverage = Percent(100)
	DefaultHedgeBudget = Percent(5)
	DefaultRetryBudget = Percent(10)
	DefaultQueueLimit  = 64
	DefaultQueueWait   = 100 * time.Millisecond
	DefaultUserWeight  = 1
)

// DefaultPolicy returns the policy of a service that states nothing.
func DefaultPolicy() Policy {
	return Policy{
		Deadline:    DefaultDeadline,
		MinCoverage: DefaultMinCoverage,
		HedgeBudget: DefaultHedgeBudget,
		RetryBudget: DefaultRetryBudget,
		QueueLimit:  DefaultQueueLimit,
		QueueWait:   DefaultQueueWait,
	}
}

// WithoutKeys returns the configuration without the operators' key hashes, for
// dumps and logs.
func (c *Config) WithoutKeys() *Config {
	shown := *c
	shown.Operators = make([]Operator, len(c.Operators))
	for i, operator := range c.Operators {
		shown.Operators[i] = Operator{Name: operator.Name, User: operator.User}
	}
	return &shown
}

// Service returns the named service, or nil.
func (c *Config) Service(name ServiceName) *Service {
	for i := range c.Services {
		if c.Services[i].Name == name {
			return &c.Services[i]
		}
	}
	return nil
}

// User returns the named user, or nil.
func (c *Config) User(id UserID) *User {
	for i := range c.Users {
		if c.Users[i].ID == id {
			return &c.Users[i]
		}
	}
	return nil
}

// Upstream returns the named upstream, or nil.
func (c *Config) Upstream(id UpstreamID) *Upstream {
	service := c.Service(id.Service())
	if service == nil {
		return nil
	}
	return service.Upstream(id)
}

// Upstream returns the service's named upstream, or nil.
func (s *Service) Upstream(id UpstreamID) *Upstream {
	for i := range s.Upstreams {
		if s.Upstreams[i].ID == id {
			return &s.Upstreams[i]
		}
	}
	return nil
}
