// Package history checks that orders run at most once and that outcomes are
// true. It records histories from the outside: what callers asked and were told,
// and what upstreams ran. A history is checked with porcupine against a
// sequential model of one order with its three outcomes.
//
// Scenario draws a run of a few nodes under faults from a seed, on package
// virtual.
package history
