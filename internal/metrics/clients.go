package metrics

import (
	"github.com/prometheus/client_golang/prometheus"

	"github.com/hawthorntack/hawthorntack/internal/reducer/quota"
)

// Clients are the metrics of what clients make the process hold.
type Clients struct {
	usage   func() []quota.Usage
	refused *prometheus.CounterVec
	evicted *prometheus.CounterVec
}

// Descriptions of the gauges of Clients.
var (
	clientBytes            = describeClients("bytes", "Memory that a listener's clients make the process hold.")
	clientBytesLimit       = describeClients("bytes_limit", "Limit of that memory.")
	clientConnections      = describeClients("connections", "Open connections of a listener's clients.")
	clientConnectionsLimit = describeClients("connections_limit", "Limit of these connections.")
)

// describeClients describes a gauge by listener.
func describeClients(name, help string) *prometheus.Desc {
	return prometheus.NewDesc("hawthorntack_clients_"+name, help, []string{"listener"}, nil)
}

// NewClients registers the metrics and returns them. The function returns what the clients make the
// process hold.
func NewClients(registry prometheus.Registerer, usage func() []quota.Usage) *Clients {
	c := &Clients{
		usage: usage,
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hawthorntack_clients_refused_total",
			Help: "Connections and requests refused for their size or for want of room, by reason.",
		}, []string{"listener", "reason"}),
		evicted: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "hawthorntack_clients_evicted_total",
			Help: "Connections of slow clients closed for want of room, by what they were doing.",
		}, []string{"listener", "phase"}),
	}
	registry.MustRegister(c, c.refused, c.evicted)
	return c
}

// Refused counts a refusal.
func (c *Clients) Refused(l quota.Listener, reason string) {
	c.refused.WithLabelValues(l.String(), reason).Inc()
}

// Evicted counts an eviction.
func (c *Clients) Evicted(l quota.Listener, p quota.Phase) {
	c.evicted.WithLabelValues(l.String(), p.String()).Inc()
}

// Describe implements prometheus.Collector.
func (c *Clients) Describe(descriptions chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{clientBytes, clientBytesLimit, clientConnections, clientConnectionsLimit} {
		descriptions <- d
	}
}

// Collect implements prometheus.Collector.
func (c *Clients) Collect(values chan<- prometheus.Metric) {
	for _, u := range c.usage() {
		gauge := func(d *prometheus.Desc, value float64) {
			values <- prometheus.MustNewConstMetric(d, prometheus.GaugeValue, value, u.Listener.String())
		}
		gauge(clientBytes, float64(u.Bytes))
		gauge(clientBytesLimit, float64(u.Limits.Bytes))
		gauge(clientConnections, float64(u.Connections))
		gauge(clientConnectionsLimit, float64(u.Limits.Connections))
	}
}
