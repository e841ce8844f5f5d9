package edge

import (
	"slices"
	"strconv"
	"time"

	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/event"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
	"github.com/hawthorntack/hawthorntack/internal/reducer/timer"
)

// loadInterval is the time between two measurements of the node's load.
const loadInterval = 1 * time.Second

// updateEntryNodes selects the nodes for callers anew and tells the relay which nodes
// share the upstreams.
func (s *State) updateEntryNodes(ctx *step.Context) {
	serving := s.servingMembers()
	s.guidance.Update(ctx.Now, serving, s.upstreamsByDomain())
	subset := s.guidance.Subset()
	if slices.Equal(serving, s.serving) && slices.Equal(subset, s.entryNodes) {
		return
	}
	if len(subset) != len(s.entryNodes) {
		ctx.Log(effect.Info, component, "entry nodes",
			effect.Field{Name: "count", Value: strconv.Itoa(len(subset))},
			effect.Field{Name: "serving", Value: strconv.Itoa(len(serving))})
	}
	s.serving, s.entryNodes = serving, subset
	isEntry := slices.ContainsFunc(subset, func(member model.Member) bool { return member.Host == s.self.Host })
	s.registry.SetEntry(ctx, isEntry && len(serving) > 1)
	s.relay.SetMembers(ctx, serving, subset)
}

// upstreamsByDomain returns the number of registered upstreams in each failure domain.
func (s *State) upstreamsByDomain() map[model.FailureDomain]int {
	counts := make(map[model.FailureDomain]int)
	for _, registration := range s.registry.Upstreams() {
		counts[registration.Upstream.FailureDomain]++
	}
	return counts
}

// reportLoad measures the node's load and announces it if it has changed.
func (s *State) reportLoad(ctx *step.Context) {
	ctx.After(loadInterval, timer.Lifecycle, loadTimer)
	load := s.loadMeter.Observe(ctx.Now, s.relay.AttemptsSent(), s.settings.AttemptCapacity)
	if load != s.self.Load && s.self.State == model.Serving {
		s.self.Load = load
		ctx.Self = s.self
		s.registry.Announce(ctx, s.self)
	}
	s.updateEntryNodes(ctx)
}

// servingMembers returns the nodes that can serve callers, including this one while it
// serves, ordered by host.
func (s *State) servingMembers() []model.Member {
	var members []model.Member
	for _, member := range s.registry.Members() {
		if member.Host != s.self.Host && member.State == model.Serving {
			members = append(members, member)
		}
	}
	if s.self.State == model.Serving {
		members = append(members, s.self)
	}
	slices.SortFunc(members, func(a, b model.Member) int {
		if a.Host < b.Host {
			return -1
		}
		return 1
	})
	return members
}

// handleEntry replies with the nodes that a caller should use. Any node can serve any
// request, so that callers with an earlier reply are served as well.
func (s *State) handleEntry(ctx *step.Context, e event.Entry) {
	members := s.guidance.Subset()
	if len(members) == 0 {
		ctx.Emit(effect.ReplyEntry{Call: e.Call, Failure: model.Failf(model.CodeUnavailable, "no node is known to serve")})
		return
	}
	reply := effect.ReplyEntry{Call: e.Call, TTL: s.settings.EntryTTL}
	for _, member := range members {
		reply.Addresses = append(reply.Addresses, effect.EntryAddress{
			Address: member.CallerAddress, Host: member.Host, FailureDomain: member.FailureDomain,
		})
	}
	ctx.Emit(reply)
}
