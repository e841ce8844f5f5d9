package query

import "github.com/hawthorntack/hawthorntack/internal/effect"

// Metrics of the coordinator, without the common prefix of all metric names.
const (
	metricRefused        effect.Metric = "query_refused_total"
	metricCallersGone    effect.Metric = "query_callers_gone_total"
	metricHedges         effect.Metric = "query_hedges_total"
	metricHedgesDenied   effect.Metric = "query_hedges_denied_total"
	metricRetries        effect.Metric = "query_retries_total"
	metricWithdrawn      effect.Metric = "query_withdrawn_total"
	metricRetriesDenied  effect.Metric = "query_retries_denied_total"
	metricReroutes       effect.Metric = "query_reroutes_total"
	metricUnmatched      effect.Metric = "query_unmatched_results_total"
	metricInvalidParts   effect.Metric = "query_invalid_parts_total"
	metricRestarts       effect.Metric = "query_restarts_total"
	metricPartialAnswers effect.Metric = "query_partial_answers_total"
	metricLowCoverage    effect.Metric = "query_low_coverage_total"
	metricCrashes        effect.Metric = "query_crashes_total"
	metricCanaries       effect.Metric = "query_canaries_total"
)
