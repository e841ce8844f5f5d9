package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// view is what placement has worked out of one view of the members.
type view struct {
	// all is the view; the rest is of its usable members.
	all     []model.Member
	members []model.Member
	hashes  []uint64
	// domains numbers the members' failure domains from zero.
	domains []int
	// sizes holds the number of members of each failure domain.
	sizes []int
	// subsets caches the subsets.
	subsets map[model.ServiceName]placed
	// scores is room for the scores of all members.
	scores []float64
}

// placed is the subset of one service.
type placed struct {
	keyHash uint64
	// picks are indexes of members, best first.
	picks []int
	// lowest is the lowest score of the picks.
	lowest float64
}

// newView prepares a view.
func newView(all []model.Member) *view {
	members := usable(all)
	v := &view{
		all:     all,
		members: members,
		hashes:  make([]uint64, len(members)),
		domains: make([]int, len(members)),
		subsets: make(map[model.ServiceName]placed),
		scores:  make([]float64, len(members)),
	}
	numbers := make(map[model.FailureDomain]int)
	for i := range members {
		v.hashes[i] = xxhash.Sum64String(string(members[i].Host))
		number, known := numbers[members[i].FailureDomain]
		if !known {
			number = len(numbers)
			numbers[members[i].FailureDomain] = number
			v.sizes = append(v.sizes, 0)
		}
		v.domains[i] = number
		v.sizes[number]++
	}
	return v
}

// isOf reports whether the view was made of this very slice.
func (v *view) isOf(all []model.Member) bool {
	if len(v.all) != len(all) || len(all) == 0 {
		return false
	}
	return &v.all[0] == &all[0]
}

// subset returns the members that serve a service, best first.
func (v *view) subset(service model.ServiceName, size int) []int {
	if known, ok := v.subsets[service]; ok {
		return known.picks
	}
	keyHash := xxhash.Sum64String(string(service))
	for i := range v.members {
		v.scores[i] = v.score(keyHash, i)
	}
	found := placed{keyHash: keyHash, picks: v.spread(size), lowest: math.Inf(1)}
	for _, at := range found.picks {
		found.lowest = min(found.lowest, v.score(keyHash, at))
	}
	v.subsets[service] = found
	return found.picks
}

// spread picks up to size members by their scores: each time the best of those
// whose failure domain was picked least often.
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

// prefers reports whether member i is to be picked before member j. The members
// are ordered by host, so the lower index wins between equal scores.
func (v *view) prefers(i, j int, picked []int) bool {
	a, b := picked[v.domains[i]], picked[v.domains[j]]
	if a != b {
		return a < b
	}
	return v.scores[i] > v.scores[j]
}

// ranked is a member with its rendezvous score for a key.
type ranked struct {
	at    int
	score float64
}

// rank orders some members by their weighted rendezvous score for a key, highest
// first. Each member comes first for a share of the keys that is proportional to
// its weight, and the loss of a member leaves the order of the others as it was.
func (v *view) rank(key string, members []int) []ranked {
	keyHash := xxhash.Sum64String(key)
	out := make([]ranked, len(members))
	for i, at := range members {
		out[i] = ranked{at: at, score: v.score(keyHash, at)}
	}
	slices.SortFunc(out, func(a, b ranked) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.at, b.at)
	})
	return out
}

// hashBits is how many bits of a hash make a number between zero and one.
const hashBits = 53

// score is the weighted rendezvous score of a member: the weight divided by the
// negative logarithm of a uniform number that key and member determine.
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
