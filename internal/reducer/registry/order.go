package registry

import (
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// Upstreams number their entries, because a write that the store has not answered may be done
// seconds later, after other writes of the same upstream. The store keeps what was written
// last; a node keeps what was sent last.

// metricOutdated counts the entries of upstreams that are older than one seen before.
const metricOutdated effect.Metric = "registry_outdated_entries_total"

// forgetRemovedAfter is how long the last entry of an instance is remembered after its removal:
// longer than any write may be delayed.
const forgetRemovedAfter = 30 * time.Second

// seenEntry is the newest entry that the node has seen of an upstream's instance.
type seenEntry struct {
	registration model.Registration
	// removedAt is when the registry was found to list the instance no longer; zero while it
	// lists it.
	removedAt model.Instant
	// isGone means that the instance had left before the registry came back from an older copy.
	isGone bool
	// rejected is the newest entry that was taken for outdated, and advances counts how often
	// such entries were followed by newer ones.
	rejected model.Registration
	advances int
}

// isOlder reports whether one entry of an instance was sent before another.
func isOlder(a, b *model.Registration) bool {
	return a.Incarnation < b.Incarnation || a.Incarnation == b.Incarnation && a.Sequence < b.Sequence
}

// maxAdvances is the number of times that outdated entries may follow each other in order before
// they are taken for the upstream's own. More writes of one upstream are not delayed at the same
// time; the entry that seemed newer then came from another writer.
const maxAdvances = 4

// reject records an entry that is older than the newest one seen, and reports whether it is to
// be taken for outdated.
func (e *seenEntry) reject(r model.Registration) bool {
	if isOlder(&e.rejected, &r) {
		e.rejected = r
		e.advances++
	}
	return e.advances <= maxAdvances
}

// isBack reports whether the instance, which was gone before the registry came back from an older
// copy, writes again. The first entry that is found may be that of the copy.
func (e *seenEntry) isBack(r model.Registration) bool {
	if e.rejected.Instance == "" {
		e.rejected = r
		return false
	}
	return isOlder(&e.rejected, &r)
}

// supersedes reports whether the entry is newer than a registration of the same instance. The
// order is not known for an upstream that states no incarnation.
func (e *seenEntry) supersedes(r model.Registration) bool {
	own := &e.registration
	return own.Incarnation != 0 && r.Incarnation != 0 && isOlder(&r, own)
}

// dropOutdated returns the list without outdated entries: an instance has its newest entry
// instead, or none if the registry was found to have removed that one.
func (u *upstreams) dropOutdated(ctx *step.Context, read []model.Registration) []model.Registration {
	if len(read) > 0 && len(read) == len(u.lastRead) && &read[0] == &u.lastRead[0] {
		// Another node has confirmed the list in use.
		return read
	}
	current := make([]model.Registration, 0, len(read))
	found := make(map[string]bool, len(read))
	for _, r := range read {
		found[r.Instance] = true
		seen := u.seen[r.Instance]
		switch {
		case seen == nil:
			u.seen[r.Instance] = &seenEntry{registration: r}
		case seen.isGone && !seen.isBack(r):
			continue
		case !seen.supersedes(r) || !seen.reject(r):
			*seen = seenEntry{registration: r}
		case seen.removedAt == 0:
			logOutdated(ctx, r, &seen.registration)
			r = seen.registration
		default:
			logOutdated(ctx, r, &seen.registration)
			continue
		}
		current = append(current, r)
	}
	u.markRemoved(ctx.Now, found)
	return current
}

// markRemoved marks the instances that were not found as removed, and forgets those that were
// removed long ago.
func (u *upstreams) markRemoved(now model.Instant, found map[string]bool) {
	for instance, seen := range u.seen {
		switch {
		case found[instance]:
		case seen.removedAt == 0:
			seen.removedAt = now
		case now.Sub(seen.removedAt) > forgetRemovedAfter:
			delete(u.seen, instance)
		}
	}
}

// logOutdated logs and counts an entry that is older than one seen before.
func logOutdated(ctx *step.Context, r model.Registration, seen *model.Registration) {
	ctx.Count(metricOutdated, "")
	ctx.Log(effect.Warning, component, "outdated entry of an upstream",
		effect.Field{Name: "upstream", Value: string(r.Upstream.ID)},
		effect.Field{Name: "draining", Value: strconv.FormatBool(r.Upstream.Draining)},
		effect.Field{Name: "sequence", Value: strconv.FormatUint(r.Sequence, 10)},
		effect.Field{Name: "seen_sequence", Value: strconv.FormatUint(seen.Sequence, 10)})
}
