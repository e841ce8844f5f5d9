// Package peer carries messages between nodes over gRPC. A Client keeps one
// one-way stream to each peer that the node sends to; a Server takes the peers'
// streams in. Nothing is repeated: a stream that ends loses what was on its way,
// and both sides are told.
package peer
