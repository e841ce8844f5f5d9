package statement

import (
	"slices"

	"golang.org/x/crypto/bcrypt"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Bounds of a key hash's cost: below, guessing is cheap; above, one check would
// hold up a node.
const (
	MinKeyCost = 10
	MaxKeyCost = 14
)

// checkKeyHash notes a hash that no key could be checked against.
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

// validate notes what would be broken once all changes are made.
func (e *editor) validate(old *model.Config) {
	for i := range e.config.Services {
		service := &e.config.Services[i]
		place, touched := e.touched[service.Name]
		if !touched {
			continue
		}
		e.position = place
		e.validateService(service, old.Service(service.Name))
	}
	e.validateAddresses()
	e.validateOperators()
	e.validateLockout(old)
}

// validateService notes what is wrong with a changed service; before is nil for
// a new one.
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
	if isServed(before) && !isServed(service) {
		e.fail(RuleNoActive, "service %s would have only draining upstreams", service.Name)
	}
}

// isServed reports whether a service has an upstream that takes new work.
func isServed(service *model.Service) bool {
	return slices.ContainsFunc(service.Upstreams, func(u model.Upstream) bool { return !u.Draining })
}

// validatePolicy notes what is wrong with a policy.
func (e *editor) validatePolicy(name model.ServiceName, policy *model.Policy) {
	if policy.Deadline <= 0 {
		e.fail(RuleDeadline, "service %s: the deadline must be over zero", name)
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
		e.fail(RuleHedge, "service %s: work that may not be repeated has no hedge budget", name)
	}
	if policy.QueueWait > policy.Deadline {
		e.fail(RuleQueue, "service %s: wait %s is longer than the deadline %s", name, policy.QueueWait, policy.Deadline)
	}
}

// validateUpstream notes what is wrong with an upstream.
func (e *editor) validateUpstream(upstream *model.Upstream) {
	place, changed := e.upstreams[upstream.ID]
	if !changed {
		place = e.position
	}
	if upstream.Slots < 1 {
		e.failAt(place, RuleSlots, "upstream %s: slots must be at least 1", upstream.ID)
	}
	if upstream.Slots > upstream.MaxConnections {
		e.failAt(place, RuleSlots, "upstream %s: %d slots are over its %d connections", upstream.ID, upstream.Slots, upstream.MaxConnections)
	}
}

// validateAddresses notes two upstreams of one address, where either was
// changed: their limits would be counted twice.
func (e *editor) validateAddresses() {
	changed := e.changedAddresses()
	if len(changed) == 0 {
		return
	}
	for i := range e.config.Services {
		service := &e.config.Services[i]
		for j := range service.Upstreams {
			upstream := &service.Upstreams[j]
			holder, ok := changed[upstream.Address]
			if ok && holder != upstream.ID {
				e.failDuplicate(holder, upstream)
			}
		}
	}
}

// changedAddresses returns the addresses of the touched services' upstreams with
// their holders; of several holders, the first.
func (e *editor) changedAddresses() map[string]model.UpstreamID {
	changed := make(map[string]model.UpstreamID)
	for i := range e.config.Services {
		service := &e.config.Services[i]
		if _, touched := e.touched[service.Name]; !touched {
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

// failDuplicate notes a shared address at the statement that brought it in.
func (e *editor) failDuplicate(holder model.UpstreamID, upstream *model.Upstream) {
	place, changed := e.upstreams[upstream.ID]
	if !changed {
		place = e.upstreams[holder]
	}
	e.failAt(place, RuleDuplicateAddress, "upstreams %s and %s have the same address %s", holder, upstream.ID, upstream.Address)
}

// validateOperators notes operators of unknown users.
func (e *editor) validateOperators() {
	for _, operator := range e.config.Operators {
		if operator.User != "" && e.config.User(operator.User) == nil {
			e.failAt(Position{}, RuleUnknown, "operator %s: there is no user %s", operator.Name, operator.User)
		}
	}
}

// validateLockout notes that nobody could administer all users any more: once
// there are operators, one of them is not limited to a user.
func (e *editor) validateLockout(old *model.Config) {
	isUnlimited := func(o model.Operator) bool { return o.User == "" }
	hasOperators := len(old.Operators) > 0 || len(e.config.Operators) > 0
	if hasOperators && !slices.ContainsFunc(e.config.Operators, isUnlimited) {
		e.fail(RuleLockout, "one operator must remain who is not limited to a user")
	}
}
