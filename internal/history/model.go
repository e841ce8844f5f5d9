package history

import (
	"fmt"
	"math"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/hawthorntack/hawthorntack/internal/model"
)

// Call is one transmission of an order by a caller. Resends are separate calls.
type Call struct {
	ID      model.RequestID
	Body    string
	Called  model.Instant
	Outcome model.Outcome
	// Code is the failure code, empty if there was no failure.
	Code model.Code
	// Execution is the number of the run that produced the reply, zero if none.
	Execution uint64
	// Returned is when the caller received the outcome, zero if it never did.
	Returned model.Instant
	Client   int
}

// Execution is one run of an order on an upstream.
type Execution struct {
	ID   model.RequestID
	Body string
	At   model.Instant
	// Number is unique among the runs of all upstreams.
	Number uint64
}

// History holds the externally visible events of a scenario.
type History struct {
	Calls []Call
	Runs  []Execution
}

// operation is an input of the model: either a call with its outcome or a run.
type operation struct {
	id        model.RequestID
	body      string
	isRun     bool
	outcome   model.Outcome
	code      model.Code
	execution uint64
}

// orderState is the model's state for one request identifier.
type orderState struct {
	// execution is the number of the only run, zero if there was none.
	execution uint64
	body      string
	// refused is true once a caller received the outcome "not run".
	refused bool
}

// Model returns the sequential specification of an order:
//
//   - It runs at most once, and never after a caller received "not run".
//   - "Answered" carries the reply of that run and matches its body.
//   - "Not run" is permitted only if the order has not run.
//   - "Unknown" is always permitted.
//   - A refusal with CodeConflict, because the identifier was already used with
//     another body, is always permitted and leaves the state unchanged.
func Model() porcupine.Model {
	return porcupine.Model{
		Partition: partition,
		Init:      func() any { return orderState{} },
		Step: func(state, input, _ any) (bool, any) {
			return step(state.(orderState), input.(operation))
		},
		DescribeOperation: func(input, _ any) string { return describe(input.(operation)) },
		DescribeState:     func(state any) string { return fmt.Sprintf("%+v", state.(orderState)) },
	}
}

// step reports whether the model permits op in a state, and returns the next state.
func step(state orderState, op operation) (bool, any) {
	switch {
	case op.isRun:
		permitted := state.execution == 0 && !state.refused
		return permitted, orderState{execution: op.execution, body: op.body}
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

// partition groups a history's operations by request identifier.
func partition(history []porcupine.Operation) [][]porcupine.Operation {
	indexes := make(map[model.RequestID]int)
	var parts [][]porcupine.Operation
	for _, op := range history {
		id := op.Input.(operation).id
		index, found := indexes[id]
		if !found {
			index = len(parts)
			indexes[id] = index
			parts = append(parts, nil)
		}
		parts[index] = append(parts[index], op)
	}
	return parts
}

// describe formats an operation for reports.
func describe(op operation) string {
	if op.isRun {
		return fmt.Sprintf("%s ran as %d", op.id, op.execution)
	}
	return fmt.Sprintf("%s: %s %s %d", op.id, op.outcome, op.code, op.execution)
}

// checkTimeout bounds porcupine's search for a linearization. Histories are small,
// so it is reached only if the checker itself fails.
const checkTimeout = time.Minute

// operations converts a history to porcupine operations. A call that never
// returned gets the outcome Unknown and may take effect at any later time.
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

// Check reports whether the history conforms to Model. The result is
// porcupine.Unknown if the check takes longer than checkTimeout.
func (h *History) Check() porcupine.CheckResult {
	return porcupine.CheckOperationsTimeout(Model(), h.operations(), checkTimeout)
}
