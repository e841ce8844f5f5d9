package metrics

import "github.com/hawthorntack/hawthorntack/internal/effect"

// Definition describes a counter that the reducer increments by effect.Count. The
// exported name is the metric with the prefix "hawthorntack_".
type Definition struct {
	Metric effect.Metric
	// Label is the name of the only label; it is empty for a counter without labels.
	Label string
	Help  string
}

// Definitions lists the counters of the reducer, ordered by name. Every counter that
// the reducer increments must be listed here and in docs/METRICS.md.
func Definitions() []Definition {
	return []Definition{
		{"admission_refused_total", "code", "Requests that the node did not take on."},
		{"config_changes_total", "outcome", "Operators' changes by outcome."},
		{"config_fences_total", "", "Places in the log that were fenced off from a delayed write."},
		{"config_pulls_total", "", "Requests to peers for log entries."},
		{"config_pushes_total", "", "Messages that pushed log entries to peers."},
		{"config_read_failures_total", "", "Reads of the store that failed."},
		{"config_snapshots_total", "", "Snapshots of the configuration written to the store."},
		{"config_watch_failures_total", "", "Watches of the store that failed."},
		{"dispatch_drains_total", "sign", "Upstreams found leaving, by the first sign."},
		{"dispatch_lost_total", "service", "Sub-requests whose connection ended without a reply."},
		{"dispatch_mismatched_replies_total", "service", "Replies that carried another attempt's identifier."},
		{"dispatch_refused_total", "reason", "Sub-requests refused without being sent."},
		{"dispatch_requeued_total", "", "Sub-requests put back because their connection had ended before the write."},
		{"dispatch_shed_total", "", "Sub-requests that an upstream shed."},
		{"dispatch_upstream_crashes_total", "service", "Ends of connections that look like a crash of the upstream."},
		{"interest_asked_total", "", "Messages that asked a dispatcher for the reports of services."},
		{"interest_parked_searches_total", "", "Searches that waited for the first reports of a service."},
		{"query_callers_gone_total", "", "Requests whose caller closed them."},
		{"query_canaries_total", "", "Searches that sent one canary first."},
		{"query_crashes_total", "", "Crashes reported to a coordinator."},
		{"query_hedges_denied_total", "reason", "Hedges that were due and not sent."},
		{"query_hedges_total", "", "Hedges sent."},
		{"query_invalid_parts_total", "", "Parts that the merge did not admit."},
		{"query_low_coverage_total", "", "Searches that ended below the least coverage."},
		{"query_partial_answers_total", "", "Searches answered without some shards."},
		{"query_refused_total", "code", "Requests that a coordinator refused."},
		{"query_reroutes_total", "", "Sub-requests sent to another dispatcher of the same upstream."},
		{"query_restarts_total", "", "Searches restarted on another snapshot."},
		{"query_retries_denied_total", "reason", "Retries that were due and not sent."},
		{"query_retries_total", "kind", "Retries sent to another replica, or to any after a pause."},
		{"query_unmatched_results_total", "reason", "Results that belong to no open attempt."},
		{"query_withdrawn_total", "", "Searches given up because their least coverage was out of reach."},
		{"quarantine_cleared_total", "service", "Suspects that ran to their end."},
		{"quarantine_convictions_total", "service", "Request contents convicted of crashing upstreams."},
		{"quarantine_refusals_total", "service", "Requests refused for their content."},
		{"quarantine_suspicions_total", "service", "Request contents under suspicion."},
		{"registry_calls_total", "task", "Calls to the registry, by what they are made for."},
		{"registry_eras_total", "", "Returns of the registry from an older copy of its data."},
		{"registry_outdated_entries_total", "", "Entries of upstreams that are older than one seen before."},
		{"relay_abandoned_attempts_total", "", "Attempts at an upstream that nobody waited for any more."},
		{"relay_callers_gone_total", "", "Routed requests whose caller closed them."},
		{"relay_crashes_total", "kind", "Crashes of upstreams under requests, by whether they are evidence against the content."},
		{"relay_delegations_total", "", "Subqueries sent to a node of another failure domain."},
		{"relay_extra_attempts_denied_total", "kind", "Hedges and retries that were due and not sent for want of budget."},
		{"relay_failed_connects_total", "", "Connections to upstreams that could not be opened."},
		{"relay_failed_total", "code", "Routed requests that ended without an answer and may have run."},
		{"relay_hedges_total", "", "Hedges of routed requests sent."},
		{"relay_invalid_replies_total", "", "Replies that were not an upstream's whole answer."},
		{"relay_late_delegations_total", "", "Subqueries whose node had not reported when hedges were due."},
		{"relay_lost_replies_total", "", "Attempts whose connection ended without a reply."},
		{"relay_misdirected_total", "", "Requests that reached another upstream at the same address."},
		{"relay_mismatched_replies_total", "", "Replies that did not belong to the request that the connection waited for."},
		{"relay_notices_total", "notice", "Replies in which an upstream states what it wants of the nodes, by what it states."},
		{"relay_partial_answers_total", "", "Gathered answers without some shards."},
		{"relay_refused_total", "code", "Routed requests refused as not run."},
		{"relay_resends_total", "", "Attempts sent again to the upstream that had refused their part."},
		{"relay_retries_total", "", "Retries of routed requests sent."},
		{"relay_withheld_failures_total", "status", "Failures of upstreams that were not passed on, because their status promises that the request has not run."},
		{"session_forwards_total", "", "Orders forwarded to their home."},
		{"session_handovers_total", "outcome", "Handovers of a stopping home's sessions."},
		{"session_orders_refused_total", "code", "Orders that a home refused."},
		{"session_orders_started_total", "service", "Orders started by their home."},
		{"session_resends_total", "service", "Orders that were known already."},
		{"session_unknown_total", "code", "Orders whose outcome is unknown."},
		{"snapshot_invalid_maps_total", "", "Partition maps that do not tile the key space."},
		{"snapshot_map_conflicts_total", "", "Partition maps that differ for one version."},
		{"snapshot_stale_reports_total", "", "Reports older than the one that is kept."},
	}
}
