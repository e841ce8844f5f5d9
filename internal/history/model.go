package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Call is one send of an order by a caller.
type Call struct {
	ID      model.RequestID
	Body    string
	Called  model.Instant
	Outcome model.Outcome
	// Code is that of the failure, if any.
	Code model.Code
	// Execution is the run that the reply came from, zero if none.
	Execution uint64
	// Returned is when the caller got the outcome; zero when it never did.
	Returned model.Instant
	Client   int
}

// Execution is one run of an order at an upstream.
type Execution struct {
	ID   model.RequestID
	Body string
	At   model.Instant
	// Number is unique among the runs of all upstreams.
	Number uint64
}

// History is what was seen from outside.
type History struct {
	Calls []Call
	Runs  []Execution
}

// operation is the input of the model: a call's outcome, or a run.
type operation struct {
	id        model.RequestID
	body      string
	isRun     bool
	outcome   model.Outcome
	code      model.Code
	execution uint64
}

// order is the state of the model: what became of one identifier.
type order struct {
	// execution is the one run, zero if there was none.
	execution uint64
	body      string
	// refused is true once a caller was told that the order did not run.
	refused bool
}

// Model returns the sequential specification. An order runs at most once, and
// never once a caller was told "not run". "Answered" carries the reply of that
// run. "Not run" is true: there was no run before, and none follows. "Unknown"
// is always permitted. A refusal because the identifier was used with another
// content says nothing of the order itself.
func Model() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return order{} },
		Step: func(state, input, _ any) (bool, any) {
			return step(state.(order), input.(operation))
		},
		DescribeOperation: func(input, _ any) string { return describe(input.(operation)) },
		DescribeState:     func(state any) string { return fmt.Sprintf("%+v", state.(order)) },
	}
}

// step applies one operation to the state of its order.
func step(state order, op operation) (bool, any) {
	switch {
	case op.isRun:
		permitted := state.execution == 0 && !state.refused
		return permitted, order{execution: op.execution, body: op.body}
	case op.outcome == model.Answered:
		return state.execution == op.execution && op.execution != 0 && state.body == op.body, state
	case op.outcome == model.NotRun && op.code == model.CodeConflict:
		return true, state
	case op.outcome == model.NotRun:
		permitted := state.execution == 0
		state.refused = true
		return permitted, state
	default:
		return true, state
	}
}

// partition splits a history by the orders' identifiers.
func partition(history []porcupine.Operation) [][]porcupine.Operation {
	places := make(map[model.RequestID]int)
	var parts [][]porcupine.Operation
	for _, op := range history {
		id := op.Input.(operation).id
		place, found := places[id]
		if !found {
			place = len(parts)
			places[id] = place
			parts = append(parts, nil)
		}
		parts[place] = append(parts[place], op)
	}
	return parts
}

// describe prints an operation.
func describe(op operation) string {
	if op.isRun {
		return fmt.Sprintf("%s ran as %d", op.id, op.execution)
	}
	return fmt.Sprintf("%s: %s %s %d", op.id, op.outcome, op.code, op.execution)
}

// checkTimeout bounds the search for an order of the operations. Histories are
// small: it is not reached unless the checker fails.
const checkTimeout = time.Minute

// operations returns a history in porcupine's form. A call without an outcome
// may take effect at any later time.
func (h *History) operations() []porcupine.Operation {
	var all []porcupine.Operation
	for _, c := range h.Calls {
		returned := int64(c.Returned)
		if c.Returned == 0 {
			c.Outcome = model.Unknown
			returned = math.MaxInt64
		}
		input := operation{id: c.ID, body: c.Body, outcome: c.Outcome, code: c.Code, execution: c.Execution}
		all = append(all, porcupine.Operation{ClientId: c.Client, Input: input, Call: int64(c.Called), Return: returned})
	}
	for _, r := range h.Runs {
		input := operation{id: r.ID, body: r.Body, isRun: true, execution: r.Number}
		all = append(all, porcupine.Operation{Input: input, Call: int64(r.At), Return: int64(r.At)})
	}
	return all
}

// Check reports whether a history agrees with the model.
func (h *History) Check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(Model(), h.operations(), checkTimeout)
}
