package config

import "github.com/hawthorntack/hawthorntack/internal/effect"

// Metrics of the configuration log.
const (
	metricReadFailures  effect.Metric = "config_read_failures_total"
	metricWatchFailures effect.Metric = "config_watch_failures_total"
	metricPulls         effect.Metric = "config_pulls_total"
	metricPushes        effect.Metric = "config_pushes_total"
	metricChanges       effect.Metric = "config_changes_total"
	metricFences        effect.Metric = "config_fences_total"
	metricSnapshots     effect.Metric = "config_snapshots_total"
)
