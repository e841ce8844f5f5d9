package relay

import (
	"github.com/hawthorntack/hawthorntack/internal/reducer/query/budget"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// All nodes share one budget of extra attempts at each service. When many upstreams refuse
// or lose requests it does not suffice for all retries and hedges. It then goes to required
// retries, without which a request fails: an answer may lack some parts, and a slow part
// only makes it late.

// requiredReserve is the share of a node's slack that only required retries may use.
const requiredReserve = 0.4

// initialSlackShare is the fraction of its share of the slack that a node gets when it
// starts. It is below one because the initial slack of restarted nodes adds up.
const initialSlackShare = 0.5

// The fractions of the shared budget that the nodes use. The rest is a safety margin: for
// seconds after a membership change, the nodes disagree on their number.
const (
	usedBudgetShare = 0.85
	usedSlackShare  = 0.7
)

// extraLimits returns this node's share of a service's budget.
func (s *State) extraLimits() budget.Limits {
	return budget.Limits{
		Share: s.settings.ExtraAttemptBudget * usedBudgetShare,
		Burst: s.settings.ExtraAttemptSlack * usedSlackShare * s.sharing.slackShare(),
	}
}

// bucketLimits returns the limits of a service's bucket. A bucket holds at least one token:
// in a large fleet the share of the slack is smaller, and the tokens that first attempts
// earn would never add up to an extra attempt.
func (s *State) bucketLimits() budget.Limits {
	limits := s.extraLimits()
	limits.Burst = max(1, limits.Burst)
	return limits
}

// grantInitialSlack grants a service's initial slack when the service is first used: only
// then does a node that has just started know its share of the slack.
func (s *State) grantInitialSlack(svc *service) {
	if !svc.slackGranted {
		svc.slackGranted = true
		svc.extraAttempts.Grant(s.extraLimits().Burst * initialSlackShare)
	}
}

// depositFirst records a first attempt at a service in its budget.
func (s *State) depositFirst(ctx *step.Context, svc *service) {
	s.grantInitialSlack(svc)
	svc.extraAttempts.Deposit(s.bucketLimits())
	if s.settings.BudgetWindow > 0 {
		svc.recentAttempts.AddFirst(ctx.Now, s.settings.BudgetWindow)
	}
}

// takeExtra takes an extra attempt at a service from its budget, and reports whether there
// was one, for attempts that are not required beyond the reserve. The slack is refilled over
// the length of the window, so that it lasts through a long disturbance. In a fleet with few
// requests for each shard it is the larger part of the budget.
func (s *State) takeExtra(ctx *step.Context, svc *service, required bool) bool {
	s.grantInitialSlack(svc)
	limits, bucketLimits := s.extraLimits(), s.bucketLimits()
	reserve := 0.0
	if !required {
		// A bucket of one token has no reserve, since it would hold all of it.
		reserve = requiredReserve * (bucketLimits.Burst - 1)
	}
	window := s.settings.BudgetWindow
	if window <= 0 {
		return svc.extraAttempts.TakeAbove(reserve)
	}
	if svc.refilledAt != 0 {
		svc.extraAttempts.Refill(limits.Burst*float64(ctx.Now.Sub(svc.refilledAt))/float64(window), bucketLimits)
	}
	svc.refilledAt = ctx.Now
	if svc.recentAttempts.Left(ctx.Now, window, limits) < 1+reserve || !svc.extraAttempts.TakeAbove(reserve) {
		return false
	}
	svc.recentAttempts.AddExtra(ctx.Now, window)
	return true
}
