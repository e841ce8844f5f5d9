// Package history checks that orders run at most once and that reported outcomes
// are correct. A history holds only externally visible events: the callers' calls
// with their outcomes, and the orders that upstreams ran. It is checked with
// porcupine, a linearizability checker, against a sequential model of one order
// with its three outcomes.
//
// Run generates a history from a seed: it simulates a few nodes under random
// faults with package virtual.
package history
