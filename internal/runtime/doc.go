// Package runtime runs a reducer: it turns sockets, timers, the store and peers
// into events, and carries the reducer's effects out. It decides nothing.
package runtime
