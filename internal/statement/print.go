package statement

import (
	"fmt"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// printedObject is the printed form of one object of a configuration.
type printedObject struct {
	// key identifies the object, such as "service counter-1".
	key  string
	text string
}

// Print returns statements that create the configuration from an empty one. They
// contain the operators' key hashes; PrintPublic omits those.
func Print(config *model.Config) string { return joinObjects(printObjects(config, printOperator)) }

// PrintPublic is like Print but prints operators as comments without key hashes, for
// display.
func PrintPublic(config *model.Config) string {
	return joinObjects(printObjects(config, printOperatorName))
}

// joinObjects concatenates the texts of objects.
func joinObjects(objects []printedObject) string {
	var text strings.Builder
	for _, o := range objects {
		text.WriteString(o.text)
	}
	return text.String()
}

// printObjects prints each object, in an order in which the statements can be applied.
func printObjects(config *model.Config, printOne func(model.Operator) string) []printedObject {
	var printed []printedObject
	for _, user := range config.Users {
		printed = append(printed, printedObject{"user " + string(user.ID), printUser(user)})
	}
	for i := range config.Services {
		service := &config.Services[i]
		printed = append(printed, printedObject{"service " + string(service.Name), printService(service)})
	}
	for _, o := range config.Operators {
		printed = append(printed, printedObject{"operator " + string(o.Name), printOne(o)})
	}
	for _, block := range config.Blocks {
		key := fmt.Sprintf("conviction %s %s", block.Service, Fingerprint(block.Fingerprint))
		printed = append(printed, printedObject{key, printBlock(block)})
	}
	for _, host := range config.LeavingHosts {
		printed = append(printed, printedObject{"host " + string(host), fmt.Sprintf("drain host %s\n", host)})
	}
	return printed
}

// printUser prints a user.
func printUser(user model.User) string {
	var text strings.Builder
	fmt.Fprintf(&text, "create user %s weight %d", user.ID, user.Weight)
	if user.RequestsPerSecond != 0 {
		fmt.Fprintf(&text, " rate %s", Rate(user.RequestsPerSecond))
	}
	if user.MaxInFlight != 0 {
		fmt.Fprintf(&text, " in flight %d", user.MaxInFlight)
	}
	text.WriteByte('\n')
	return text.String()
}

// printOperator prints an operator with the hash of its key.
func printOperator(operator model.Operator) string {
	return fmt.Sprintf("create operator %s%s key hash '%s'\n", operator.Name, forUser(operator), operator.KeyHash)
}

// printOperatorName prints an operator as a comment. A digest of the key hash shows
// in a diff that the key was rotated.
func printOperatorName(operator model.Operator) string {
	return fmt.Sprintf("-- operator %s%s, key %s\n", operator.Name, forUser(operator), keyDigest(operator.KeyHash))
}

// forUser returns the clause that limits an operator to a user, or "".
func forUser(operator model.Operator) string {
	if operator.User == "" {
		return ""
	}
	return " for " + string(operator.User)
}

// printService prints a service with its upstreams.
func printService(service *model.Service) string {
	var text strings.Builder
	fmt.Fprintf(&text, "create service %s for %s\n", service.Name, service.User)
	printPolicy(&text, &service.Policy)
	for i := range service.Upstreams {
		printUpstream(&text, &service.Upstreams[i])
	}
	return text.String()
}

// printPolicy prints every setting of a policy.
func printPolicy(text *strings.Builder, policy *model.Policy) {
	answer := "answer at deadline"
	if policy.AnswerBy != 0 {
		answer = "answer by " + Duration(policy.AnswerBy).String()
	}
	fmt.Fprintf(text, "  %s deadline %s coverage at least %s\n", answer, Duration(policy.Deadline), Percent(policy.MinCoverage))
	fmt.Fprintf(text, "  repeat %s hedge budget %s retry budget %s\n",
		YesNo(policy.Repeatable), Percent(policy.HedgeBudget), Percent(policy.RetryBudget))
	fmt.Fprintf(text, "  refuse queue %d wait %s", policy.QueueLimit, Duration(policy.QueueWait))
	if policy.RequestsPerSecond != 0 {
		fmt.Fprintf(text, " rate %s", Rate(policy.RequestsPerSecond))
	}
	if policy.NoCanary {
		text.WriteString(" canary no")
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
	fmt.Fprintf(text, " slots %d connections %d", upstream.Slots, upstream.MaxConnections)
	if upstream.Draining {
		text.WriteString(" draining")
	}
	text.WriteByte('\n')
}

// printBlock prints the block of request content.
func printBlock(block model.Block) string {
	until := ""
	if block.Until != 0 {
		until = " until " + Time(block.Until).String()
	}
	return fmt.Sprintf("convict %s fingerprint %s%s\n", block.Service, Fingerprint(block.Fingerprint), until)
}
