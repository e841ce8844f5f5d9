package lab

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/deployment"
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer"
	"github.com/hawthorntack/hawthorntack/internal/standin/kv"
	"github.com/hawthorntack/hawthorntack/internal/statement"
	"github.com/hawthorntack/hawthorntack/internal/virtual"
)

// StartDeployment returns a cluster with the services of a deployment that is
// ready for load. It returns *StartError or the placement's error.
func StartDeployment(seed uint64, hosts int, d deployment.Deployment, tune func(*reducer.Settings)) (*Cluster, error) {
	options := virtual.Options{
		Seed:        seed,
		Store:       virtual.NewKeyValue(kv.DefaultLimits()),
		ConnectTime: connectTime,
		Tune:        tune,
	}
	for i := range hosts {
		options.Hosts = append(options.Hosts, virtual.HostSpec{
			Host:          model.HostID(fmt.Sprintf("host-%d", i+1)),
			FailureDomain: d.FailureDomains[i%len(d.FailureDomains)],
		})
	}
	c := &Cluster{Counts: make(map[effect.Metric]int)}
	options.Observe = c.count
	c.World = virtual.New(options)
	config, err := d.Configure(c.place)
	if err != nil {
		return nil, err
	}
	if err := c.propose(statement.Print(config)); err != nil {
		return nil, err
	}
	c.RunFor(settleTime)
	return c, nil
}

// place adds an upstream of a deployment. Half of its service time is fixed, the
// other half exponential.
func (c *Cluster) place(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
	n := len(c.Upstreams())
	address := fmt.Sprintf("10.1.%d.%d:9000", n/250, n%250+1)
	half := float64(shape.ServiceTime) / 2
	c.AddUpstream(virtual.Upstream{
		ID: id, Address: address, Slots: shape.Slots, Connections: shape.MaxConnections, Holdings: holdings,
		ServiceTime: func(random *rand.Rand) time.Duration {
			return time.Duration(half + half*random.ExpFloat64())
		},
	})
	return address, nil
}

// propose proposes a text and waits for its acceptance.
func (c *Cluster) propose(text string) error {
	c.RunFor(settleTime)
	result := effect.StatementResult{Outcome: effect.ChangeUnknown}
	done := false
	c.Statement(c.Hosts()[0], event.Statement{Text: text}, func(r effect.StatementResult) {
		result = r
		done = true
	})
	for end := c.Now().Add(configTime); !done && c.Now().Before(end); {
		c.RunFor(100 * time.Millisecond)
	}
	if result.Outcome != effect.Accepted {
		return &StartError{Outcome: result.Outcome, Failure: result.Failure}
	}
	return nil
}
