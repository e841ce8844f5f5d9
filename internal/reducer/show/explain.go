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

// explain tells what this node would do with a request of a service now, and
// why.
func (a *Answerer) explain(q *asked, name model.ServiceName, result *effect.StatementResult) *model.Failure {
	service := q.visible.Service(name)
	if service == nil {
		return model.Failf(model.CodeUnknownService, "no service %s", name)
	}
	explanation, failure := a.parts.Coordinator.Explain(q.Context, name)
	if failure != nil {
		return failure
	}
	result.Tables = append(result.Tables, a.decisions(q, service, &explanation), replicas(&explanation))
	if lanes := a.lanes(q, name); len(lanes.Rows) > 0 {
		result.Tables = append(result.Tables, lanes)
	}
	if explanation.Omitted > 0 {
		result.Text += fmt.Sprintf("%d shards more are not listed\n", explanation.Omitted)
	}
	return nil
}

// decisions lists what would be decided, with the reason.
func (a *Answerer) decisions(q *asked, service *model.Service, explanation *query.Explanation) model.Table {
	return model.Table{Columns: []string{"decision", "now", "reason"}, Rows: [][]string{
		a.takeOn(q, service),
		pin(explanation),
		answer(service),
		fail(service),
		hedge(service, explanation),
		retry(service, explanation),
		a.refused(q, service),
	}}
}

// takeOn tells whether the node takes new requests.
func (a *Answerer) takeOn(q *asked, service *model.Service) []string {
	const decision = "take on"
	load := a.parts.Admission.Describe()
	switch {
	case q.Self.State != model.Serving:
		return []string{decision, "no", fmt.Sprintf("node %s is %s", q.Self.Host, q.Self.State)}
	case !a.parts.Log.Ready():
		return []string{decision, "no", fmt.Sprintf("node %s has no recent configuration", q.Self.Host)}
	case load.Open >= load.Limit:
		return []string{decision, "by fair share only", fmt.Sprintf("all of the node's %d places are taken", load.Limit)}
	}
	limits := []string{"service rate " + statement.Rate(service.Policy.RequestsPerSecond).String()}
	if user := q.Config.User(service.User); user != nil {
		limits = append(limits,
			"user rate "+statement.Rate(user.RequestsPerSecond).String(),
			"user in flight "+statement.Limit(user.MaxInFlight).String())
	}
	reason := fmt.Sprintf("node %s serves, %d of %d places are taken; %s", q.Self.Host, load.Open, load.Limit, strings.Join(limits, ", "))
	return []string{decision, "yes", reason}
}

// pin tells which snapshot a search would read.
func pin(explanation *query.Explanation) []string {
	if explanation.Version == 0 {
		return []string{"snapshot", "none", "no upstream has reported a version that it holds"}
	}
	total := len(explanation.Shards) + explanation.Omitted
	reason := fmt.Sprintf("newest widely held version of the greatest coverage: %d of %d shards can be searched", explanation.Searchable, total)
	return []string{"snapshot", strconv.FormatUint(uint64(explanation.Version), 10), reason}
}

// answer tells when a search would be answered.
func answer(service *model.Service) []string {
	policy := &service.Policy
	if policy.AnswerBy == 0 {
		return []string{"answer", "at the latest after " + statement.Duration(policy.Deadline).String(), "the policy waits for all shards until the deadline"}
	}
	reason := fmt.Sprintf("the policy answers early at a coverage of %s or more", statement.Percent(policy.MinCoverage))
	return []string{"answer", "after " + statement.Duration(policy.AnswerBy).String() + " with what there is", reason}
}

// fail tells when a request would fail.
func fail(service *model.Service) []string {
	policy := &service.Policy
	return []string{
		"fail", "after " + statement.Duration(policy.Deadline).String(),
		fmt.Sprintf("a search that covers less than %s; an order that was sent is unknown then, any other is not run", statement.Percent(policy.MinCoverage)),
	}
}

