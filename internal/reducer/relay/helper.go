package relay

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/message"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/rendezvous"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// A helper is sent subqueries only after it has replied to a greeting. When a whole fleet
// starts after a loss of power, the streams to nodes that are still down hang for a second
// or more, and parts that were delegated over them would be lost until their hedges.

const (
	// helpersPerDomain bounds the streams that a node keeps open to each other domain.
	// Several helpers share its subqueries, so that others remain while one is paused.
	helpersPerDomain = 3
	// helperPause is how long a helper gets no subqueries after it was lost, or had not
	// reported when hedges were due. Such a helper has failed, is cut off or is frozen,
	// which the member list shows only later.
	helperPause = 2 * time.Second
	// greetingInterval is the time between two greetings of a helper that has not replied.
	greetingInterval = 1 * time.Second
)

// helper is a node of another failure domain that may run subqueries.
type helper struct {
	member model.Member
	// responsive is true once the helper has replied, until it is lost or late.
	responsive bool
	greetedAt  model.Instant
	// pausedUntil is the time until which the helper gets no subqueries.
	pausedUntil model.Instant
}

// isSameNode reports whether the member is the helper's incarnation at the same address.
func (h *helper) isSameNode(member model.Member) bool {
	return h.member.Incarnation == member.Incarnation && h.member.PeerAddress == member.PeerAddress
}

// isUsable reports whether the helper may get subqueries.
func (h *helper) isUsable(now model.Instant) bool { return h.responsive && now >= h.pausedUntil }

// setHelpers selects the node's helpers among the members and greets the new ones.
func (s *State) setHelpers(ctx *step.Context, members []model.Member) {
	hosts := make(map[model.FailureDomain][]model.HostID)
	known := make(map[model.HostID]model.Member)
	for _, member := range members {
		if member.FailureDomain != ctx.Self.FailureDomain && member.PeerAddress != "" {
			hosts[member.FailureDomain] = append(hosts[member.FailureDomain], member.Host)
			known[member.Host] = member
		}
	}
	previous := s.helpers
	s.helpers = make(map[model.HostID]*helper)
	for _, domain := range slices.Sorted(maps.Keys(hosts)) {
		for _, host := range rendezvous.Top(hosts[domain], helpersPerDomain, "helper of "+string(ctx.Self.Host)) {
			kept := previous[host]
			if kept == nil || !kept.isSameNode(known[host]) {
				kept = &helper{member: known[host]}
				greet(ctx, kept)
			}
			s.helpers[host] = kept
		}
	}
}

// greet sends a helper a subquery without shards, to which it replies with an empty
// report. Both streams are then open when they are needed.
func greet(ctx *step.Context, h *helper) {
	h.greetedAt = ctx.Now
	ctx.Emit(effect.SendPeer{To: h.member.Host, Address: h.member.PeerAddress, Message: message.Subquery{Address: ctx.Self.PeerAddress}})
}

// greetHelpers greets the helpers that have not replied.
func (s *State) greetHelpers(ctx *step.Context) {
	for _, host := range slices.Sorted(maps.Keys(s.helpers)) {
		if h := s.helpers[host]; !h.responsive && ctx.Now.Sub(h.greetedAt) >= greetingInterval {
			greet(ctx, h)
		}
	}
}

// markResponsive records that a helper has replied.
func (s *State) markResponsive(host model.HostID) {
	if h := s.helpers[host]; h != nil {
		h.responsive = true
	}
}

// loseHelper pauses a helper, which has to reply to a greeting before it gets subqueries
// again.
func (s *State) loseHelper(ctx *step.Context, host model.HostID) {
	if h := s.helpers[host]; h != nil {
		h.responsive = false
		h.pausedUntil = ctx.Now.Add(helperPause)
	}
}

// pauseLateHelper pauses a helper that has not reported by the time the hedge of one of
// its parts is due.
func (s *State) pauseLateHelper(ctx *step.Context, d *delegation) {
	if d == nil || d.responded {
		return
	}
	if h := s.helpers[d.helper]; h == nil || !h.isUsable(ctx.Now) {
		return
	}
	ctx.Count(metricLateDelegations, "")
	ctx.Log(effect.Warning, component, "helper is late",
		effect.Field{Name: "host", Value: string(d.helper)}, effect.Field{Name: "request", Value: d.request.incoming.ID})
	s.loseHelper(ctx, d.helper)
}

// selectHelper returns a random helper among those whose domains can run the most parts,
// or nil if no domain can run enough of them. The parts are indexes by domain.
func (s *State) selectHelper(ctx *step.Context, runnable map[model.FailureDomain][]int) *helper {
	most := minDelegatedParts
	var candidates []*helper
	for _, h := range s.helpers {
		parts := len(runnable[h.member.FailureDomain])
		if parts < most || !h.isUsable(ctx.Now) {
			continue
		}
		if parts > most {
			most, candidates = parts, candidates[:0]
		}
		candidates = append(candidates, h)
	}
	if len(candidates) == 0 {
		return nil
	}
	slices.SortFunc(candidates, func(a, b *helper) int { return cmp.Compare(a.member.Host, b.member.Host) })
	return candidates[ctx.Random.IntN(len(candidates))]
}
