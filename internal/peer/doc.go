// Package peer carries messages between nodes over gRPC. A Client keeps one
// unidirectional stream to each peer that the node sends to; a Server accepts the
// streams of its peers. Messages are not resent: those in flight when a stream ends
// are lost, and the listeners on both sides are notified.
package peer
