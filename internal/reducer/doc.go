// Package reducer implements the node as a single deterministic state machine:
// Reduce applies an event to the state and returns effects. It uses no clock, I/O,
// goroutines or unseeded random source, so that replaying a recorded list of events
// yields the same effects.
//
// The caller's loop is:
//
//	state := reducer.New(settings)
//	carryOut(state.Reduce(event.Envelope{Now: now, Random: random, Event: event.Start{}}))
//	for {
//		wait for an event, but no longer than state.NextWake()
//		carryOut(state.Reduce(event.Envelope{Now: now, Random: random, Event: e}))
//	}
//
// When the time returned by NextWake has passed, the caller sends event.Wake.
// Effects are carried out in order. The results of effects return as events.
//
// The logic is in the subpackages, each of which owns a part of the state. This
// package routes events to them, delivers the messages that a node sends to itself,
// and controls the node's lifecycle from start to exit.
package reducer
