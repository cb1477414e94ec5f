// Package crashers decides which requests end the endpoints that run them, so that they are not sent to more of them.
//
// A request of this kind comes again under another id, at any instance, and each time it ends as many endpoints as one
// request may try. What all its attempts have in common is its content, so that is what a [Register] remembers:
// which endpoints ended under which [Request], and how far they were with it. After [Settings.Ends] of them the request
// is stopped for a while.
//
// # Contract
//
// Who is blamed. An endpoint that ends takes all its requests with it, and most of them have nothing to do with it:
//
//   - An endpoint that ended right after its answer had begun ([Begun]) says much: few requests are at that point at any
//     moment. One that ended while it had the request ([Present]) says little, and nothing where there is a better reason:
//     another request had begun there, was stopped, or was at more endpoints that ended.
//   - One that ended when its answer had gone on for a while ([Late]) says least: it takes [Settings.LateEnds] of them.
//   - Ends at the same moment count as one, unless the request was sent to the later endpoint after the earlier one had
//     ended: they may have one cause, such as the loss of a data centre.
//   - A request that is served is cleared: what was held against it before does not count any more. One that is being served for a while
//     is cleared as well, unless endpoints ended under it later than that.
//   - A request that had begun where an endpoint ended, or to which one more end is missing, is tried by one instance at a time
//     ([Careful]), so that the next end tells, and costs one endpoint.
//
// Callers report an end only where the endpoint is known to have ended: not for silence, lost answers, endpoints that were
// told to leave, or the loss of most of a data centre.
//
// How it ends. A stopped request may be tried again once its time is over, one at a time; the next end stops it again, for
// twice as long. Serving it, or an operator, clears it.
//
// What instances tell each other is a [Fact] for each request. Facts may come late, twice and in any order: ends are united,
// and the latest stop and the latest clearing count.
//
// Bounds: a team has at most [Settings.PerTeam] requests in a register, and all together [Settings.Most]. The
// least suspicious go first, those of the team that has most of them before others. A team that has sent several
// such requests within a short time sends more of them likely: what it has not been served yet is tried one at a time, and
// one [Begun] end is enough.
//
// Failure modes: what an instance has not heard yet it does not count, so that more endpoints end. Two contents
// that share a name are taken for one request; the name has 128 bits and belongs to one team.
//
// It does no I/O and reads no clock, and is not safe for concurrent use.
package crashers
