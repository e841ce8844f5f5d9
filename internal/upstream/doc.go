// Package upstream speaks to upstreams over HTTP/1.1. Each connection is dialled
// explicitly and carries one request at a time, so that a node knows how many
// connections it holds and whether any byte of a request was written. Nothing
// is repeated below the reducer.
package upstream
