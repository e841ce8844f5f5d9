package dispatch

// share determines a dispatcher's share of an upstream's slots and connections.
type share struct {
	// rank is the node's position among the upstream's dispatchers, and dispatchers
	// their number, both according to the node's own view of the members.
	rank        int
	dispatchers int
	// maxDispatchers is the same on all nodes, regardless of their views.
	maxDispatchers int
}

// slots returns this dispatcher's share of the upstream's slots. Each dispatcher
// gets at least one, so the shares add up to the total exactly only if there are
// no more dispatchers than slots and the views agree.
func (p share) slots(total int) int {
	part := total / p.dispatchers
	if p.rank < total%p.dispatchers {
		part++
	}
	return max(1, part)
}

// connections returns how many connections this dispatcher may hold. The shares stay
// within the limit even if one node more than maxDispatchers dispatches. They must
// not depend on the view: a node that sees few members would take the share of those
// that it does not see. An upstream that accepts fewer connections than there may
// be dispatchers gets one from each, and refuses those beyond its limit.
func (p share) connections(limit int) int {
	return max(1, limit/(p.maxDispatchers+1))
}

// isSole reports whether no other node may dispatch for the upstream.
func (p share) isSole() bool { return p.maxDispatchers == 1 }
