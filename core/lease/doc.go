// Package lease decides which instance may give orders to engines, and which orders.
//
// [Holder] acquires, renews and releases one lease, which is stored as one object of the platform and
// changed by conditional updates. [Planner] compares what deployments require with what engines
// report and returns the next order.
//
// # Contract
//
//   - A lease is valid from the moment before its write was sent, for its time to live less a margin,
//     on the holder's own monotonic clock. Other instances acquire it only after they have seen it
//     unchanged for its whole time to live. So no two holders ever consider themselves valid at the
//     same time, whatever their clocks show, as long as the clocks run at the same rate within the
//     margin.
//   - The fencing number is the version of the lease's object below the era of the platform's store. It
//     rises with every acquisition and renewal, also when the store returns from an older copy. A holder
//     that saw the era before acquires nothing for a whole time to live then.
//   - The holder calls [Holder.Valid] right before each order. An engine that checks fencing numbers
//     refuses late orders of a holder that was paused. For an engine that does not check them, orders
//     are declarative: the next holder reads the state back and corrects it.
//
// Failure modes: when the answer to a write is lost, the object is read again, and its nonce shows
// whose write it holds. During an outage of the platform the lease expires and no order is given. The
// package does no I/O and reads no clock. Holder and Planner are not safe for concurrent use.
package lease
