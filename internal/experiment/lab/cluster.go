// Package lab sets up simulated clusters for the experiments and generates load on
// them: a few nodes in virtual time with the services of one user, and callers that
// send searches in an open loop. The seed determines a run completely.
package lab

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

const (
	// failureDomainCount is the number of failure domains over which hosts and
	// upstreams are spread.
	failureDomainCount = 3
	// settleTime is the time before and after the configuration change in which a
	// new cluster runs without load, so that nodes start to serve, connections are
	// opened and reports reach the other nodes.
	settleTime = 5 * time.Second
	// configTimeout limits the wait until the configuration is accepted.
	configTimeout = 20 * time.Second
	// connectTime is the time that an upstream needs to open a connection.
	connectTime = 6 * time.Millisecond
)

// Spec describes a cluster whose services all have the same size and policy.
type Spec struct {
	Seed     uint64
	Hosts    int
	Services int
	// Replicas is the number of upstreams of each service; Slots and MaxConnections
	// are the limits of each upstream.
	Replicas       int
	Slots          int
	MaxConnections int
	// Policy holds the options of the services in the statement language.
	Policy string
	// Tune adjusts the settings of a node before it starts; nil keeps the
	// defaults.
	Tune func(*reducer.Settings)
	// Deliver decides how a message between nodes is delivered; nil delivers
	// every message normally.
	Deliver func(from, to model.HostID, m message.Message) virtual.Delivery
	// ServiceTime draws the execution time of one attempt; nil means 1 ms.
	ServiceTime func(*rand.Rand) time.Duration
}

// Cluster is a simulated cluster whose configuration is in force.
type Cluster struct {
	*virtual.World
	// Counts holds the sums of the nodes' counter metrics.
	Counts map[effect.Metric]int
	spec   Spec
}

// StartError reports that a cluster did not accept its configuration.
type StartError struct {
	Outcome effect.StatementOutcome
	Failure *model.Failure
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("the configuration was not accepted (%s): %v", e.Outcome, e.Failure)
}

// Start returns a cluster that is ready for load. It returns *StartError if the
// configuration is not accepted.
func Start(spec Spec) (*Cluster, error) {
	options := virtual.Options{
		Seed:        spec.Seed,
		Store:       virtual.NewKeyValue(kv.DefaultLimits()),
		ConnectTime: connectTime,
		Tune:        spec.Tune,
		Deliver:     spec.Deliver,
	}
	for i := range spec.Hosts {
		options.Hosts = append(options.Hosts, virtual.HostSpec{
			Host:          model.HostID(fmt.Sprintf("host-%d", i+1)),
			FailureDomain: failureDomain(i),
		})
	}
	c := &Cluster{Counts: make(map[effect.Metric]int), spec: spec}
	options.Observe = c.countMetrics
	c.World = virtual.New(options)
	for service := range spec.Services {
		for i := range spec.Replicas {
			c.addUpstream(service, i)
		}
	}
	if err := c.configure(); err != nil {
		return nil, err
	}
	c.RunFor(settleTime)
	return c, nil
}

// countMetrics adds the counter increments among the effects of an event.
func (c *Cluster) countMetrics(_ model.HostID, _ event.Envelope, effects []effect.Effect) {
	for _, e := range effects {
		if count, ok := e.(effect.Count); ok {
			c.Counts[count.Metric] += int(count.Delta)
		}
	}
}

// failureDomain returns the failure domain of the i-th host or replica.
func failureDomain(i int) model.FailureDomain {
	return model.FailureDomain(fmt.Sprintf("domain-%d", i%failureDomainCount+1))
}

// Service returns the name of the i-th service, counted from zero.
func Service(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("counter-%d", i+1)) }

// UpstreamID returns the identifier of the i-th replica of a service, both counted
// from zero.
func UpstreamID(service, i int) model.UpstreamID {
	return model.NewUpstreamID(Service(service), fmt.Sprintf("u%d", i+1))
}

// FullHolding returns a holding of the whole key space as a single shard.
func FullHolding(version model.Version) model.Holding {
	const shard model.ShardID = "s1"
	return model.Holding{
		Version:    version,
		Shards:     []model.Shard{{ID: shard, Low: 0, High: model.KeySpace}},
		HeldShards: []model.ShardID{shard},
	}
}

// upstreamAddress returns the address of the i-th replica of a service.
func upstreamAddress(service, i int) string { return fmt.Sprintf("10.0.%d.%d:9000", service, i+1) }

// addUpstream adds a replica that holds version 1 of the whole key space.
func (c *Cluster) addUpstream(service, i int) {
	c.AddUpstream(virtual.Upstream{
		ID:             UpstreamID(service, i),
		Address:        upstreamAddress(service, i),
		Slots:          c.spec.Slots,
		MaxConnections: c.spec.MaxConnections,
		Holdings:       []model.Holding{FullHolding(1)},
		ServiceTime:    c.spec.ServiceTime,
	})
}

// configure proposes a configuration with all services and waits until it is
// accepted.
func (c *Cluster) configure() error {
	var text strings.Builder
	text.WriteString("create user lab\n")
	for service := range c.spec.Services {
		fmt.Fprintf(&text, "create service %s for lab %s\n", Service(service), c.spec.Policy)
		for i := range c.spec.Replicas {
			fmt.Fprintf(&text, "  upstream u%d at %s in %s slots %d connections %d\n",
				i+1, upstreamAddress(service, i), failureDomain(i), c.spec.Slots, c.spec.MaxConnections)
		}
	}
	return c.propose(text.String())
}

// Runs returns the number of attempts that have started to run on the upstreams.
func (c *Cluster) Runs() int {
	runs := 0
	for _, u := range c.Upstreams() {
		runs += len(u.Runs)
	}
	return runs
}
