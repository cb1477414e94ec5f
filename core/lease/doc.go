// Package lease decides who may give orders to engines, and which.
//
// [Holder] acquires, renews and loses one lease, kept as one object of the platform that
// is changed by conditional updates. [Plan] compares what deployments want with what
// engines report and returns the next orders.
//
// # Contract
//
//   - A lease is valid from the moment before its write was sent, for its time to live
//     less a margin, on the holder's own monotonic clock. Others take it only after they
//     have seen it unchanged for its whole time to live. So no two holders ever believe
//     themselves valid at once, whatever their clocks say, as long as clocks run at the
//     same rate within the margin.
//   - The fencing number is the version of the lease's object: it rises with every
//     acquisition and renewal.
//   - The holder asks [Holder.Valid] right before each order. An engine that checks fencing
//     numbers refuses what a paused holder sends late; for one that does not, orders are
//     declarative and the next holder reads the state back and corrects it.
//
// Failure modes: a lost answer to a write is resolved by reading (the nonce tells whose it
// is); in an outage of the platform the lease runs out and no order is given. The package
// does no I/O and reads no clock. A Holder is not safe for concurrent use.
package lease
