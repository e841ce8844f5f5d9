package entry

import (
	"slices"
	"strings"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// maxMemberChanges is the largest number of members added and removed between two views
// for which subsets are reused. With more changes few subsets would remain valid.
const maxMemberChanges = 64

// removedIndex marks a member that the later view does not have.
const removedIndex = -1

// memberDiff is the difference between the members of two views.
type memberDiff struct {
	// newIndex maps indexes of the earlier view to those of the later one, or to
	// removedIndex.
	newIndex []int
	// added holds indexes of the later view.
	added   []int
	removed int
	// keptByDomain holds, for each failure domain of the later view, how many of its
	// members the earlier view has too.
	keptByDomain []int
}

// reuseSubsets copies from an earlier view the subsets that the difference between the
// views cannot have changed. In a large fleet a member is added or removed every few
// seconds, and computing every service's subset again takes too long for one event.
func (v *view) reuseSubsets(earlier *view, size int) {
	diff := v.diffFrom(earlier)
	if len(diff.added)+diff.removed > maxMemberChanges {
		return
	}
	for service, before := range earlier.subsets {
		if picks, ok := v.remapSubset(before, diff, size); ok {
			v.subsets[service] = cachedSubset{keyHash: before.keyHash, picks: picks, lowestScore: before.lowestScore}
		}
	}
}

// updateMembers replaces the members by newer descriptions that do not affect
// placement, such as with other revisions. It reports false if the difference is
// greater.
func (v *view) updateMembers(all []model.Member) bool {
	members := usableMembers(all)
	same := func(a, b model.Member) bool { return a.Host == b.Host && hasSamePlacement(a, b) }
	if !slices.EqualFunc(v.members, members, same) {
		return false
	}
	v.all = all
	v.members = members
	return true
}

// diffFrom compares the members of two views, which are ordered by host.
func (v *view) diffFrom(earlier *view) memberDiff {
	diff := memberDiff{newIndex: make([]int, len(earlier.members)), keptByDomain: make([]int, len(v.domainSizes))}
	i, j := 0, 0
	for i < len(earlier.members) || j < len(v.members) {
		switch order := compareAt(earlier.members, i, v.members, j); {
		case order < 0:
			diff.newIndex[i] = removedIndex
			diff.removed++
			i++
		case order > 0:
			diff.added = append(diff.added, j)
			j++
		case hasSamePlacement(earlier.members[i], v.members[j]):
			diff.newIndex[i] = j
			diff.keptByDomain[v.domains[j]]++
			i++
			j++
		default:
			diff.newIndex[i] = removedIndex
			diff.removed++
			diff.added = append(diff.added, j)
			i++
			j++
		}
	}
	return diff
}

// compareAt compares the hosts a[i] and b[j]; the end of a list sorts last.
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

// hasSamePlacement reports whether two descriptions of a host are equal for placement.
func hasSamePlacement(a, b model.Member) bool {
	return a.FailureDomain == b.FailureDomain && a.Weight == b.Weight
}

// remapSubset returns the picks of an earlier subset as indexes of this view, and false
// if the difference may have changed the subset. A removed member changes only the
// subsets that contain it. An added member is not picked if its score is below those of
// all picks and its failure domain has another unpicked member that was there before:
// wherever the added member would be considered, that other member was considered too
// and lost against one of the picks.
func (v *view) remapSubset(before cachedSubset, diff memberDiff, size int) ([]int, bool) {
	if len(before.picks) < size && len(diff.added) > 0 {
		return nil, false
	}
	picks := make([]int, len(before.picks))
	for i, at := range before.picks {
		if diff.newIndex[at] == removedIndex {
			return nil, false
		}
		picks[i] = diff.newIndex[at]
	}
	for _, at := range diff.added {
		if v.score(before.keyHash, at) >= before.lowestScore || !v.hasSpare(v.domains[at], picks, diff) {
			return nil, false
		}
	}
	return picks, true
}

// hasSpare reports whether a failure domain has a member that the earlier view has too
// and that is not picked.
func (v *view) hasSpare(domain int, picks []int, diff memberDiff) bool {
	left := diff.keptByDomain[domain]
	for _, at := range picks {
		if v.domains[at] == domain {
			left--
		}
	}
	return left > 0
}
