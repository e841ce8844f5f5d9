package registry

import (
	"strconv"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// metricOutdated counts the entries of upstreams that are older than one seen before.
const metricOutdated effect.Metric = "registry_outdated_entries_total"

// seenEntry is the newest entry that the node has seen of an upstream's instance.
type seenEntry struct {
	incarnation uint64
	sequence    uint64
}

// isNewerThan reports whether the entry is newer than a registration of the same instance.
// The order of upstreams that state no incarnation is not known.
func (e seenEntry) isNewerThan(r model.Registration) bool {
	if e.incarnation == 0 || r.Incarnation == 0 {
		return false
	}
	return r.Incarnation < e.incarnation || r.Incarnation == e.incarnation && r.Sequence < e.sequence
}

// observeOrder records the entries that were read, and reports those that are older than one
// seen before.
func (u *upstreams) observeOrder(ctx *step.Context, read []model.Registration) {
	for _, r := range read {
		if seen, found := u.seen[r.Instance]; found && seen.isNewerThan(r) {
			logOutdated(ctx, r, seen)
			continue
		}
		u.seen[r.Instance] = seenEntry{incarnation: r.Incarnation, sequence: r.Sequence}
	}
}

// logOutdated logs and counts an entry that is older than one seen before.
func logOutdated(ctx *step.Context, r model.Registration, seen seenEntry) {
	ctx.Count(metricOutdated, "")
	ctx.Log(effect.Warning, component, "outdated entry of an upstream",
		effect.Field{Name: "upstream", Value: string(r.Upstream.ID)},
		effect.Field{Name: "draining", Value: strconv.FormatBool(r.Upstream.Draining)},
		effect.Field{Name: "sequence", Value: strconv.FormatUint(r.Sequence, 10)},
		effect.Field{Name: "seen_sequence", Value: strconv.FormatUint(seen.sequence, 10)})
}
