package query

import (
	"time"

	"github.com/hawthorntack/hawthorntack/internal/reducer/snapshot"
)

// Settings are a coordinator's policies. The zero value is used in production; the
// fields select the baselines of experiments M1, M5 and M6.
type Settings struct {
	// FixedHedgeDelay replaces the latency quantile after which a hedge is sent. Such
	// hedges are not limited by a budget. Zero means that the quantile is used.
	FixedHedgeDelay time.Duration
	// RandomReplica chooses among the usable replicas at random, regardless of slots,
	// latencies and failure domains.
	RandomReplica bool
	// NoCanary scatters searches of unknown content immediately, without a canary.
	NoCanary bool
	// Preference chooses among the versions at which the most keys can be searched.
	// Newest is the baseline of experiment M5.
	Preference snapshot.Preference
}
