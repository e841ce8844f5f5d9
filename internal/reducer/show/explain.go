package show

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/query"
	"github.com/hawthorntack/hawthorntack/internal/statement"
)

// explain describes how this node would currently handle a request for a service, with
// reasons.
func (a *Answerer) explain(r *request, name model.ServiceName, result *effect.StatementResult) *model.Failure {
	service := r.visible.Service(name)
	if service == nil {
		return model.Failf(model.CodeUnknownService, "no service %s", name)
	}
	explanation, failure := a.deps.Coordinator.Explain(r.Context, name)
	if failure != nil {
		return failure
	}
	result.Tables = append(result.Tables, a.decisionTable(r, service, &explanation), replicaTable(&explanation))
	if pools := a.upstreamPoolTable(r, name); len(pools.Rows) > 0 {
		result.Tables = append(result.Tables, pools)
	}
	if explanation.Omitted > 0 {
		result.Text += fmt.Sprintf("%d shards more are not listed\n", explanation.Omitted)
	}
	return nil
}

// decisionTable lists the decisions on a request and their reasons.
func (a *Answerer) decisionTable(r *request, service *model.Service, explanation *query.Explanation) model.Table {
	return model.Table{Columns: []string{"decision", "now", "reason"}, Rows: [][]string{
		a.admissionDecision(r, service),
		snapshotDecision(explanation),
		answerDecision(service),
		failDecision(service),
		hedgeDecision(service, explanation),
		retryDecision(service, explanation),
		a.blockDecision(r, service),
	}}
}

// admissionDecision describes whether the node admits new requests.
func (a *Answerer) admissionDecision(r *request, service *model.Service) []string {
	const decision = "take on"
	load := a.deps.Admission.Describe()
	switch {
	case r.Self.State != model.Serving:
		return []string{decision, "no", fmt.Sprintf("node %s is %s", r.Self.Host, r.Self.State)}
	case !a.deps.Log.Ready():
		return []string{decision, "no", fmt.Sprintf("node %s has no recent configuration", r.Self.Host)}
	case load.Open >= load.Limit:
		return []string{decision, "by fair share only", fmt.Sprintf("all of the node's %d places are taken", load.Limit)}
	}
	limits := []string{"service rate " + statement.Rate(service.Policy.RequestsPerSecond).String()}
	if user := r.Config.User(service.User); user != nil {
		limits = append(limits,
			"user rate "+statement.Rate(user.RequestsPerSecond).String(),
			"user in flight "+statement.Limit(user.MaxInFlight).String())
	}
	reason := fmt.Sprintf("node %s serves, %d of %d places are taken; %s", r.Self.Host, load.Open, load.Limit, strings.Join(limits, ", "))
	return []string{decision, "yes", reason}
}

// snapshotDecision describes which version of the index a search would read.
func snapshotDecision(explanation *query.Explanation) []string {
	if explanation.Version == 0 {
		return []string{"snapshot", "none", "no upstream has reported a version that it holds"}
	}
	total := len(explanation.Shards) + explanation.Omitted
	reason := fmt.Sprintf("newest widely held version of the greatest coverage: %d of %d shards can be searched", explanation.Searchable, total)
	return []string{"snapshot", strconv.FormatUint(uint64(explanation.Version), 10), reason}
}

// answerDecision describes when a search would be answered.
func answerDecision(service *model.Service) []string {
	policy := &service.Policy
	if policy.AnswerBy == 0 {
		return []string{"answer", "at the latest after " + statement.Duration(policy.Deadline).String(), "the policy waits for all shards until the deadline"}
	}
	reason := fmt.Sprintf("the policy answers early at a coverage of %s or more", statement.Percent(policy.MinCoverage))
	return []string{"answer", "after " + statement.Duration(policy.AnswerBy).String() + " with what there is", reason}
}

// failDecision describes when a request would fail.
func failDecision(service *model.Service) []string {
	policy := &service.Policy
	return []string{
		"fail", "after " + statement.Duration(policy.Deadline).String(),
		fmt.Sprintf("a search that covers less than %s; an order that was sent is unknown then, any other is not run", statement.Percent(policy.MinCoverage)),
	}
}

