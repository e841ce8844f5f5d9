package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

// Settings are a coordinator's policies. The zero value is the policy for
// production; the fields are the baselines of experiments M1 and M5.
type Settings struct {
	// FixedHedgeDelay sends a hedge after this time, without a budget, in place
	// of the budgeted quantile.
	FixedHedgeDelay time.Duration
	// RandomReplica chooses among the usable replicas at random, without regard
	// to slots, latencies or failure domains.
	RandomReplica bool
	// NoProbe scatters searches of unknown content at once, without a canary.
	NoProbe bool
	// Preference chooses among the versions of the greatest coverage. Newest is
	// the baseline of experiment M5.
	Preference snapshot.Preference
}