// hedge tells whether a slow sub-request would be repeated.
func hedge(service *model.Service, explanation *query.Explanation) []string {
	switch {
	case !service.Policy.Repeatable:
		return []string{"hedge", "no", "the work may not be repeated"}
	case service.Policy.HedgeBudget == 0:
		return []string{"hedge", "no", "the hedge budget is 0%"}
	case explanation.HedgeTokens < 1:
		return []string{"hedge", "no", "the budget is used up: " + tokens(explanation.HedgeTokens) + " tokens"}
	default:
		return []string{"hedge", "yes", tokens(explanation.HedgeTokens) + " tokens; the delays are those of the shards"}
	}
}

// retry tells whether a failed sub-request would be repeated.
func retry(service *model.Service, explanation *query.Explanation) []string {
	if explanation.RetryTokens < 1 {
		return []string{"retry", "no", "the budget holds " + tokens(explanation.RetryTokens) + " tokens"}
	}
	reason := tokens(explanation.RetryTokens) + " tokens"
	if !service.Policy.Repeatable {
		return []string{"retry", "only what did not run", reason + "; the work may not be repeated"}
	}
	return []string{"retry", "yes", reason}
}

// refused counts the contents that are refused.
func (a *Answerer) refused(q *asked, service *model.Service) []string {
	byOperators, onEvidence := 0, 0
	for _, conviction := range q.visible.Blocks {
		lapsed := conviction.Until != 0 && conviction.Until.Before(q.Now)
		if conviction.Service == service.Name && !lapsed {
			byOperators++
		}
	}
	for _, conviction := range a.parts.Quarantine.Describe(q.Now).Blocks {
		if conviction.Service == service.Name {
			onEvidence++
		}
	}
	reason := fmt.Sprintf("%d convicted by operators, %d on evidence of crashes", byOperators, onEvidence)
	return []string{"refuse contents", strconv.Itoa(byOperators + onEvidence), reason}
}

// lanes lists the service's upstreams that this node dispatches for, with the
// limits it has learned.
func (a *Answerer) lanes(q *asked, name model.ServiceName) model.Table {
	table := model.Table{
		Columns: []string{"upstream", "role", "slots", "limit", "limit_reason", "in_flight", "queued", "connections", "max_connections", "reachable", "draining_by", "status_age"},
		Rows:    [][]string{},
	}
	for _, lane := range a.parts.Dispatcher.Describe(q.Now).Upstreams {
		if lane.Upstream.Service() != name {
			continue
		}
		table.Rows = append(table.Rows, []string{
			string(lane.Upstream), lane.Role, strconv.Itoa(lane.Slots), strconv.Itoa(lane.Limit), fmt.Sprint(lane.LimitReason),
			strconv.Itoa(lane.InFlight), strconv.Itoa(lane.Queued), strconv.Itoa(lane.OpenConnections), strconv.Itoa(lane.MaxConnections),
			yesNo(lane.Reachable), lane.DrainingBy, age(lane.StatusAge),
		})
	}
	return table
}

// replicas lists the replicas of each shard with the verdict on them.
func replicas(explanation *query.Explanation) model.Table {
	table := model.Table{
		Columns: []string{"shard", "upstream", "verdict", "free_slots", "queued", "outstanding", "latency", "count_age", "dispatchers", "hedge_after", "hedge_source"},
		Rows:    [][]string{},
	}
	for _, shard := range explanation.Shards {
		for _, replica := range shard.Replicas {
			table.Rows = append(table.Rows, []string{
				shard.Name, string(replica.Upstream), replica.Verdict,
				strconv.Itoa(replica.FreeSlots), strconv.Itoa(replica.Queued), strconv.Itoa(replica.Outstanding),
				latency(replica.Latency), age(replica.CountAge), hosts(replica.Dispatchers),
				latency(shard.HedgeDelay), string(shard.HedgeSource),
			})
		}
	}
	return table
}

// hosts joins the names of hosts.
func hosts(ids []model.HostID) string {
	names := make([]string, len(ids))
	for i, id := range ids {
		names[i] = string(id)
	}
	return strings.Join(names, " ")
}
