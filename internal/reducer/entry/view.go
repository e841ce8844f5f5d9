package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// view caches what placement computes from the members.
type view struct {
	// all is the slice that the view was made from; the other fields cover only its
	// usable members.
	all     []model.Member
	members []model.Member
	hashes  []uint64
	// domains holds each member's failure domain as a number from zero.
	domains []int
	// domainSizes holds the number of members of each failure domain.
	domainSizes []int
	// subsets caches the subset of each service.
	subsets map[model.ServiceName]cachedSubset
	// scores is a buffer for the scores of all members.
	scores []float64
}

// cachedSubset is the subset of one service.
type cachedSubset struct {
	keyHash uint64
	// picks are indexes of members, best first.
	picks []int
	// lowestScore is the lowest score of the picks.
	lowestScore float64
}

// newView returns a view of the members without any subsets.
func newView(all []model.Member) *view {
	members := usableMembers(all)
	v := &view{
		all:     all,
		members: members,
		hashes:  make([]uint64, len(members)),
		domains: make([]int, len(members)),
		subsets: make(map[model.ServiceName]cachedSubset),
		scores:  make([]float64, len(members)),
	}
	numbers := make(map[model.FailureDomain]int)
	for i := range members {
		v.hashes[i] = xxhash.Sum64String(string(members[i].Host))
		number, known := numbers[members[i].FailureDomain]
		if !known {
			number = len(numbers)
			numbers[members[i].FailureDomain] = number
			v.domainSizes = append(v.domainSizes, 0)
		}
		v.domains[i] = number
		v.domainSizes[number]++
	}
	return v
}

// isFor reports whether the view was made from the same slice.
func (v *view) isFor(all []model.Member) bool {
	if len(v.all) != len(all) || len(all) == 0 {
		return false
	}
	return &v.all[0] == &all[0]
}

// subset returns the indexes of the members that serve a service, best first.
func (v *view) subset(service model.ServiceName, size int) []int {
	if known, ok := v.subsets[service]; ok {
		return known.picks
	}
	keyHash := xxhash.Sum64String(string(service))
	for i := range v.members {
		v.scores[i] = v.score(keyHash, i)
	}
	found := cachedSubset{keyHash: keyHash, picks: v.spread(size), lowestScore: math.Inf(1)}
	for _, at := range found.picks {
		found.lowestScore = min(found.lowestScore, v.score(keyHash, at))
	}
	v.subsets[service] = found
	return found.picks
}

// spread picks up to size members. Each pick is the member with the highest score among
// those whose failure domain has the fewest picks so far.
func (v *view) spread(size int) []int {
	size = min(size, len(v.members))
	picked := make([]int, len(v.members))
	out := make([]int, 0, size)
	for len(out) < size {
		best := -1
		for i := range v.members {
			if v.scores[i] >= 0 && (best < 0 || v.prefers(i, best, picked)) {
				best = i
			}
		}
		picked[v.domains[best]]++
		v.scores[best] = -1
		out = append(out, best)
	}
	return out
}

// prefers reports whether member i is to be picked before member j. At equal scores the
// lower index wins, and thus the lower host.
func (v *view) prefers(i, j int, picked []int) bool {
	a, b := picked[v.domains[i]], picked[v.domains[j]]
	if a != b {
		return a < b
	}
	return v.scores[i] > v.scores[j]
}

// ranked is a member with its rendezvous score for a key.
type ranked struct {
	index int
	score float64
}

// rank orders members by their weighted rendezvous score for a key, highest first. Each
// member comes first for a share of the keys that is proportional to its weight, and
// removing a member does not change the order of the others.
func (v *view) rank(key string, members []int) []ranked {
	keyHash := xxhash.Sum64String(key)
	out := make([]ranked, len(members))
	for i, at := range members {
		out[i] = ranked{index: at, score: v.score(keyHash, at)}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.index, b.index)
	})
	return out
}

// hashBits is the number of bits of a hash that form a number between zero and one.
const hashBits = 53

// score returns the weighted rendezvous score of a member: its weight divided by the
// negative logarithm of a uniform number that is derived from key and member.
func (v *view) score(keyHash uint64, at int) float64 {
	hash := mix(keyHash ^ v.hashes[at])
	uniform := (float64(hash>>(64-hashBits)) + 0.5) / (1 << hashBits)
	weight := v.members[at].Weight
	if weight <= 0 {
		weight = model.DefaultHostWeight
	}
	return float64(weight) / -math.Log(uniform)
}

// mix is the 64-bit finalizer of MurmurHash3: it spreads a difference of any
// input bit over all output bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
