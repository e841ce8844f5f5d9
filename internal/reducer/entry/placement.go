package entry

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Subset returns the nodes that serve the callers of a service, best first. The
// nodes are spread over failure domains. It is empty only if there are no
// members at all.
func (s *State) Subset(service model.ServiceName, members []model.Member) []model.Member {
	ranked := rank(string(service), usable(members))
	return spread(ranked, s.settings.SubsetSize)
}

// Dispatchers returns the nodes that hold connections to an upstream, best
// first: the leading nodes of the service's subset in the upstream's own order.
func (s *State) Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID {
	subset := s.Subset(upstream.Service(), members)
	ranked := rank(string(upstream), subset)
	hosts := make([]model.HostID, 0, s.settings.Dispatchers)
	for i := 0; i < len(ranked) && i < s.settings.Dispatchers; i++ {
		hosts = append(hosts, ranked[i].member.Host)
	}
	return hosts
}

// MaxDispatchers returns how many nodes dispatch for one upstream while enough
// members are known.
func (s *State) MaxDispatchers() int { return s.settings.Dispatchers }

// placementOrder lists the states in the order in which members are preferred.
var placementOrder = [...]model.MemberState{model.Serving, model.Starting, model.Suspected, model.Leaving}

// usable returns the members in the most preferred state that any member has, so
// that an answer is empty only when there are no members.
func usable(members []model.Member) []model.Member {
	for _, state := range placementOrder {
		if in := inState(members, state); len(in) > 0 {
			return in
		}
	}
	return nil
}

// inState returns the members in one state.
func inState(members []model.Member, state model.MemberState) []model.Member {
	var out []model.Member
	for _, m := range members {
		if m.State == state {
			out = append(out, m)
		}
	}
	return out
}

// ranked is a member with its rendezvous score for a key.
type ranked struct {
	member model.Member
	score  float64
}

// rank orders members by their weighted rendezvous score for a key, highest
// first. Each member comes first for a share of the keys that is proportional to
// its weight, and the loss of a member leaves the order of the others as it was.
func rank(key string, members []model.Member) []ranked {
	keyHash := xxhash.Sum64String(key)
	out := make([]ranked, 0, len(members))
	for _, m := range members {
		out = append(out, ranked{member: m, score: score(keyHash, m)})
	}
	slices.SortFunc(out, func(a, b ranked) int {
		if a.score != b.score {
			return cmp.Compare(b.score, a.score)
		}
		return cmp.Compare(a.member.Host, b.member.Host)
	})
	return out
}

// hashBits is how many bits of a hash make a number between zero and one.
const hashBits = 53

// score is the weighted rendezvous score of a member: the weight divided by the
// negative logarithm of a uniform number that key and member determine.
func score(keyHash uint64, m model.Member) float64 {
	hash := mix(keyHash ^ xxhash.Sum64String(string(m.Host)))
	uniform := (float64(hash>>(64-hashBits)) + 0.5) / (1 << hashBits)
	weight := m.Weight
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

// spread picks up to size members: each time the best of those whose failure
// domain was picked least often.
func spread(ranked []ranked, size int) []model.Member {
	picked := make(map[model.FailureDomain]int)
	out := make([]model.Member, 0, min(size, len(ranked)))
	taken := make([]bool, len(ranked))
	for len(out) < size && len(out) < len(ranked) {
		best := leastPicked(ranked, taken, picked)
		taken[best] = true
		picked[ranked[best].member.FailureDomain]++
		out = append(out, ranked[best].member)
	}
	return out
}

// leastPicked returns the index of the best member that is not taken, among those
// of the least picked failure domains.
func leastPicked(ranked []ranked, taken []bool, picked map[model.FailureDomain]int) int {
	best := -1
	for i := range ranked {
		if taken[i] {
			continue
		}
		if best < 0 || picked[ranked[i].member.FailureDomain] < picked[ranked[best].member.FailureDomain] {
			best = i
		}
	}
	return best
}
