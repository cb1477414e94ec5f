// Package routing chooses the endpoint for a request: filter, score, pick.
//
// [View] is what one instance knows of the endpoints: state from the platform's
// list, from peers and from the endpoints themselves; load reports that lag; cache
// events that come late and with gaps. None of it is taken as truth: a report is
// corrected by what this instance has sent and finished since it was taken, cache
// entries expire, and an endpoint that failed is suspected for a while whatever the
// lists say.
//
// A pick looks at a few candidates only (those whose cache is believed to hold the
// prompt's prefix, random ones of the own data centre, of the instance's own part and of
// all), so its cost does not grow with the fleet.
//
// Failure modes: a lagging view sends work to a full or dead endpoint; the endpoint
// refuses, and the caller picks again with that endpoint in Avoid. The package does
// no I/O, reads no clock and draws no random numbers of its own. A View is not safe
// for concurrent use.
package routing
