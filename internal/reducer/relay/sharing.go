package relay

import (
	"github.com/hawthorntack/hawthorntack/internal/effect"
	"github.com/hawthorntack/hawthorntack/internal/model"
	"github.com/hawthorntack/hawthorntack/internal/reducer/step"
)

// The nodes share the connections of each upstream and the budget of extra attempts.
// Callers are told to use only some of the nodes. These get most of both; the others
// keep enough for the callers that still hold an earlier entry reply.

// sharing states how many nodes share the upstreams and the budgets.
type sharing struct {
	// entryNodes is the number of nodes that callers are told to use, at least one, and
	// otherNodes that of the other serving nodes.
	entryNodes int
	otherNodes int
	// isEntry is true if this node is one of the entry nodes.
	isEntry bool
}

// newSharing returns the sharing of a node that knows no others.
func newSharing() sharing { return sharing{entryNodes: 1} }

// entryBudgetShare is the share of the slack of the budgets that the entry nodes get if
// there are other nodes.
const entryBudgetShare = 0.8

// connections returns this node's share of the connections that an upstream accepts. A
// part is left for nodes that do not know of each other yet: one share, and half of the
// shares while other nodes may replace the entry nodes.
func (s sharing) connections(accepted int) int {
	if s.otherNodes == 0 {
		return max(1, accepted/(s.entryNodes+1))
	}
	if !s.isEntry {
		return 1
	}
	return max(1, (accepted-s.otherNodes)/(s.entryNodes+(s.entryNodes+1)/2))
}

// slackShare returns this node's share of the slack of a budget.
func (s sharing) slackShare() float64 {
	switch {
	case s.otherNodes == 0:
		return 1 / float64(s.entryNodes)
	case s.isEntry:
		return entryBudgetShare / float64(s.entryNodes)
	default:
		return (1 - entryBudgetShare) / float64(s.otherNodes)
	}
}

// SetMembers sets the serving nodes, which share the upstreams' connections and the
// budgets, and the entry nodes among them, which callers are told to use.
func (s *State) SetMembers(ctx *step.Context, serving, entry []model.Member) {
	s.entryMembers = entry
	next := newSharing()
	if len(entry) > 0 {
		next = sharing{entryNodes: len(entry), otherNodes: len(serving) - len(entry), isEntry: model.ContainsHost(entry, ctx.Self.Host)}
		s.updateHelpers(ctx, entry, next.isEntry)
	}
	if next == s.sharing {
		return
	}
	s.sharing = next
	for _, pool := range s.pools {
		s.updatePoolLimits(pool)
	}
	ctx.Log(effect.Info, component, "upstreams are shared",
		countField("entry_nodes", next.entryNodes), countField("other_nodes", next.otherNodes))
}

// updateHelpers selects the helpers of an entry node. Other nodes get too few requests to
// be worth the streams to helpers.
func (s *State) updateHelpers(ctx *step.Context, entry []model.Member, isEntry bool) {
	if !isEntry {
		entry = nil
	}
	s.setHelpers(ctx, entry)
}