// hedgeDecision describes whether a slow sub-request would be hedged.
func hedgeDecision(service *model.Service, explanation *query.Explanation) []string {
	switch {
	case !service.Policy.Repeatable:
		return []string{"hedge", "no", "the work may not be repeated"}
	case service.Policy.HedgeBudget == 0:
		return []string{"hedge", "no", "the hedge budget is 0%"}
	case explanation.HedgeTokens < 1:
		return []string{"hedge", "no", "the budget is used up: " + formatTokens(explanation.HedgeTokens) + " tokens"}
	default:
		return []string{"hedge", "yes", formatTokens(explanation.HedgeTokens) + " tokens; the delays are those of the shards"}
	}
}

// retryDecision describes whether a failed sub-request would be retried.
func retryDecision(service *model.Service, explanation *query.Explanation) []string {
	if explanation.RetryTokens < 1 {
		return []string{"retry", "no", "the budget holds " + formatTokens(explanation.RetryTokens) + " tokens"}
	}
	reason := formatTokens(explanation.RetryTokens) + " tokens"
	if !service.Policy.Repeatable {
		return []string{"retry", "only what did not run", reason + "; the work may not be repeated"}
	}
	return []string{"retry", "yes", reason}
}

// blockDecision counts the blocked contents of the service.
func (a *Answerer) blockDecision(r *request, service *model.Service) []string {
	operatorBlocks, evidenceBlocks := 0, 0
	for _, block := range r.visible.Blocks {
		expired := block.Until != 0 && block.Until.Before(r.Now)
		if block.Service == service.Name && !expired {
			operatorBlocks++
		}
	}
	for _, block := range a.deps.Quarantine.Describe(r.Now).Blocks {
		if block.Service == service.Name {
			evidenceBlocks++
		}
	}
	reason := fmt.Sprintf("%d convicted by operators, %d on evidence of crashes", operatorBlocks, evidenceBlocks)
	return []string{"refuse contents", strconv.Itoa(operatorBlocks + evidenceBlocks), reason}
}

// upstreamPoolTable lists the service's upstreams that this node dispatches for, with
// their learned concurrency limits.
func (a *Answerer) upstreamPoolTable(r *request, name model.ServiceName) model.Table {
	table := model.Table{
		Columns: []string{"upstream", "role", "slots", "limit", "limit_reason", "in_flight", "queued", "connections", "max_connections", "reachable", "draining_by", "status_age"},
		Rows:    [][]string{},
	}
	for _, pool := range a.deps.Dispatcher.Describe(r.Now).Upstreams {
		if pool.Upstream.Service() != name {
			continue
		}
		table.Rows = append(table.Rows, []string{
			string(pool.Upstream), pool.Role, strconv.Itoa(pool.Slots), strconv.Itoa(pool.Limit), fmt.Sprint(pool.LimitReason),
			strconv.Itoa(pool.InFlight), strconv.Itoa(pool.Queued), strconv.Itoa(pool.OpenConnections), strconv.Itoa(pool.MaxConnections),
			formatBool(pool.Reachable), pool.DrainingBy, formatAge(pool.StatusAge),
		})
	}
	return table
}

// replicaTable lists the replicas of each shard with the coordinator's rating of each.
func replicaTable(explanation *query.Explanation) model.Table {
	table := model.Table{
		Columns: []string{"shard", "upstream", "verdict", "free_slots", "queued", "outstanding", "latency", "count_age", "dispatchers", "hedge_after", "hedge_source"},
		Rows:    [][]string{},
	}
	for _, shard := range explanation.Shards {
		for _, replica := range shard.Replicas {
			table.Rows = append(table.Rows, []string{
				shard.Name, string(replica.Upstream), replica.Verdict,
				strconv.Itoa(replica.FreeSlots), strconv.Itoa(replica.Queued), strconv.Itoa(replica.Outstanding),
				formatLatency(replica.Latency), formatAge(replica.CountAge), joinHosts(replica.Dispatchers),
				formatLatency(shard.HedgeDelay), string(shard.HedgeSource),
			})
		}
	}
	return table
}

// joinHosts joins the names of hosts with spaces.
func joinHosts(ids []model.HostID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, " ")
}
