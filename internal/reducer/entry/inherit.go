package entry

import (
	"slices"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// maxChanges is the number of members that may come and go between two views
// for the subsets to be carried over. With more, few subsets would stay.
const maxChanges = 64

// gone marks a member that is not in the next view.
const gone = -1

// change is the difference between the members of two views.
type change struct {
	// next maps indexes of the earlier view to the later one, or to gone.
	next []int
	// added holds indexes of the later view.
	added   []int
	removed int
	// kept holds, for each failure domain of the later view, how many of its
	// members the earlier view had too.
	kept []int
}

// inherit carries over from an earlier view the subsets that the difference
// cannot have changed. At the size of a large fleet a member comes or goes every
// few seconds, and working out every service's subset anew takes too long for
// an event.
func (v *view) inherit(earlier *view, size int) {
	c := v.changeSince(earlier)
	if len(c.added)+c.removed > maxChanges {
		return
	}
	for service, before := range earlier.subsets {
		if picks, ok := v.carryOver(before, c, size); ok {
			v.subsets[service] = placed{keyHash: before.keyHash, picks: picks, lowest: before.lowest}
		}
	}
}

// follow takes over descriptions of the same members that differ in nothing that
// matters to placement, such as their revisions. It reports false if there is
// more of a difference.
func (v *view) follow(all []model.Member) bool {
	members := usable(all)
	alike := func(a, b model.Member) bool { return a.Host == b.Host && isPlacedAlike(a, b) }
	if !slices.EqualFunc(v.members, members, alike) {
		return false
	}
	v.all = all
	v.members = members
	return true
}

// changeSince compares the members of two views, which are ordered by host.
func (v *view) changeSince(earlier *view) change {
	c := change{next: make([]int, len(earlier.members)), kept: make([]int, len(v.sizes))}
	i, j := 0, 0
	for i < len(earlier.members) || j < len(v.members) {
		switch order := compareAt(earlier.members, i, v.members, j); {
		case order < 0:
			c.next[i] = gone
			c.removed++
			i++
		case order > 0:
			c.added = append(c.added, j)
			j++
		case isPlacedAlike(earlier.members[i], v.members[j]):
			c.next[i] = j
			c.kept[v.domains[j]]++
			i++
			j++
		default:
			c.next[i] = gone
			c.removed++
			c.added = append(c.added, j)
			i++
			j++
		}
	}
	return c
}

// compareAt compares the hosts at two places; the end of a list comes last.
func compareAt(a []model.Member, i int, b []model.Member, j int) int {
	switch {
	case i == len(a):
		return 1
	case j == len(b):
		return -1
	default:
		return strings.Compare(string(a[i].Host), string(b[j].Host))
	}
}

// isPlacedAlike reports whether placement makes no difference between two
// descriptions of a host.
func isPlacedAlike(a, b model.Member) bool {
	return a.FailureDomain == b.FailureDomain && a.Weight == b.Weight
}

// carryOver returns the picks of an earlier subset as indexes of this view, and
// false if the difference may have changed the subset. A member that went
// changes only the subsets that it was in. A member that came is not picked if
// its score is below all picks and its failure domain had a member left over:
// wherever it is considered, that other member was considered and lost against
// one of the picks.
func (v *view) carryOver(before placed, c change, size int) ([]int, bool) {
	if len(before.picks) < size && len(c.added) > 0 {
		return nil, false
	}
	picks := make([]int, len(before.picks))
	for i, at := range before.picks {
		if c.next[at] == gone {
			return nil, false
		}
		picks[i] = c.next[at]
	}
	for _, at := range c.added {
		if v.score(before.keyHash, at) >= before.lowest || !v.hasSpare(v.domains[at], picks, c) {
			return nil, false
		}
	}
	return picks, true
}

// hasSpare reports whether a failure domain has a member that was there before
// and is not among the picks.
func (v *view) hasSpare(domain int, picks []int, c change) bool {
	left := c.kept[domain]
	for _, at := range picks {
		if v.domains[at] == domain {
			left--
		}
	}
	return left > 0
}
