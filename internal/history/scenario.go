package history

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/statement"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// Sizes and durations of a scenario, in virtual time.
const (
	hostCount       = 4
	clientCount     = 4
	ordersPerClient = 5
	upstreamCount   = 3
	// service is the name of the only service; its upstreams run the orders.
	service = "print-room"
	// warmUp is the time for the nodes to discover each other and the upstreams.
	warmUp = 2 * time.Second
	// faultDuration is the length of the phase in which faults start and messages are
	// dropped, delayed or duplicated.
	faultDuration = 6 * time.Second
	// coolDown is the length of the phase after that, in which delayed messages and
	// orders still arrive.
	coolDown = 12 * time.Second
	// entryTTL is how long a client may cache an entry reply. It is short so that a
	// graceful shutdown completes within a scenario.
	entryTTL = 300 * time.Millisecond
	// orderDeadline is the service's deadline for one order.
	orderDeadline = 800 * time.Millisecond
)

// Scenario simulates a few nodes under faults that are derived from a seed.
type Scenario struct {
	world  *virtual.World
	random *rand.Rand
	plan   plan
	// Faults describes the node and upstream faults, for reports.
	Faults  []string
	history History
	// injectMessageFaults is true in the phase with message faults.
	injectMessageFaults bool
}

// Run runs the scenario of a seed and returns its history. It returns an error if the
// scenario cannot be configured: *ConfigurationError if the nodes do not accept the
// configuration.
func Run(seed uint64) (*Scenario, *History, error) {
	s := &Scenario{random: rand.New(rand.NewPCG(seed, 0x5e55))}
	s.plan = drawPlan(s.random)
	if err := s.build(seed); err != nil {
		return nil, nil, err
	}
	s.injectMessageFaults = true
	s.scheduleFaults()
	for n := range clientCount {
		s.startClient(n)
	}
	s.world.RunFor(faultDuration)
	s.injectMessageFaults = false
	s.world.RunFor(coolDown)
	s.collectRuns()
	return s, &s.history, nil
}

// build creates the simulated nodes and upstreams and applies the configuration.
func (s *Scenario) build(seed uint64) error {
	store := virtual.NewKeyValue(kv.DefaultLimits())
	options := virtual.Options{Seed: seed, Store: store, Deliver: s.deliver, Tune: s.tune}
	for n := range hostCount {
		options.Hosts = append(options.Hosts, virtual.HostSpec{
			Host:          model.HostID(fmt.Sprintf("host-%d", n+1)),
			FailureDomain: model.FailureDomain(fmt.Sprintf("domain-%d", n%3+1)),
		})
	}
	s.world = virtual.New(options)
	config, err := s.services().Configure(s.addUpstream)
	if err != nil {
		return fmt.Errorf("build scenario configuration: %w", err)
	}
	s.world.RunFor(time.Second)
	result := effect.StatementResult{Outcome: effect.ChangeUnknown}
	e := event.Statement{Text: statement.Print(config)}
	s.world.Statement(s.world.Hosts()[0], e, func(r effect.StatementResult) { result = r })
	s.world.RunFor(warmUp)
	if result.Outcome != effect.Accepted {
		return &ConfigurationError{Outcome: result.Outcome, Failure: result.Failure}
	}
	return nil
}

// ConfigurationError reports that the nodes did not accept a scenario's
// configuration.
type ConfigurationError struct {
	Outcome effect.StatementOutcome
	Failure *model.Failure
}

// Error implements error.
func (e *ConfigurationError) Error() string {
	return fmt.Sprintf("scenario configuration not accepted: %s: %v", e.Outcome, e.Failure)
}

// tune shortens the durations of a graceful shutdown, and sets short session lifetimes
// and low session limits if the scenario's plan contains them.
func (s *Scenario) tune(settings *reducer.Settings) {
	settings.Entry.TTL = entryTTL
	settings.StopGrace = 5 * time.Second
	settings.Session.DrainFor = time.Second
	if s.plan.shortSessions {
		settings.Session.AcceptFor = 2 * time.Second
		settings.Session.KeepFor = 4 * time.Second
	}
	if s.plan.lowSessionLimits {
		settings.Session.MaxSessions = 2
		settings.Session.MaxOrders = 2
		settings.Session.MaxRunning = 1
		settings.Session.MaxBytes = 1200
	}
}

// services returns the scenario's deployment, which has one service.
func (s *Scenario) services() deployment.Deployment {
	policy := model.DefaultPolicy()
	policy.HedgeBudget = 0
	policy.Deadline = orderDeadline
	policy.QueueLimit = s.plan.queueLimit
	return deployment.Deployment{
		User:           "aranguiz",
		FailureDomains: []model.FailureDomain{"domain-1", "domain-2", "domain-3"},
		Groups: []deployment.Group{{
			Name:     service,
			Services: 1,
			Shape: deployment.Shape{
				Upstreams: upstreamCount, Slots: 2, MaxConnections: 20,
				ConnectTime: time.Millisecond, ServiceTime: 10 * time.Millisecond,
			},
			Policy: policy,
		}},
	}
}

// addUpstream adds a simulated upstream and returns its address.
func (s *Scenario) addUpstream(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
	slow := s.plan.slowUpstreams
	address := fmt.Sprintf("10.0.0.%d:9000", len(s.world.Upstreams())+1)
	s.world.AddUpstream(virtual.Upstream{
		ID: id, Address: address, Slots: shape.Slots, MaxConnections: shape.MaxConnections, Holdings: holdings,
		ServiceTime: func(random *rand.Rand) time.Duration {
			if slow && random.IntN(4) == 0 {
				return time.Duration(random.IntN(1500)) * time.Millisecond
			}
			return time.Millisecond + time.Duration(random.IntN(20))*time.Millisecond
		},
	})
	return address, nil
}

// deliver decides at random how a message between nodes is delivered. One digest in
// ten is dropped without breaking the stream; digests have no other faults.
func (s *Scenario) deliver(_, _ model.HostID, m message.Message) virtual.Delivery {
	if !s.injectMessageFaults {
		return virtual.Delivery{}
	}
	if _, isDigest := m.(message.Digest); isDigest {
		return virtual.Delivery{Drop: s.random.IntN(10) == 0}
	}
	draw := s.random.IntN(1000)
	delivery := virtual.Delivery{}
	switch {
	case draw < s.plan.streamBreaksPerMille:
		delivery.BreakStream = true
	case draw < s.plan.streamBreaksPerMille+s.plan.droppedPerMille:
		delivery.Drop = true
	case draw < s.plan.streamBreaksPerMille+s.plan.droppedPerMille+s.plan.delayedPerMille:
		delivery.Delay = time.Duration(s.random.IntN(1500)) * time.Millisecond
		delivery.Unordered = s.random.IntN(2) == 0
	}
	if s.random.IntN(1000) < s.plan.duplicatedPerMille {
		delivery.Copies = 1
		delivery.CopyDelay = time.Duration(s.random.IntN(2000)) * time.Millisecond
	}
	return delivery
}

// collectRuns copies the upstreams' runs into the history.
func (s *Scenario) collectRuns() {
	for _, u := range s.world.Upstreams() {
		for _, r := range u.Runs {
			s.history.Runs = append(s.history.Runs, Execution{
				ID: r.RequestID, Body: string(r.Body), At: r.At, Number: r.Execution,
			})
		}
	}
}
