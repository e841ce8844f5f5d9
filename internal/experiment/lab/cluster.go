// Package lab sets up the worlds of the experiments and drives load at them: a
// few nodes under virtual time with the services of one user, and callers that
// search in an open loop. All of it is determined by the seed.
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
	// failureDomains is how many failure domains hosts and upstreams are spread
	// over.
	failureDomains = 3
	// settleTime is how long a new cluster is left alone before the load: nodes
	// start to serve, connections open, reports spread.
	settleTime = 5 * time.Second
	// configTime bounds the wait for the configuration's acceptance.
	configTime = 20 * time.Second
	// connectTime is what an upstream needs for a new connection.
	connectTime = 6 * time.Millisecond
)

// Spec describes a cluster.
type Spec struct {
	Seed     uint64
	Hosts    int
	Services int
	// Replicas, Slots and Connections are those of each service's upstreams.
	Replicas    int
	Slots       int
	Connections int
	// Policy holds the services' options in the operators' language.
	Policy string
	// Tune changes a node's settings; nil keeps them.
	Tune func(*reducer.Settings)
	// Deliver decides what happens to a message between nodes; nil delivers all.
	Deliver func(from, to model.HostID, m message.Message) virtual.Delivery
	// ServiceTime draws the time of an attempt.
	ServiceTime func(*rand.Rand) time.Duration
}

// Cluster is a running world.
type Cluster struct {
	*virtual.World
	// Counts sums the nodes' counters.
	Counts map[effect.Metric]int
	spec   Spec
}

// StartError reports that a cluster did not take its configuration.
type StartError struct {
	Outcome effect.StatementOutcome
	Failure *model.Failure
}

// Error implements error.
func (e *StartError) Error() string {
	return fmt.Sprintf("the configuration was not accepted (%s): %v", e.Outcome, e.Failure)
}

// Start returns a cluster that is ready for load. It returns *StartError.
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
			FailureDomain: domain(i),
		})
	}
	c := &Cluster{Counts: make(map[effect.Metric]int), spec: spec}
	options.Observe = c.count
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

// count adds a step's counters.
func (c *Cluster) count(_ model.HostID, _ event.Envelope, effects []effect.Effect) {
	for _, e := range effects {
		if count, ok := e.(effect.Count); ok {
			c.Counts[count.Metric] += int(count.Delta)
		}
	}
}

// domain returns the failure domain of the i-th host or replica.
func domain(i int) model.FailureDomain {
	return model.FailureDomain(fmt.Sprintf("domain-%d", i%failureDomains+1))
}

// Service returns the name of a service.
func Service(i int) model.ServiceName { return model.ServiceName(fmt.Sprintf("counter-%d", i+1)) }

// UpstreamID returns the name of a service's replica.
func UpstreamID(service, i int) model.UpstreamID {
	return model.UpstreamID(fmt.Sprintf("%s/u%d", Service(service), i+1))
}

// Whole returns an upstream's holding of the whole key space as one shard.
func Whole(version model.Version) model.Holding {
	const shard model.ShardID = "s1"
	return model.Holding{
		Version:    version,
		Shards:     []model.Shard{{ID: shard, Low: 0, High: model.KeySpace}},
		HeldShards: []model.ShardID{shard},
	}
}

// address returns the address of a service's replica.
func address(service, i int) string { return fmt.Sprintf("10.0.%d.%d:9000", service, i+1) }

// addUpstream adds a replica that holds version 1.
func (c *Cluster) addUpstream(service, i int) {
	c.AddUpstream(virtual.Upstream{
		ID:          UpstreamID(service, i),
		Address:     address(service, i),
		Slots:       c.spec.Slots,
		Connections: c.spec.Connections,
		Holdings:    []model.Holding{Whole(1)},
		ServiceTime: c.spec.ServiceTime,
	})
}

// configure proposes the configuration and waits for its acceptance.
func (c *Cluster) configure() error {
	var text strings.Builder
	text.WriteString("create user lab\n")
	for service := range c.spec.Services {
		fmt.Fprintf(&text, "create service %s for lab %s\n", Service(service), c.spec.Policy)
		for i := range c.spec.Replicas {
			fmt.Fprintf(&text, "  upstream u%d at %s in %s slots %d connections %d\n",
				i+1, address(service, i), domain(i), c.spec.Slots, c.spec.Connections)
		}
	}
	return c.propose(text.String())
}

// Runs returns how many attempts began to run on the upstreams.
func (c *Cluster) Runs() int {
	runs := 0
	for _, u := range c.Upstreams() {
		runs += len(u.Runs)
	}
	return runs
}
