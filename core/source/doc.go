// Package source decides whom an instance asks for what the platform's store knows: the store itself, or
// another instance that follows it.
//
// Each call to the store is counted and priced, and what the instances of a data centre ask for is the same.
// So they form a tree: of all that the store answers, ranked by a hash that all agree on, the first few ask the
// store, and each other one follows an instance that ranks before it, [Settings.Fanout] of them the same one.
// Since everybody follows upwards in one order, views of the fleet that differ can't close a ring, and what an
// instance sends to those that follow it does not grow with the fleet.
//
// Contract: [Chooser.Choose] returns whom to ask next; the caller reports every outcome ([Chooser.StoreAnswered],
// [Chooser.StoreFailed], [Chooser.PeerSilent], [Chooser.PeerUseless]) and tells the other instances when
// [Chooser.CutOff] changes. Times are those of a clock that also runs while the machine is suspended.
//
// Failure modes. An instance that the store does not answer says so, leaves the tree and follows an instance of
// it; where its data centre has none, one of another data centre. An instance that falls silent, or whose
// knowledge is too old, is left out for a while, so the next in rank takes its place. While the store answers
// nobody, one instance of each data centre goes on asking, and each other one does now and then, in case it
// alone can reach it.
//
// It does no I/O and reads no clock, and is not safe for concurrent use.
package source
