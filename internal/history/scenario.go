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

// Sizes and times of a scenario.
const (
	hostCount     = 4
	clientCount   = 4
	ordersOfEach  = 5
	upstreamCount = 3
	// service runs the orders.
	service = "print-room"
	// warmUp is the time in which the nodes find each other and the upstreams.
	warmUp = 2 * time.Second
	// faultTime is how long faults begin and orders are sent.
	faultTime = 6 * time.Second
	// coolDown is the time in which delayed messages and orders still arrive.
	coolDown = 12 * time.Second
	// entryTTL is short, so that planned stops fit into a scenario.
	entryTTL = 300 * time.Millisecond
	// orderDeadline bounds one order.
	orderDeadline = 800 * time.Millisecond
)

// Scenario is one run of a few nodes under faults, drawn from a seed.
type Scenario struct {
	world  *virtual.World
	random *rand.Rand
	plan   plan
	// Faults names the faults that were drawn, for reports.
	Faults  []string
	history History
	// disturbed is true while messages may meet faults.
	disturbed bool
}

// Run plays the scenario of a seed and returns its history.
func Run(seed uint64) (*Scenario, *History, error) {
	s := &Scenario{random: rand.New(rand.NewPCG(seed, 0x5e55))}
	s.plan = drawPlan(s.random)
	if err := s.build(seed); err != nil {
		return nil, nil, err
	}
	s.disturbed = true
	s.scheduleFaults()
	for n := range clientCount {
		s.startClient(n)
	}
	s.world.RunFor(faultTime)
	s.disturbed = false
	s.world.RunFor(coolDown)
	s.collectRuns()
	return s, &s.history, nil
}

// build makes the world and applies its configuration.
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
	config, err := s.services().Configure(s.place)
	if err != nil {
		return fmt.Errorf("configure the scenario: %w", err)
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

// ConfigurationError reports that a scenario's configuration was not accepted.
type ConfigurationError struct {
	Outcome effect.StatementOutcome
	Failure *model.Failure
}

// Error implements error.
func (e *ConfigurationError) Error() string {
	return fmt.Sprintf("the scenario's configuration: %s: %v", e.Outcome, e.Failure)
}

// tune shortens the times of a planned stop, and makes limits narrow and sessions
// short-lived in some scenarios.
func (s *Scenario) tune(settings *reducer.Settings) {
	settings.Entry.TTL = entryTTL
	settings.StopGrace = 5 * time.Second
	settings.Session.DrainFor = time.Second
	if s.plan.shortSessions {
		settings.Session.AcceptFor = 2 * time.Second
		settings.Session.KeepFor = 4 * time.Second
	}
	if s.plan.narrowLimits {
		settings.Session.MaxSessions = 2
		settings.Session.MaxOrders = 2
		settings.Session.MaxRunning = 1
		settings.Session.MaxBytes = 1200
	}
}

// services describes the one service of the scenario.
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
				Upstreams: upstreamCount, Slots: 2, Connections: 20,
				ConnectTime: time.Millisecond, ServiceTime: 10 * time.Millisecond,
			},
			Policy: policy,
		}},
	}
}

// place adds an upstream to the world.
func (s *Scenario) place(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
	slow := s.plan.slowUpstreams
	address := fmt.Sprintf("10.0.0.%d:9000", len(s.world.Upstreams())+1)
	s.world.AddUpstream(virtual.Upstream{
		ID: id, Address: address, Slots: shape.Slots, Connections: shape.Connections, Holdings: holdings,
		ServiceTime: func(random *rand.Rand) time.Duration {
			if slow && random.IntN(4) == 0 {
				return time.Duration(random.IntN(1500)) * time.Millisecond
			}
			return time.Millisecond + time.Duration(random.IntN(20))*time.Millisecond
		},
	})
	return address, nil
}

// deliver draws the fate of a message between nodes.
func (s *Scenario) deliver(_, _ model.HostID, m message.Message) virtual.Delivery {
	if !s.disturbed {
		return virtual.Delivery{}
	}
	if _, digest := m.(message.Digest); digest {
		return virtual.Delivery{Silent: s.random.IntN(10) == 0}
	}
	draw := s.random.IntN(1000)
	fate := virtual.Delivery{}
	switch {
	case draw < s.plan.lost:
		fate.Lost = true
	case draw < s.plan.lost+s.plan.silent:
		fate.Silent = true
	case draw < s.plan.lost+s.plan.silent+s.plan.delayed:
		fate.Delay = time.Duration(s.random.IntN(1500)) * time.Millisecond
		fate.Crossed = s.random.IntN(2) == 0
	}
	if s.random.IntN(1000) < s.plan.duplicated {
		fate.Copies = 1
		fate.CopyDelay = time.Duration(s.random.IntN(2000)) * time.Millisecond
	}
	return fate
}

// collectRuns takes the runs from the upstreams.
func (s *Scenario) collectRuns() {
	for _, u := range s.world.Upstreams() {
		for _, r := range u.Runs {
			s.history.Runs = append(s.history.Runs, Execution{
				ID: r.RequestID, Body: string(r.Body), At: r.At, Number: r.Execution,
			})
		}
	}
}
