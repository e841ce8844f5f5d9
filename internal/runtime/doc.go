// Package runtime runs a reducer: it converts input from sockets, timers, the store and
// peers into events, and executes the reducer's effects. All decisions are made by the
// reducer.
package runtime
