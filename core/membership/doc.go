// Package membership lets instances find each other and detect failures without a coordination
// service. It follows the SWIM family of protocols (Das, Gupta, Motivala 2002). In each interval a
// node pings one member, in a shuffled round. A member that does not answer is pinged through
// others. If that fails too it is suspected, and declared dead only later. Updates about members
// are piggybacked on these messages, each a bounded number of times.
//
// # Contract
//
//   - Only a member itself sets its incarnation number. An update with a higher incarnation wins;
//     under the same incarnation, dead overrides suspect, and suspect overrides alive.
//   - A member that hears that it is suspected or dead raises its incarnation, and so is alive
//     again wherever that update arrives.
//   - Dead members are kept for a while and pinged now and then, so that a partition heals without
//     an operator.
//   - Entry answers ([EntryMembers]) leave out a suspected or leaving member at once.
//
// Failure modes: an instance that is cut off declares the others dead and goes on alone. Lists from
// the platform are hints only ([Node.Seed]): a member on a list counts as alive until a ping fails.
//
// The package does no I/O and reads no clock. Its only source of randomness is the one that it is
// given. A Node is not safe for concurrent use.
package membership
