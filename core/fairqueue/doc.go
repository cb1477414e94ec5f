// Package fairqueue orders the requests of all instances that wait for an engine of a service.
//
// Instances report their waiting requests to the owner of the service's [Queue]. Those that come first in its order have
// a turn: they look for room. The others wait, or are refused as soon as they are not expected to start on time.
//
// The order is by level, then by team, then by the latest useful start. Requests that can no longer be on time come last.
// A caller who returns with the prompt of a refused request has the place of that request in its team.
// Each team has a counter of the tokens of its placed requests, divided by its weight; the team with the smallest one
// comes first. Requests of several teams are interleaved as if each team were charged for its requests ahead. A placed
// request is charged at all levels. A team that begins to wait at a level starts there at no less than the smallest counter
// of those that wait there, so that it has no credit from idle time. A team of which a much smaller part is placed than of
// all teams together is charged less, since one that asks for many times as much as others would get nearly nothing.
//
// Turns go to the first in the order. An instance that has had turns for some time without placing anything is limited to
// one, and all such instances to half of the turns.
//
// A request is refused when its position, divided by the placements per second, comes up after its latest useful start.
// Until the rate is known, and while it has a turn, it is refused only once its latest start has passed.
//
// At most 4,096 requests wait after a decision, and 5,120 until the next one, and the counters of 8,192 teams. What exceeds this
// is refused from the end of the order, or forgotten by the longest time without use.
//
// Failure modes: requests that are not renewed within the TTL are dropped, whether their instance has died or its reports
// are lost. An owner without state has the same order among waiting requests of a team as the one before, because it
// depends on when their callers began to wait; the counters of teams start anew. Two owners at once give out twice the
// turns.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use. The times given to the methods of
// a Queue must not go backwards.
package fairqueue
