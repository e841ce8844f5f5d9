package entry

import "github.com/hawthorntack/hawthorntack/internal/model"

// Subset returns the nodes that serve the callers of a service, best first and spread
// over failure domains. It is empty only if there are no members. The members must not
// be modified afterwards.
func (s *State) Subset(service model.ServiceName, members []model.Member) []model.Member {
	v := s.viewOf(members)
	subset := v.subset(service, s.settings.SubsetSize)
	out := make([]model.Member, len(subset))
	for i, at := range subset {
		out[i] = v.members[at]
	}
	return out
}

// Dispatchers returns the nodes that hold connections to an upstream, best first: the
// members of the service's subset that rank highest for the upstream.
func (s *State) Dispatchers(upstream model.UpstreamID, members []model.Member) []model.HostID {
	v := s.viewOf(members)
	ranked := v.rank(string(upstream), v.subset(upstream.Service(), s.settings.SubsetSize))
	hosts := make([]model.HostID, min(len(ranked), s.settings.Dispatchers))
	for i := range hosts {
		hosts[i] = v.members[ranked[i].index].Host
	}
	return hosts
}

// viewOf returns the view of the members. It is cached until it is called with other
// members.
func (s *State) viewOf(members []model.Member) *view {
	if s.view == nil {
		s.view = newView(members)
	}
	if !s.view.isFor(members) && !s.view.updateMembers(members) {
		next := newView(members)
		next.reuseSubsets(s.view, s.settings.SubsetSize)
		s.view = next
	}
	return s.view
}

// SubsetSize returns the number of nodes that serve the callers of one service if there
// are enough members.
func (s *State) SubsetSize() int { return s.settings.SubsetSize }

// MaxDispatchers returns the number of nodes that dispatch for one upstream if there
// are enough members.
func (s *State) MaxDispatchers() int { return s.settings.Dispatchers }

// placementOrder lists the member states, most preferred first.
var placementOrder = [...]model.MemberState{model.Serving, model.Starting, model.Suspected, model.Leaving}

// usableMembers returns the members in the most preferred state that any member has. It
// is empty only if there are no members.
func usableMembers(members []model.Member) []model.Member {
	for _, state := range placementOrder {
		if in := membersInState(members, state); len(in) > 0 {
			return in
		}
	}
	return nil
}

// membersInState returns the members in one state.
func membersInState(members []model.Member, state model.MemberState) []model.Member {
	var out []model.Member
	for _, m := range members {
		if m.State == state {
			out = append(out, m)
		}
	}
	return out
}
