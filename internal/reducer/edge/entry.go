package edge

import (
	"cmp"
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
	s.logServing(ctx, serving)
	s.serving, s.entryNodes = serving, subset
	isEntry := model.ContainsHost(subset, s.self.Host)
	s.registry.SetEntry(ctx, isEntry && len(serving) > 1)
	s.relay.SetMembers(ctx, serving, subset)
}

// maxLoggedHosts bounds the lines about hosts after one change.
const maxLoggedHosts = 16

// logServing logs the nodes that have begun or ceased to serve in this node's view, with the
// age of the list that says so.
func (s *State) logServing(ctx *step.Context, serving []model.Member) {
	age := effect.Field{Name: "members_age", Value: s.registry.MembersAge(ctx.Now).String()}
	left := maxLoggedHosts
	log := func(text string, list, others []model.Member) {
		for _, member := range list {
			if left > 0 && !model.ContainsHost(others, member.Host) {
				left--
				ctx.Log(effect.Info, component, text, effect.Field{Name: "host", Value: string(member.Host)}, age)
			}
		}
	}
	log("host serves", serving, s.serving)
	log("host no longer serves", s.serving, serving)
}

// upstreamsByDomain returns the number of registered upstreams in each failure domain.
func (s *State) upstreamsByDomain() map[model.FailureDomain]int {
	counts := make(map[model.FailureDomain]int)
	for _, registration := range s.registry.Upstreams() {
		counts[registration.Upstream.FailureDomain]++
	}
	return counts
}

// reportLoad measures the node's load and announces it if it has changed. It also checks
// which nodes respond.
func (s *State) reportLoad(ctx *step.Context) {
	ctx.After(loadInterval, timer.Lifecycle, loadTimer)
	load := s.loadMeter.Observe(ctx.Now, s.relay.AttemptsSent(), s.settings.AttemptCapacity)
	if load != s.self.Load && s.self.State == model.Serving {
		s.self.Load = load
		ctx.Self = s.self
		s.registry.Announce(ctx, s.self)
	}
	s.checkLiveness(ctx)
	s.updateEntryNodes(ctx)
}

// checkLiveness greets the nodes that callers are told to use, and those that are down, while
// the registry cannot tell which nodes are off.
func (s *State) checkLiveness(ctx *step.Context) {
	if !s.registry.MembersDoubtful(ctx.Now) {
		s.liveness.Stop()
		return
	}
	var greeted []model.Member
	for _, member := range s.registry.Members() {
		if s.liveness.IsDown(member.Host) || model.ContainsHost(s.entryNodes, member.Host) {
			greeted = append(greeted, member)
		}
	}
	s.liveness.Greet(ctx, greeted, s.registry.RespondsToMembers(ctx.Now))
}

// servingMembers returns the nodes that can serve callers, including this one while it
// serves, ordered by host.
func (s *State) servingMembers() []model.Member {
	var members []model.Member
	for _, member := range s.registry.Members() {
		if member.Host != s.self.Host && member.State == model.Serving && !s.liveness.IsDown(member.Host) {
			members = append(members, member)
		}
	}
	if s.self.State == model.Serving {
		members = append(members, s.self)
	}
	slices.SortFunc(members, func(a, b model.Member) int { return cmp.Compare(a.Host, b.Host) })
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
