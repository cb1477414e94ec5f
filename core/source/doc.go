// Package source decides where an instance reads the platform's store from: from the store itself,
// or from another instance that follows it.
//
// Each call to the store is counted and charged, and all instances ask for the same data. So the
// instances of a region form a tree, and the instances of a data centre follow the first one of that
// data centre. Instances are ranked by the bandwidth of their links and then by a hash, so that all
// agree on the order. The first few ask the store. Each other instance follows one that ranks before
// it. The number of followers of an instance is bounded by its link.
//
// Since every instance follows one that ranks before it, differing views of the fleet can't produce a
// cycle, and the traffic of an instance to its followers does not grow with the fleet. A region asks
// the store once however many data centres it has: with one tree for two data centres, calls to the
// store were the largest cost of fleets in five.
//
// Contract: [Chooser.Choose] returns the source to ask next. The caller reports every outcome
// ([Chooser.StoreAnswered], [Chooser.StoreFailed], [Chooser.PeerFailed], [Chooser.PeerStale]) and
// tells the other instances when [Chooser.Access] changes. Times are those of a clock that also runs
// while the machine is suspended.
//
// Failure modes. An instance that the store does not answer announces it, leaves the tree and follows
// a member of the tree; if its region has none, it follows an instance of another region. An instance
// that does not answer, or whose data is too old, is excluded for a while, and the next in rank takes
// its place. While the store answers no instance, one instance of each region goes on asking it. Each
// other instance asks now and then, in case only that one can reach the store. While the whole fleet
// starts, instances without data are followed too.
//
// The package does no I/O and reads no clock. A Chooser is not safe for concurrent use.
package source
