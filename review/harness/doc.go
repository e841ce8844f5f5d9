// Command harness runs one case of the review. It starts nodes with the command of the deploy
// file, as separate processes on loopback addresses, and plays the platform's store, the upstreams
// and the callers. It writes what happened to a record and exits with one of the exit codes below.
package main
