// Package upstream communicates with upstreams over HTTP/1.1. Each connection is dialed
// explicitly and carries one request at a time, so that a node knows how many
// connections it holds and whether any byte of a request was written. The package
// retries nothing; that is left to the reducer.
package upstream
