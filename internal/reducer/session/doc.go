// Package session runs each order at most once.
//
// A session has one home: the node that opened it, in that incarnation of the
// node. Only the home starts the session's orders. It records an order before it
// starts it, so that a resend finds the record, and it keeps the outcome until
// the caller acknowledges it or the session expires. Other nodes forward orders
// to the home. Keeping results at the executor and collecting them by
// acknowledgement follows RIFL (Lee et al., SOSP 2015).
//
// The rules that prevent an order from running twice:
//
//   - An identifier has one outcome. A refusal is an outcome too: an order that
//     was refused as not run never starts afterwards, even if a copy of it is
//     still in transit.
//   - Only the home answers "not run" for an order with an identifier. A node
//     that cannot reach the home answers "unknown", because another copy of the
//     order may have reached the home.
//   - An order whose sequence number is at or below the acknowledged one never
//     starts.
//   - A session number encodes when the session was opened, so that an order of
//     an expired session is refused without a record of the session.
//   - A home that stops is sealed permanently. Its successor starts orders only
//     after the old home has completed the handover, which it does for at most
//     one successor. If the handover is lost, the outcomes are unknown.
package session
