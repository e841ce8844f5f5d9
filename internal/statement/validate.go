package statement

import (
	"slices"

	"golang.org/x/crypto/bcrypt"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Bounds of a key hash's bcrypt cost: below MinKeyCost keys are cheap to guess, above
// MaxKeyCost a single check would block a node for too long.
const (
	MinKeyCost = 10
	MaxKeyCost = 14
)

// checkKeyHash records a hash that is not a bcrypt hash or has a cost out of bounds.
func (e *editor) checkKeyHash(hash string) {
	cost, err := bcrypt.Cost([]byte(hash))
	if err != nil {
		e.fail(RuleKeyHash, "the key hash is not a bcrypt hash; make one with 'hawthorntack ctl --new-key'")
		return
	}
	if cost < MinKeyCost || cost > MaxKeyCost {
		e.fail(RuleKeyHash, "the key hash has the cost %d; it must be from %d to %d", cost, MinKeyCost, MaxKeyCost)
	}
}

// validate checks the configuration after all changes. Some rules compare it with the
// old configuration.
func (e *editor) validate(old *model.Config) {
	for i := range e.config.Services {
		service := &e.config.Services[i]
		position, changed := e.changedServices[service.Name]
		if !changed {
			continue
		}
		e.position = position
		e.validateService(service, old.Service(service.Name))
	}
	e.validateAddresses()
	e.validateOperators()
	e.validateLockout(old)
}

// validateService checks a changed service; before is nil for a new one.
func (e *editor) validateService(service, before *model.Service) {
	if e.config.User(service.User) == nil {
		e.fail(RuleUnknown, "service %s: there is no user %s", service.Name, service.User)
	}
	e.validatePolicy(service.Name, &service.Policy)
	for i := range service.Upstreams {
		e.validateUpstream(&service.Upstreams[i])
	}
	if before == nil {
		return
	}
	if len(before.Upstreams) > 0 && len(service.Upstreams) == 0 {
		e.fail(RuleNoUpstreams, "service %s would lose its last upstream; drop the service instead", service.Name)
		return
	}
	if hasActiveUpstream(before) && !hasActiveUpstream(service) {
		e.fail(RuleNoActive, "service %s would have only draining upstreams", service.Name)
	}
}

// hasActiveUpstream reports whether a service has an upstream that is not draining.
func hasActiveUpstream(service *model.Service) bool {
	return slices.ContainsFunc(service.Upstreams, func(u model.Upstream) bool { return !u.Draining })
}

// validatePolicy checks a service's policy.
func (e *editor) validatePolicy(name model.ServiceName, policy *model.Policy) {
	if policy.Deadline <= 0 {
		e.fail(RuleDeadline, "service %s: the deadline must be greater than zero", name)
	}
	if policy.AnswerBy > policy.Deadline {
		e.fail(RuleDeadline, "service %s: answer by %s is after the deadline %s", name, policy.AnswerBy, policy.Deadline)
	}
	if policy.MinCoverage < 0 || policy.MinCoverage > 100 {
		e.fail(RuleCoverage, "service %s: coverage at least %s is not from 0%% to 100%%", name, Percent(policy.MinCoverage))
	}
	if policy.HedgeBudget < 0 || policy.HedgeBudget > 100 {
		e.fail(RuleBudget, "service %s: hedge budget %s is not from 0%% to 100%%", name, Percent(policy.HedgeBudget))
	}
	if policy.RetryBudget < 0 || policy.RetryBudget > 100 {
		e.fail(RuleBudget, "service %s: retry budget %s is not from 0%% to 100%%", name, Percent(policy.RetryBudget))
	}
	if !policy.Repeatable && policy.HedgeBudget > 0 {
		e.fail(RuleHedge, "service %s: a service that is not repeatable cannot have a hedge budget", name)
	}
	if policy.QueueWait > policy.Deadline {
		e.fail(RuleQueue, "service %s: wait %s is longer than the deadline %s", name, policy.QueueWait, policy.Deadline)
	}
}

// validateUpstream checks the limits of an upstream.
func (e *editor) validateUpstream(upstream *model.Upstream) {
	position, changed := e.changedUpstreams[upstream.ID]
	if !changed {
		position = e.position
	}
	if upstream.Slots < 1 {
		e.failAt(position, RuleSlots, "upstream %s: slots must be at least 1", upstream.ID)
	}
	if upstream.Slots > upstream.MaxConnections {
		e.failAt(position, RuleSlots, "upstream %s: %d slots exceed its %d connections", upstream.ID, upstream.Slots, upstream.MaxConnections)
	}
}

// validateAddresses records upstreams that share an address with an upstream of a
// changed service: the limits of that address would be counted twice.
func (e *editor) validateAddresses() {
	changed := e.changedAddresses()
	if len(changed) == 0 {
		return
	}
	for i := range e.config.Services {
		service := &e.config.Services[i]
		for j := range service.Upstreams {
			upstream := &service.Upstreams[j]
			owner, ok := changed[upstream.Address]
			if ok && owner != upstream.ID {
				e.failDuplicateAddress(owner, upstream)
			}
		}
	}
}

// changedAddresses maps the addresses of the changed services' upstreams to the first
// upstream with each address.
func (e *editor) changedAddresses() map[string]model.UpstreamID {
	changed := make(map[string]model.UpstreamID)
	for i := range e.config.Services {
		service := &e.config.Services[i]
		if _, isChanged := e.changedServices[service.Name]; !isChanged {
			continue
		}
		for _, upstream := range service.Upstreams {
			if _, taken := changed[upstream.Address]; !taken {
				changed[upstream.Address] = upstream.ID
			}
		}
	}
	return changed
}

// failDuplicateAddress records a shared address at the statement that introduced it.
func (e *editor) failDuplicateAddress(first model.UpstreamID, upstream *model.Upstream) {
	position, changed := e.changedUpstreams[upstream.ID]
	if !changed {
		position = e.changedUpstreams[first]
	}
	e.failAt(position, RuleDuplicateAddress, "upstreams %s and %s have the same address %s", first, upstream.ID, upstream.Address)
}

// validateOperators records operators that are limited to unknown users.
func (e *editor) validateOperators() {
	for _, operator := range e.config.Operators {
		if operator.User != "" && e.config.User(operator.User) == nil {
			e.failAt(Position{}, RuleUnknown, "operator %s: there is no user %s", operator.Name, operator.User)
		}
	}
}

// validateLockout records a problem if operators exist, or existed, and all are
// limited to a user: nobody could administer the whole configuration any more.
func (e *editor) validateLockout(old *model.Config) {
	isUnlimited := func(o model.Operator) bool { return o.User == "" }
	hasOperators := len(old.Operators) > 0 || len(e.config.Operators) > 0
	if hasOperators && !slices.ContainsFunc(e.config.Operators, isUnlimited) {
		e.fail(RuleLockout, "at least one operator must remain that is not limited to a user")
	}
}
