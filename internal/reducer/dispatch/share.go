package dispatch

// share is a dispatcher's part of an upstream: its rank among the upstream's
// dispatchers, as its own view of the members has it.
type share struct {
	rank        int
	dispatchers int
}

// slots returns this dispatcher's part of the upstream's slots. Each dispatcher
// gets at least one, so that the parts add up to the slots exactly while there
// are no more dispatchers than slots.
func (p share) slots(total int) int {
	part := total / p.dispatchers
	if p.rank < total%p.dispatchers {
		part++
	}
	return max(1, part)
}

// connections returns how many connections this dispatcher may hold, so that one
// more dispatcher than there should be still fits under the limit.
func (p share) connections(limit int) int {
	return max(1, limit/(p.dispatchers+1))
}
