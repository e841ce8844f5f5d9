// Package guidance decides which nodes callers are told to use.
//
// It answers the load of a large fleet whose requests fan out to many shards. Spread
// over all nodes, such requests leave each node with about one a second: connections to
// upstreams are closed while idle, and no node has the samples to recognize a slow
// upstream. A few nodes in the failure domains of the upstreams serve them from open
// connections and without traffic between domains. The subset grows with the load that
// its nodes report, and the remaining nodes replace those that fail.
package guidance

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
)

const (
	// minNodesPerDomain and minNodes bound the subset from below, so that the loss of a
	// node or of a failure domain leaves others that callers already know.
	minNodesPerDomain = 3
	minNodes          = 8
	// maxNodes is the largest number of addresses that a caller reads from a reply.
	maxNodes = 64
	// targetLoad is the load of the subset's nodes, in percent of their capacity, that
	// the size of the subset aims at.
	targetLoad = 50
	// shrinkInterval is the time between two reductions of the subset by one node per
	// domain. Hysteresis keeps short lulls from moving callers back and forth.
	shrinkInterval = 10 * time.Second
	// nearShare and farShare are the numbers of upstreams, as shares of the largest
	// number in any failure domain, from which a domain is used and below which it is no
	// longer used.
	nearShare = 0.5
	farShare  = 0.25
	// hashKey is the rendezvous key that orders hosts of equal weight.
	hashKey = "entry-subset"
)

// State holds the size of the subset and the failure domains in use.
type State struct {
	// demand is the number of nodes per domain that the load requires, which falls by one
	// at a time. It last changed, or was still required, at demandAt.
	demand   int
	demandAt model.Instant
	near     map[model.FailureDomain]bool
	subset   []model.Member
}

// New returns a state without a subset.
func New() *State { return &State{near: make(map[model.FailureDomain]bool)} }

// Subset returns the result of the last call of Update, ordered by host.
func (s *State) Subset() []model.Member { return s.subset }

// Update selects the nodes for callers among the serving nodes, given the number of
// upstreams in each failure domain.
func (s *State) Update(now model.Instant, serving []model.Member, upstreams map[model.FailureDomain]int) {
	s.updateNear(serving, upstreams)
	ranked := s.rank(serving)
	floor := minNodesPerDomain
	if len(ranked) > 0 {
		floor = max(floor, (minNodes+len(ranked)-1)/len(ranked))
	}
	required := requiredPerDomain(ranked, requiredWeight(serving))
	switch {
	case required >= s.demand:
		s.demand, s.demandAt = required, now
	case now.Sub(s.demandAt) >= shrinkInterval:
		s.demand, s.demandAt = s.demand-1, now
	}
	s.subset = pick(ranked, max(floor, s.demand))
}

// updateNear updates the failure domains whose nodes are used: those that hold a large
// part of the upstreams. If these have fewer than minNodes nodes, all domains are used.
func (s *State) updateNear(serving []model.Member, upstreams map[model.FailureDomain]int) {
	most := 0
	for _, count := range upstreams {
		most = max(most, count)
	}
	near := make(map[model.FailureDomain]bool)
	nodes := 0
	for _, member := range serving {
		domain := member.FailureDomain
		share := nearShare
		if s.near[domain] {
			share = farShare
		}
		if float64(upstreams[domain]) >= share*float64(most) {
			near[domain] = true
			nodes++
		}
	}
	if nodes < minNodes {
		for _, member := range serving {
			near[member.FailureDomain] = true
		}
	}
	s.near = near
}

// rank returns the hosts of each domain in use, the hosts with the highest weight first.
func (s *State) rank(serving []model.Member) [][]model.Member {
	byHost := make(map[model.HostID]model.Member, len(serving))
	hosts := make(map[model.FailureDomain][]model.HostID)
	for _, member := range serving {
		if s.near[member.FailureDomain] {
			byHost[member.Host] = member
			hosts[member.FailureDomain] = append(hosts[member.FailureDomain], member.Host)
		}
	}
	ranked := make([][]model.Member, 0, len(hosts))
	for _, domain := range slices.Sorted(maps.Keys(hosts)) {
		var members []model.Member
		for _, host := range rendezvous.Top(hosts[domain], len(hosts[domain]), hashKey) {
			members = append(members, byHost[host])
		}
		slices.SortStableFunc(members, func(a, b model.Member) int { return cmp.Compare(weightOf(b), weightOf(a)) })
		ranked = append(ranked, members)
	}
	return ranked
}

// weightOf returns the weight of a member's host.
func weightOf(member model.Member) int {
	if member.Weight <= 0 {
		return model.DefaultHostWeight
	}
	return member.Weight
}

// requiredWeight returns the summed weight of the hosts that carry the reported load at
// targetLoad.
func requiredWeight(serving []model.Member) float64 {
	load := 0
	for _, member := range serving {
		load += weightOf(member) * member.Load
	}
	return float64(load) / targetLoad
}

// requiredPerDomain returns the number of nodes per domain whose weights add up to the
// required one, or the size of the largest domain if no number suffices.
func requiredPerDomain(ranked [][]model.Member, required float64) int {
	largest := 0
	for _, members := range ranked {
		largest = max(largest, len(members))
	}
	sum := 0.0
	for n := range largest {
		if sum >= required {
			return n
		}
		for _, members := range ranked {
			if n < len(members) {
				sum += float64(weightOf(members[n]))
			}
		}
	}
	return largest
}

// pick returns the first nodes of each domain, at most maxNodes, ordered by host.
func pick(ranked [][]model.Member, perDomain int) []model.Member {
	if len(ranked) > 0 {
		perDomain = min(perDomain, maxNodes/len(ranked))
	}
	var subset []model.Member
	for _, members := range ranked {
		subset = append(subset, members[:min(perDomain, len(members))]...)
	}
	slices.SortFunc(subset, func(a, b model.Member) int { return cmp.Compare(a.Host, b.Host) })
	return subset
}

const (
	// loadStep is the granularity of a reported load, in percent. Each change of a
	// report is a write to the registry.
	loadStep = 25
	// maxLoad bounds a reported load, in percent.
	maxLoad = 400
	// lowerAfter is how long the load must be lower before a lower one is reported.
	lowerAfter = 5 * time.Second
)

// Meter turns a node's attempt counts into the load that it reports.
type Meter struct {
	lastCount uint64
	lastAt    model.Instant
	reported  int
	// lowerSince is when the load fell below the reported one; zero if it has not.
	lowerSince model.Instant
}

// Observe takes the number of attempts sent so far and the attempts a second that the
// host can send. It returns the load to report in percent, a multiple of loadStep. A
// higher load is reported at once, a lower one after lowerAfter.
func (m *Meter) Observe(now model.Instant, count uint64, capacity float64) int {
	if m.lastAt == 0 || now <= m.lastAt || capacity <= 0 {
		m.lastCount, m.lastAt = count, now
		return m.reported
	}
	rate := float64(count-m.lastCount) / now.Sub(m.lastAt).Seconds()
	m.lastCount, m.lastAt = count, now
	load := min(maxLoad, loadStep*int(math.Floor(100*rate/capacity/loadStep)))
	switch {
	case load > m.reported:
		m.reported, m.lowerSince = load, 0
	case load == m.reported:
		m.lowerSince = 0
	case m.lowerSince == 0:
		m.lowerSince = now
	case now.Sub(m.lowerSince) >= lowerAfter:
		m.reported, m.lowerSince = load, 0
	}
	return m.reported
}
