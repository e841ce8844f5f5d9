package statement

import (
	"fmt"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Print returns statements that make the configuration from an empty one. They
// hold the operators' key hashes: PrintPublic leaves those out.
func Print(config *model.Config) string {
	var text strings.Builder
	printUsers(&text, config)
	printServices(&text, config)
	for _, operator := range config.Operators {
		fmt.Fprintf(&text, "create operator %s%s key hash '%s'\n", operator.Name, forUser(operator), operator.KeyHash)
	}
	printRest(&text, config)
	return text.String()
}

// PrintPublic is Print with comments in place of the operators, for people.
func PrintPublic(config *model.Config) string {
	var text strings.Builder
	printUsers(&text, config)
	printServices(&text, config)
	for _, operator := range config.Operators {
		fmt.Fprintf(&text, "-- operator %s%s\n", operator.Name, forUser(operator))
	}
	printRest(&text, config)
	return text.String()
}

// forUser returns the limit of an operator as the language states it.
func forUser(operator model.Operator) string {
	if operator.User == "" {
		return ""
	}
	return " for " + string(operator.User)
}

// printUsers prints the users.
func printUsers(text *strings.Builder, config *model.Config) {
	for _, user := range config.Users {
		fmt.Fprintf(text, "create user %s weight %d", user.ID, user.Weight)
		if user.RequestsPerSecond != 0 {
			fmt.Fprintf(text, " rate %s", Rate(user.RequestsPerSecond))
		}
		if user.InFlight != 0 {
			fmt.Fprintf(text, " in flight %d", user.InFlight)
		}
		text.WriteByte('\n')
	}
}

// printServices prints the services with their upstreams.
func printServices(text *strings.Builder, config *model.Config) {
	for i := range config.Services {
		service := &config.Services[i]
		fmt.Fprintf(text, "create service %s for %s\n", service.Name, service.User)
		printPolicy(text, &service.Policy)
		for j := range service.Upstreams {
			printUpstream(text, &service.Upstreams[j])
		}
	}
}

// printPolicy prints every setting of a policy.
func printPolicy(text *strings.Builder, policy *model.Policy) {
	answer := "answer at deadline"
	if policy.AnswerBy != 0 {
		answer = "answer by " + policy.AnswerBy.String()
	}
	fmt.Fprintf(text, "  %s deadline %s coverage at least %s\n", answer, policy.Deadline, Percent(policy.LeastCoverage))
	fmt.Fprintf(text, "  repeat %s hedge budget %s retry budget %s\n",
		YesNo(policy.Repeatable), Percent(policy.HedgeBudget), Percent(policy.RetryBudget))
	fmt.Fprintf(text, "  refuse queue %d wait %s", policy.QueueLimit, policy.QueueWait)
	if policy.RequestsPerSecond != 0 {
		fmt.Fprintf(text, " rate %s", Rate(policy.RequestsPerSecond))
	}
	text.WriteByte('\n')
}

// printUpstream prints one upstream of a service.
func printUpstream(text *strings.Builder, upstream *model.Upstream) {
	_, name, _ := strings.Cut(string(upstream.ID), "/")
	fmt.Fprintf(text, "  upstream %s at %s in %s", name, upstream.Address, upstream.FailureDomain)
	if upstream.Shard != "" {
		fmt.Fprintf(text, " shard %s", upstream.Shard)
	}
	fmt.Fprintf(text, " slots %d connections %d", upstream.Slots, upstream.Connections)
	if upstream.Draining {
		text.WriteString(" draining")
	}
	text.WriteByte('\n')
}

// printRest prints convictions and leaving hosts.
func printRest(text *strings.Builder, config *model.Config) {
	for _, conviction := range config.Convictions {
		fmt.Fprintf(text, "convict %s fingerprint %s", conviction.Service, Fingerprint(conviction.Fingerprint))
		if conviction.Until != 0 {
			fmt.Fprintf(text, " until %s", Time(conviction.Until))
		}
		text.WriteByte('\n')
	}
	for _, host := range config.LeavingHosts {
		fmt.Fprintf(text, "drain host %s\n", host)
	}
}
