// Package session makes orders run at most once.
//
// A session has one home: the node that opened it, in that life of the node.
// Only the home starts the session's orders. It records an order before it
// starts it, so that a resend finds the record, and it keeps the outcome until
// the caller acknowledges it or the session expires. Other nodes forward orders
// to the home. The idea of keeping results beside the executor and collecting
// them by acknowledgement is that of RIFL (Lee et al., SOSP 2015).
//
// The rules that keep an order from running twice:
//
//   - An identifier has one outcome. A refusal counts as one: an order that was
//     refused as not run never starts afterwards, although a copy of it may be
//     on its way.
//   - Only the home says "not run" of an order with an identifier. A node that
//     cannot reach the home says "unknown", because another copy of the order
//     may have reached it.
//   - A sequence number at or below the acknowledged one never starts.
//   - A session number tells its age, so that an expired session is refused
//     without a record of it.
//   - A home that stops is sealed for good. Its successor starts orders only
//     after the old home has ended the handover, which it does for one successor
//     at most. A handover that is lost leaves the outcomes unknown.
package session
