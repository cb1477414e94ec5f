// Package membership lets instances know of each other without a coordination service,
// after the SWIM family of protocols (Das, Gupta, Motivala 2002): each interval one
// member is pinged, in a shuffled round; a member that does not answer is pinged through
// others; then it is suspected, and only later taken for dead. News travels on these
// messages, each item a bounded number of times.
//
// # Contract
//
//   - A member alone decides about its incarnation number. News with a higher one wins;
//     under the same number dead beats suspect beats alive.
//   - A member that hears it is suspected or dead raises its number, and so is alive again
//     everywhere the news reaches.
//   - Dead members are kept for a while and pinged now and then, so that a partition heals
//     without an operator.
//   - Entry answers leave out a suspected or leaving member at once.
//
// Failure modes: an instance that is cut off sees the others as dead and goes on alone;
// lists from the platform are hints only ([Node.Seed]). The package does no I/O and
// reads no clock; its only source of chance is the one it is given. A Node is not safe
// for concurrent use.
package membership
