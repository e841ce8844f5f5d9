package virtual

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
)

// Polling interval and timeout of a deployment's start, in virtual time.
const (
	deployPollInterval = 100 * time.Millisecond
	deployTimeout      = 30 * time.Second
)

// DeployError reports that a deployment's configuration did not come into force
// in time.
type DeployError struct {
	Reason string
}

// Error implements error.
func (e *DeployError) Error() string { return "deployment not in force: " + e.Reason }

// Hosts returns n hosts, named host-1 to host-n and spread evenly over failure
// domains.
func Hosts(n int, domains []model.FailureDomain) []HostSpec {
	hosts := make([]HostSpec, 0, n)
	for i := range n {
		hosts = append(hosts, HostSpec{
			Host:          model.HostID(fmt.Sprintf("host-%d", i+1)),
			FailureDomain: domains[i%len(domains)],
		})
	}
	return hosts
}

// Deploy starts a world with the upstreams and the configuration of a
// deployment, and runs it until the configuration is in force on every node and,
// in a world small enough that no node is limited to a subset, every node knows
// every upstream. Options without hosts or a store default to four hosts and the
// stand-in store. It returns the error of the configuration, or *DeployError on a
// timeout.
func Deploy(d deployment.Deployment, options Options) (*World, error) {
	if options.Hosts == nil {
		options.Hosts = Hosts(4, d.FailureDomains)
	}
	if options.Store == nil {
		options.Store = NewKeyValue(kv.DefaultLimits())
	}
	w := New(options)
	config, err := d.Configure(w.deployUpstream)
	if err != nil {
		return nil, err
	}
	return w, w.applyConfig(config)
}

// deployUpstream adds a fake upstream for a deployment's upstream and returns its
// address.
func (w *World) deployUpstream(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
	address := fmt.Sprintf("10.0.%d.%d:9000", len(w.upstreams)/250, len(w.upstreams)%250+1)
	w.AddUpstream(Upstream{
		ID:             id,
		Address:        address,
		Slots:          shape.Slots,
		MaxConnections: shape.MaxConnections,
		Holdings:       holdings,
		ServiceTime:    Exponential(shape.ServiceTime),
	})
	return address, nil
}

// maxServiceTimeRatio is the maximum of a drawn service time, in multiples of the
// mean.
const maxServiceTimeRatio = 10

// Exponential returns a function that draws exponentially distributed service
// times with the given mean, truncated at ten times the mean.
func Exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(min(r.ExpFloat64(), maxServiceTimeRatio) * float64(mean))
	}
}

// applyConfig proposes a configuration on the first host and waits until it is in
// force on all nodes. It returns *DeployError on a timeout.
func (w *World) applyConfig(config *model.Config) error {
	first := w.nodes[0].spec.Host
	if !w.runUntilAll(func(d reducer.Dump) bool { return d.State == string(model.Serving) }) {
		return &DeployError{Reason: "not all nodes reached the serving state"}
	}
	var result effect.StatementResult
	w.Statement(first, event.Statement{Text: statement.Print(config)}, func(r effect.StatementResult) { result = r })
	applied := func(d reducer.Dump) bool {
		// If there are more nodes than a subset holds, a node receives updates only
		// about the upstreams of its own services.
		isScoped := len(w.nodes) > w.nodes[0].settings().Entry.SubsetSize
		return d.Revision > 0 && (isScoped || d.KnownUpstreams == len(w.upstreams))
	}
	if w.runUntilAll(applied) {
		return nil
	}
	reason := fmt.Sprintf("statement %q", result.Outcome)
	if result.Failure != nil {
		reason += ", " + result.Failure.Error()
	}
	return &DeployError{Reason: reason}
}

// runUntilAll advances the world until every running node meets a condition. It
// returns false on a timeout.
func (w *World) runUntilAll(met func(reducer.Dump) bool) bool {
	limit := w.now.Add(deployTimeout)
	for w.now.Before(limit) {
		w.RunFor(deployPollInterval)
		all := true
		for _, n := range w.nodes {
			all = all && (!n.alive || met(n.state.Describe(w.now)))
		}
		if all {
			return true
		}
	}
	return false
}
