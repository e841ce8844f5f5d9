package dispatch

// share is a dispatcher's part of an upstream.
type share struct {
	// rank is the node's place among the upstream's dispatchers, and dispatchers
	// their number, as the node's own view of the members has them.
	rank        int
	dispatchers int
	// maxDispatchers is the same on all nodes, whatever their views.
	maxDispatchers int
}

// slots returns this dispatcher's part of the upstream's slots. Each dispatcher
// gets at least one, so that the parts add up to the slots exactly while there
// are no more dispatchers than slots and the views agree.
func (p share) slots(total int) int {
	part := total / p.dispatchers
	if p.rank < total%p.dispatchers {
		part++
	}
	return max(1, part)
}

// connections returns how many connections this dispatcher may hold, so that one
// more dispatcher than there should be still fits under the limit. It must not
// depend on the view: a node that sees few members would take the part of those
// that it does not see. An upstream that accepts fewer connections than there
// may be dispatchers gets one from each, and refuses those over its limit.
func (p share) connections(limit int) int {
	return max(1, limit/(p.maxDispatchers+1))
}

// isSole reports whether no other node may dispatch for the upstream.
func (p share) isSole() bool { return p.maxDispatchers == 1 }
