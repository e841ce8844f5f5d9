// Package reducer is the node's one state machine: Reduce takes the state and an
// event and returns effects. It has no clock, I/O, goroutine or unseeded random
// source, so a recorded list of events replays to the same effects.
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
// When NextWake passes, the caller sends event.Wake. Effects are carried out in
// order. Results of effects come back as events.
//
// The decisions are made in the packages below this one; each owns its part of
// the state. This package routes events to them, delivers the messages that a
// node sends to itself, and runs the node's life from start to stop.
package reducer
