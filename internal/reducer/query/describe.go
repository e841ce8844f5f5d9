package query

import (
	"cmp"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/replica"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// maxDescribed is the maximum number of entries in each list of a description.
const maxDescribed = 100

// Description is the coordinator's part of the state dump.
type Description struct {
	OpenRequests      int                  `json:"open_requests"`
	OpenAttempts      int                  `json:"open_attempts"`
	CancelledAttempts int                  `json:"cancelled_attempts"`
	LostPeers         []model.HostID       `json:"lost_peers,omitempty"`
	Services          []ServiceDescription `json:"services,omitempty"`
	// Omitted counts the services that are not listed.
	Omitted int `json:"omitted,omitempty"`
	// Oldest lists the open requests that started first, oldest first.
	Oldest []RequestDescription `json:"oldest,omitempty"`
}

// ServiceDescription describes the budgets and latencies of a service.
type ServiceDescription struct {
	Service      model.ServiceName `json:"service"`
	HedgeTokens  float64           `json:"hedge_tokens"`
	HedgesTaken  uint64            `json:"hedges_taken"`
	RetryTokens  float64           `json:"retry_tokens"`
	RetriesTaken uint64            `json:"retries_taken"`
	// Median and P95 are quantiles of the recent latencies of all shards; zero while
	// there are too few samples.
	Median time.Duration `json:"median"`
	P95    time.Duration `json:"p95"`
}

// RequestDescription describes one open request.
type RequestDescription struct {
	Number    uint64        `json:"number"`
	Service   string        `json:"service"`
	Order     bool          `json:"order"`
	Version   model.Version `json:"version,omitempty"`
	Age       time.Duration `json:"age"`
	TimeLeft  time.Duration `json:"time_left"`
	Shards    int           `json:"shards"`
	Unsettled int           `json:"unsettled"`
	Attempts  int           `json:"attempts"`
	Crashes   int           `json:"crashes,omitempty"`
	Restarted bool          `json:"restarted,omitempty"`
}

// Describe returns the coordinator's state, with each list bounded to maxDescribed
// entries.
func (s *State) Describe(ctx *step.Context) Description {
	d := Description{
		OpenRequests:      len(s.requests),
		OpenAttempts:      len(s.attempts),
		CancelledAttempts: len(s.cancelled.byNumber),
	}
	for host := range s.routes.lost {
		d.LostPeers = append(d.LostPeers, host)
	}
	slices.Sort(d.LostPeers)
	names := make([]model.ServiceName, 0, len(s.services))
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	d.Omitted = max(0, len(names)-maxDescribed)
	for _, name := range names[:min(len(names), maxDescribed)] {
		d.Services = append(d.Services, s.services[name].describe(name))
	}
	d.Oldest = s.describeOldest(ctx)
	return d
}

func (s *serviceStats) describe(name model.ServiceName) ServiceDescription {
	median, _ := s.allShards.Quantile(0.5)
	p95, _ := s.allShards.Quantile(0.95)
	return ServiceDescription{
		Service:      name,
		HedgeTokens:  s.hedges.Tokens(),
		HedgesTaken:  s.hedges.Taken(),
		RetryTokens:  s.retries.Tokens(),
		RetriesTaken: s.retries.Taken(),
		Median:       median,
		P95:          p95,
	}
}

// describeOldest returns the open requests that started first, oldest first.
func (s *State) describeOldest(ctx *step.Context) []RequestDescription {
	open := make([]*request, 0, len(s.requests))
	for _, r := range s.requests {
		open = append(open, r)
	}
	slices.SortFunc(open, func(a, b *request) int { return cmp.Compare(a.number, b.number) })
	var out []RequestDescription
	for _, r := range open[:min(len(open), maxDescribed)] {
		out = append(out, r.describe(ctx))
	}
	return out
}

func (r *request) describe(ctx *step.Context) RequestDescription {
	d := RequestDescription{
		Number:    r.number,
		Service:   string(r.services[0].config.Name),
		Order:     r.isOrder(),
		Age:       ctx.Now.Sub(r.startedAt),
		TimeLeft:  r.timeLeft(ctx.Now),
		Shards:    len(r.tasks),
		Unsettled: r.unsettled,
		Attempts:  len(r.attempts),
		Crashes:   r.crashes,
		Restarted: r.restarted,
	}
	if r.pin != nil {
		d.Version = r.pin.Version()
	}
	return d
}

// Explanation describes how the coordinator would run a search of one service now.
type Explanation struct {
	Service model.ServiceName `json:"service"`
	// Version is the snapshot version that would be pinned; zero means that none is
	// known.
	Version    model.Version      `json:"version"`
	Searchable int                `json:"searchable"`
	Shards     []ShardExplanation `json:"shards"`
	// Omitted counts the shards that are not listed.
	Omitted     int           `json:"omitted,omitempty"`
	Repeatable  bool          `json:"repeatable"`
	AnswerBy    time.Duration `json:"answer_by"`
	Deadline    time.Duration `json:"deadline"`
	HedgeTokens float64       `json:"hedge_tokens"`
	RetryTokens float64       `json:"retry_tokens"`
}

// ShardExplanation describes how one shard would be searched.
type ShardExplanation struct {
	Name string `json:"name"`
	// HedgeDelay is the time after which a hedge would be sent; zero means never.
	HedgeDelay time.Duration `json:"hedge_delay"`
	// HedgeSource states what the delay is computed from.
	HedgeSource hedgeSource          `json:"hedge_source"`
	Replicas    []ReplicaExplanation `json:"replicas"`
}

// ReplicaExplanation is the rating of one replica and the nodes that dispatch for
// it.
type ReplicaExplanation struct {
	replica.Rating
	Dispatchers []model.HostID `json:"dispatchers"`
}

// Explain describes how the coordinator would run a search of a service now. It
// fails with model.CodeUnknownService if there is no such service.
func (s *State) Explain(ctx *step.Context, name model.ServiceName) (Explanation, *model.Failure) {
	s.applyConfig(ctx)
	service := s.deps.Catalog.Service(ctx, name)
	if service == nil {
		return Explanation{}, model.Failf(model.CodeUnknownService, "no service %.100q", name)
	}
	policy := &service.Policy
	stats := s.statsOf(name)
	pin := s.deps.Catalog.Pin(ctx, []*model.Service{service}, s.settings.Preference)
	explanation := Explanation{
		Service:     name,
		Version:     pin.Version(),
		Searchable:  pin.SearchableShards(),
		Omitted:     max(0, pin.Len()-maxDescribed),
		Repeatable:  policy.Repeatable,
		AnswerBy:    policy.AnswerBy,
		Deadline:    policy.Deadline,
		HedgeTokens: stats.hedges.Tokens(),
		RetryTokens: stats.retries.Tokens(),
	}
	for i := range min(pin.Len(), maxDescribed) {
		target := pin.Target(i)
		shard := ShardExplanation{Name: target.Name}
		shard.HedgeDelay, shard.HedgeSource = stats.hedgeDelay(target.Shard, policy)
		for _, rating := range s.replicas.Ratings(target.Holders, replica.Criteria{Now: ctx.Now, Domain: ctx.Self.FailureDomain}) {
			shard.Replicas = append(shard.Replicas, ReplicaExplanation{Rating: rating, Dispatchers: s.dispatchers(ctx, rating.Upstream)})
		}
		explanation.Shards = append(explanation.Shards, shard)
	}
	return explanation, nil
}
