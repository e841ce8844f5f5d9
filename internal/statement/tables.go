package statement

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// All is the pattern that matches every service, user and operator.
const All = Pattern("*")

// ServiceTable returns a table of the services whose name matches the pattern.
func ServiceTable(config *model.Config, pattern Pattern) model.Table {
	table := model.Table{Columns: []string{
		"service", "user", "upstreams", "draining", "answer_by", "deadline", "coverage",
		"repeat", "hedge_budget", "retry_budget", "canary", "queue", "wait", "rate",
	}, Rows: [][]string{}}
	for i := range config.Services {
		service := &config.Services[i]
		if pattern.Match(string(service.Name)) {
			table.Rows = append(table.Rows, serviceRow(service))
		}
	}
	return table
}

// serviceRow returns one row of ServiceTable.
func serviceRow(service *model.Service) []string {
	policy := &service.Policy
	draining := 0
	for i := range service.Upstreams {
		if service.Upstreams[i].Draining {
			draining++
		}
	}
	return []string{
		string(service.Name),
		string(service.User),
		strconv.Itoa(len(service.Upstreams)),
		strconv.Itoa(draining),
		answerBy(policy.AnswerBy),
		Duration(policy.Deadline).String(),
		Percent(policy.MinCoverage).String(),
		YesNo(policy.Repeatable).String(),
		Percent(policy.HedgeBudget).String(),
		Percent(policy.RetryBudget).String(),
		YesNo(!policy.NoCanary).String(),
		strconv.Itoa(policy.QueueLimit),
		Duration(policy.QueueWait).String(),
		Rate(policy.RequestsPerSecond).String(),
	}
}

// answerBy formats the time of an early answer; zero means at the deadline.
func answerBy(d time.Duration) string {
	if d == 0 {
		return "deadline"
	}
	return Duration(d).String()
}

// States of an upstream in UpstreamTable.
const (
	stateActive   = "active"
	stateDraining = "draining"
)

// UpstreamTable returns a table of the upstreams whose full name ("service/upstream")
// or service name matches the pattern.
func UpstreamTable(config *model.Config, pattern Pattern) model.Table {
	table := model.Table{Columns: []string{
		"upstream", "service", "address", "failure_domain", "shard", "slots", "connections", "state",
	}, Rows: [][]string{}}
	for i := range config.Services {
		service := &config.Services[i]
		serviceMatches := pattern.Match(string(service.Name))
		for j := range service.Upstreams {
			upstream := &service.Upstreams[j]
			if serviceMatches || pattern.Match(string(upstream.ID)) {
				table.Rows = append(table.Rows, upstreamRow(service, upstream))
			}
		}
	}
	return table
}

// upstreamRow returns one row of UpstreamTable.
func upstreamRow(service *model.Service, upstream *model.Upstream) []string {
	state := stateActive
	if upstream.Draining {
		state = stateDraining
	}
	return []string{
		string(upstream.ID),
		string(service.Name),
		upstream.Address,
		string(upstream.FailureDomain),
		string(upstream.Shard),
		strconv.Itoa(upstream.Slots),
		strconv.Itoa(upstream.MaxConnections),
		state,
	}
}

// UserTable returns a table of the users whose name matches the pattern.
func UserTable(config *model.Config, pattern Pattern) model.Table {
	table := model.Table{Columns: []string{"user", "weight", "rate", "in_flight", "services"}, Rows: [][]string{}}
	owned := make(map[model.UserID]int)
	for i := range config.Services {
		owned[config.Services[i].User]++
	}
	for _, u := range config.Users {
		if !pattern.Match(string(u.ID)) {
			continue
		}
		table.Rows = append(table.Rows, []string{
			string(u.ID), strconv.Itoa(u.Weight), Rate(u.RequestsPerSecond).String(),
			Limit(u.MaxInFlight).String(), strconv.Itoa(owned[u.ID]),
		})
	}
	return table
}

// OperatorTable returns a table of the operators whose name matches the pattern,
// without their key hashes.
func OperatorTable(config *model.Config, pattern Pattern) model.Table {
	table := model.Table{Columns: []string{"operator", "user"}, Rows: [][]string{}}
	for _, operator := range config.Operators {
		if !pattern.Match(string(operator.Name)) {
			continue
		}
		limit := string(operator.User)
		if limit == "" {
			limit = "all"
		}
		table.Rows = append(table.Rows, []string{string(operator.Name), limit})
	}
	return table
}

// LimitTable returns a table of the limits of the users and services whose name matches
// the pattern. The limits apply on each node.
func LimitTable(config *model.Config, pattern Pattern) model.Table {
	table := model.Table{Columns: []string{"name", "kind", "rate", "in_flight", "weight", "queue", "wait"}, Rows: [][]string{}}
	for _, u := range config.Users {
		if !pattern.Match(string(u.ID)) {
			continue
		}
		table.Rows = append(table.Rows, []string{
			string(u.ID), "user", Rate(u.RequestsPerSecond).String(), Limit(u.MaxInFlight).String(), strconv.Itoa(u.Weight), "", "",
		})
	}
	for i := range config.Services {
		service := &config.Services[i]
		if !pattern.Match(string(service.Name)) {
			continue
		}
		table.Rows = append(table.Rows, []string{
			string(service.Name), "service", Rate(service.Policy.RequestsPerSecond).String(), "", "",
			strconv.Itoa(service.Policy.QueueLimit), Duration(service.Policy.QueueWait).String(),
		})
	}
	return table
}

// BlockTable returns a table of the request content that operators have blocked, for
// the services whose name matches the pattern.
func BlockTable(config *model.Config, pattern Pattern) model.Table {
	table := model.Table{Columns: []string{"service", "fingerprint", "until"}, Rows: [][]string{}}
	for _, block := range config.Blocks {
		if !pattern.Match(string(block.Service)) {
			continue
		}
		until := "an operator pardons it"
		if block.Until != 0 {
			until = Time(block.Until).String()
		}
		table.Rows = append(table.Rows, []string{string(block.Service), Fingerprint(block.Fingerprint).String(), until})
	}
	return table
}
