// Package kv is a small in-memory stand-in for the platform's key-value
// service: compare-and-swap, leases, watches and rate limits. It has no clock of
// its own, so that it serves real servers and virtual time alike.
package kv
