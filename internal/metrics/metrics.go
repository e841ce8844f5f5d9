// Package metrics derives Prometheus metrics from the effects and the state dump of the
// reducer, so that the reducer itself does not depend on Prometheus.
package metrics

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
)

// latencyBuckets are upper bounds in seconds, with finer steps around the users'
// deadlines.
var latencyBuckets = []float64{
	0.001, 0.0025, 0.005, 0.01, 0.015, 0.02, 0.03, 0.04, 0.05, 0.06, 0.077, 0.1, 0.15, 0.2, 0.3, 0.5, 1, 2, 5,
}

// Observer updates the metrics from the effects of each reducer step.
type Observer struct {
	requests *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	coverage prometheus.Histogram
	attempts *prometheus.CounterVec
	// routedLatency and routedAttempts are the metrics of routed requests.
	routedLatency  *prometheus.HistogramVec
	routedAttempts *prometheus.CounterVec
	counters       map[effect.Metric]counter
	stepDuration   prometheus.Histogram
}

// counter is a counter of the reducer with or without a label.
type counter struct {
	vector  *prometheus.CounterVec
	labeled bool
}

// NewObserver registers the metrics and returns an observer that updates them.
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
		routedLatency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name:    "hawthorntack_relay_duration_seconds",
			Help:    "Time from a routed request to its answer.",
			Buckets: latencyBuckets,
		}, []string{"route", "outcome"}),
		routedAttempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hawthorntack_relay_attempts_total",
			Help: "Routed requests written to upstreams, by kind.",
		}, []string{"kind"}),
		counters: make(map[effect.Metric]counter),
		stepDuration: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name:    "hawthorntack_reducer_step_seconds",
			Help:    "Time that the reducer takes for an event.",
			Buckets: prometheus.ExponentialBuckets(1e-6, 4, 10),
		}),
	}
	registry.MustRegister(o.requests, o.latency, o.coverage, o.attempts, o.routedLatency, o.routedAttempts, o.stepDuration)
	for _, d := range Definitions() {
		o.register(registry, d)
	}
	return o
}

// register registers the counter of a definition. A counter without a label is exported
// from the start, with the value zero.
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

// Observe updates the metrics with the effects and the duration of one step.
func (o *Observer) Observe(_ event.Envelope, effects []effect.Effect, elapsed time.Duration) {
	o.stepDuration.Observe(elapsed.Seconds())
	for _, e := range effects {
		o.observeEffect(e)
	}
}

// observeEffect updates the metrics with one effect.
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
		o.routedLatency.WithLabelValues(e.Route, string(e.Answer.Outcome)).Observe(e.Elapsed.Seconds())
	case effect.SendForward:
		o.routedAttempts.WithLabelValues(attemptKind(e.Hedge)).Inc()
	case effect.Count:
		o.count(e)
	}
}

// count adds to a counter. A counter without a definition is ignored;
// TestDefinitionsAreComplete checks that there is none.
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

// attemptKind returns the value of the "kind" label of an attempt.
func attemptKind(hedge bool) string {
	if hedge {
		return "hedge"
	}
	return "first"
}
