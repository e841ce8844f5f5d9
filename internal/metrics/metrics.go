// Package metrics turns the reducer's steps into Prometheus metrics. Metrics are
// derived from events and effects, so that the decisions stay free of them.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
)

// latencyBuckets are upper bounds in seconds, finer around the users' deadlines.
var latencyBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.06, 0.077, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5,
}

// Observer counts what the reducer decides.
type Observer struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	coverage prometheus.Histogram
	attempts *prometheus.CounterVec
	// forwarded and sent are those of routed requests.
	forwarded *prometheus.HistogramVec
	sent      *prometheus.CounterVec
	counters  map[effect.Metric]counter
	step      prometheus.Histogram
}

// counter is a counter of a reducer's part.
type counter struct {
	vector  *prometheus.CounterVec
	labeled bool
}

// NewObserver registers the metrics and returns their observer.
func NewObserver(registry prometheus.Registerer) *Observer {
	o := &Observer{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hawthorntack_query_requests_total",
			Help: "Requests by outcome.",
		}, []string{"outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hawthorntack_query_duration_seconds",
			Help:    "Time from a request to its answer.",
			Buckets: latencyBuckets,
		}, []string{"outcome"}),
		coverage: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hawthorntack_query_coverage_ratio",
			Help:    "Share of the shards that an answered search covers.",
			Buckets: []float64{0.5, 0.8, 0.9, 0.95, 0.99, 0.999, 1},
		}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hawthorntack_dispatch_attempts_total",
			Help: "Sub-requests written to upstreams, by kind.",
		}, []string{"kind"}),
		forwarded: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hawthorntack_relay_duration_seconds",
			Help:    "Time from a routed request to its answer.",
			Buckets: latencyBuckets,
		}, []string{"route", "outcome"}),
		sent: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hawthorntack_relay_attempts_total",
			Help: "Routed requests written to upstreams, by kind.",
		}, []string{"kind"}),
		counters: make(map[effect.Metric]counter),
		step: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hawthorntack_reducer_step_seconds",
			Help:    "Time that the reducer takes for an event.",
			Buckets: prometheus.ExponentialBuckets(1e-6, 4, 10),
		}),
	}
	registry.MustRegister(o.requests, o.latency, o.coverage, o.attempts, o.forwarded, o.sent, o.step)
	for _, d := range Definitions() {
		o.register(registry, d)
	}
	return o
}

// register adds the counter of a definition.
func (o *Observer) register(registry prometheus.Registerer, d Definition) {
	var labels []string
	if d.Label != "" {
		labels = []string{d.Label}
	}
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Name: "hawthorntack_" + string(d.Metric), Help: d.Help}, labels)
	registry.MustRegister(vector)
	o.counters[d.Metric] = counter{vector: vector, labeled: d.Label != ""}
	if d.Label == "" {
		vector.WithLabelValues()
	}
}

// Observe counts one step.
func (o *Observer) Observe(_ event.Envelope, effects []effect.Effect, elapsed time.Duration) {
	o.step.Observe(elapsed.Seconds())
	for _, e := range effects {
		o.observeEffect(e)
	}
}

// observeEffect counts one effect.
func (o *Observer) observeEffect(e effect.Effect) {
	switch e := e.(type) {
	case effect.ReplyCaller:
		outcome := string(e.Answer.Outcome)
		o.requests.WithLabelValues(outcome).Inc()
		o.latency.WithLabelValues(outcome).Observe(e.Elapsed.Seconds())
		if e.Answer.Coverage != nil {
			o.coverage.Observe(float64(e.Answer.Coverage.Percent()) / 100)
		}
	case effect.SendUpstream:
		o.attempts.WithLabelValues(attemptKind(e.Hedge)).Inc()
	case effect.ReplyForward:
		o.forwarded.WithLabelValues(e.Route, string(e.Answer.Outcome)).Observe(e.Elapsed.Seconds())
	case effect.SendForward:
		o.sent.WithLabelValues(attemptKind(e.Hedge)).Inc()
	case effect.Count:
		o.count(e)
	}
}

// count adds to a counter. One that has no definition is dropped; a test keeps
// the definitions complete.
func (o *Observer) count(e effect.Count) {
	c, ok := o.counters[e.Metric]
	if !ok {
		return
	}
	if c.labeled {
		c.vector.WithLabelValues(e.Label).Add(e.Delta)
		return
	}
	c.vector.WithLabelValues().Add(e.Delta)
}

// attemptKind tells first attempts from hedges.
func attemptKind(hedge bool) string {
	if hedge {
		return "hedge"
	}
	return "first"
}
