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

// Bounds of a deployment's start in virtual time.
const (
	deployStep    = 100 * time.Millisecond
	deployTimeout = 30 * time.Second
)

// DeployError reports that a deployment did not come into force.
type DeployError struct {
	Reason string
}

// Error implements error.
func (e *DeployError) Error() string { return "deployment not in force: " + e.Reason }

// Hosts returns n host specifications spread over failure domains.
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
// deployment, and runs it until every node serves and knows every upstream.
// Absent hosts and store in the options mean four hosts and the stand-in store.
// It returns *DeployError.
func Deploy(d deployment.Deployment, options Options) (*World, error) {
	if options.Hosts == nil {
		options.Hosts = Hosts(4, d.FailureDomains)
	}
	if options.Store == nil {
		options.Store = NewKeyValue(kv.DefaultLimits())
	}
	w := New(options)
	config, err := d.Configure(w.place)
	if err != nil {
		return nil, err
	}
	return w, w.bringInForce(config)
}

// place adds the fake upstream of a deployment's upstream.
func (w *World) place(id model.UpstreamID, shape deployment.Shape, holdings []model.Holding) (string, error) {
	address := fmt.Sprintf("10.0.%d.%d:9000", len(w.upstreams)/250, len(w.upstreams)%250+1)
	w.AddUpstream(Upstream{
		ID:          id,
		Address:     address,
		Slots:       shape.Slots,
		Connections: shape.MaxConnections,
		Holdings:    holdings,
		ServiceTime: Exponential(shape.ServiceTime),
	})
	return address, nil
}

// serviceTimeCut bounds a drawn service time, in means.
const serviceTimeCut = 10

// Exponential returns exponentially distributed service times with a mean, cut
// at ten times the mean.
func Exponential(mean time.Duration) func(*rand.Rand) time.Duration {
	return func(r *rand.Rand) time.Duration {
		return time.Duration(min(r.ExpFloat64(), serviceTimeCut) * float64(mean))
	}
}

// bringInForce applies a configuration through the first host that serves.
func (w *World) bringInForce(config *model.Config) error {
	first := w.nodes[0].spec.Host
	if !w.runUntilAll(func(d reducer.Dump) bool { return d.State == string(model.Serving) }) {
		return &DeployError{Reason: "the nodes do not serve"}
	}
	var result effect.StatementResult
	w.Statement(first, event.Statement{Text: statement.Print(config)}, func(r effect.StatementResult) { result = r })
	whole := func(d reducer.Dump) bool {
		// In a large world a node hears of its own services' upstreams only.
		isScoped := len(w.nodes) > w.nodes[0].settings().Entry.SubsetSize
		return d.Revision > 0 && (isScoped || d.KnownUpstreams == len(w.upstreams))
	}
	if w.runUntilAll(whole) {
		return nil
	}
	reason := fmt.Sprintf("statement %q", result.Outcome)
	if result.Failure != nil {
		reason += ", " + result.Failure.Error()
	}
	return &DeployError{Reason: reason}
}

// runUntilAll runs until every live node meets a condition.
func (w *World) runUntilAll(met func(reducer.Dump) bool) bool {
	limit := w.now.Add(deployTimeout)
	for w.now.Before(limit) {
		w.RunFor(deployStep)
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
