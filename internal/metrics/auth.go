package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Refusals counts the administration calls that failed authentication, by code.
type Refusals struct {
	vector *prometheus.CounterVec
}

// NewRefusals registers the counter and returns it.
func NewRefusals(registry prometheus.Registerer) *Refusals {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "hawthorntack_auth_refusals_total",
		Help: "Administration calls refused for who called, by code.",
	}, []string{"code"})
	registry.MustRegister(vector)
	return &Refusals{vector: vector}
}

// Count counts one refusal.
func (r *Refusals) Count(code model.Code) { r.vector.WithLabelValues(string(code)).Inc() }
