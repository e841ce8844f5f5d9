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

// StartDeployment returns a cluster that has the services of a deployment and is
// ready for load. It returns *StartError if the configuration is not accepted, or
// the error of building the configuration.
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
	options.Observe = c.countMetrics
	c.World = virtual.New(options)
	config, err := d.Configure(c.deployUpstream)
	if err != nil {
		return nil, err
	}
	if err := c.propose(statement.Print(config)); err != nil {
		return nil, err
	}
	c.RunFor(settleTime)
	return c, nil
}

// deployUpstream adds a simulated upstream for a deployment's upstream and returns its
// address. Half of the mean service time is fixed, the other half is the mean of an
// exponential distribution.
func (c *Cluster) deployUpstream(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
	n := len(c.Upstreams())
	address := fmt.Sprintf("10.1.%d.%d:9000", n/250, n%250+1)
	half := float64(shape.ServiceTime) / 2
	c.AddUpstream(virtual.Upstream{
		ID: id, Address: address, Slots: shape.Slots, MaxConnections: shape.MaxConnections, Holdings: holdings,
		ServiceTime: func(random *rand.Rand) time.Duration {
			return time.Duration(half + half*random.ExpFloat64())
		},
	})
	return address, nil
}

// propose sends a statement to the first host and waits until it is accepted. It
// returns *StartError otherwise.
func (c *Cluster) propose(text string) error {
	c.RunFor(settleTime)
	result := effect.StatementResult{Outcome: effect.ChangeUnknown}
	done := false
	c.Statement(c.Hosts()[0], event.Statement{Text: text}, func(r effect.StatementResult) {
		result = r
		done = true
	})
	for end := c.Now().Add(configTimeout); !done && c.Now().Before(end); {
		c.RunFor(100 * time.Millisecond)
	}
	if result.Outcome != effect.Accepted {
		return &StartError{Outcome: result.Outcome, Failure: result.Failure}
	}
	return nil
}
