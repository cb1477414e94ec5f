// Package source decides whom an instance asks for what the platform's store knows: the store itself, or
// another instance that follows it.
//
// Each call to the store is counted and priced, and what all instances ask for is the same. So the instances of a region
// form a tree, that of a data centre below the first of it. They are ranked by the bandwidth of their links and by a hash, which all agree on; the first few ask
// the store, and each other one follows an instance that ranks before it. An instance has as many followers as its
// link can serve. Since everybody follows upwards in one order, views of the fleet that differ can't close a ring, and
// what an instance sends to its followers does not grow with the fleet. One region asks once however many data centres
// it has: with one tree for two data centres, calls to the store led the prices of fleets in five.
//
// Contract: [Chooser.Choose] returns whom to ask next; the caller reports every outcome ([Chooser.StoreAnswered],
// [Chooser.StoreFailed], [Chooser.PeerSilent], [Chooser.PeerUseless]) and tells the other instances when
// [Chooser.Access] changes. Times are those of a clock that also runs while the machine is suspended.
//
// Failure modes. An instance that the store does not answer says so, leaves the tree and follows an instance of
// it; where its region has none, one of another region. An instance that falls silent, or whose
// knowledge is too old, is left out for a while, so the next in rank takes its place. While the store answers
// nobody, one instance of each region goes on asking, and each other one does now and then, in case it
// alone can reach it. While the whole fleet starts, those that know nothing yet are followed all the same.
//
// It does no I/O and reads no clock, and is not safe for concurrent use.
package source
