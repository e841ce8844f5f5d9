package query

import "time"

// Settings are a coordinator's policies. The zero value is the policy for
// production; the fields are the baselines of experiment M1.
type Settings struct {
	// FixedHedgeDelay sends a hedge after this time, without a budget, in place
	// of the budgeted quantile.
	FixedHedgeDelay time.Duration
	// RandomReplica chooses among the usable replicas at random, without regard
	// to slots, latencies or failure domains.
	RandomReplica bool
}
