package entry

import "github.com/hawthorntack/hawthorntack/internal/model"

// Subset returns the nodes that serve the callers of a service, best first. The
// nodes are spread over failure domains. It is empty only if there are no
// members at all. The members must not be changed afterwards.
func (s *State) Subset(service model.ServiceName, members []model.Member) []model.Member {
	v := s.viewOf(members)
	subset := v.subset(service, s.settings.SubsetSize)
	out := make([]model.Member, len(subset))
	for i, at := range subset {
		out[i] = v.members[at]
	}
	return out
}

// Dispatchers returns the nodes that hold connections to an upstream, best
// first: the leading nodes of the service's subset in the upstream's own order.
func (s *State) Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID {
	v := s.viewOf(members)
	ranked := v.rank(string(upstream), v.subset(upstream.Service(), s.settings.SubsetSize))
	hosts := make([]model.HostID, min(len(ranked), s.settings.Dispatchers))
	for i := range hosts {
		hosts[i] = v.members[ranked[i].at].Host
	}
	return hosts
}

// viewOf returns what was worked out of a view of the members; it is kept until
// another view is asked for.
func (s *State) viewOf(members []model.Member) *view {
	if s.view == nil {
		s.view = newView(members)
	}
	if !s.view.isOf(members) && !s.view.follow(members) {
		next := newView(members)
		next.inherit(s.view, s.settings.SubsetSize)
		s.view = next
	}
	return s.view
}

// SubsetSize returns how many nodes serve the callers of one service while
// enough members are known.
func (s *State) SubsetSize() int { return s.settings.SubsetSize }

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
