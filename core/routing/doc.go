// Package routing selects the endpoint for a request: it filters candidates, scores them and picks
// the one with the lowest score.
//
// [View] holds what one instance knows of the endpoints: their state from the platform's list, from
// peers and from the endpoints themselves; load reports, which lag; and cache events, which may be
// late or missing. None of it is taken as exact. A load report is corrected by the requests that
// this instance has sent and finished since. Cache entries expire. An endpoint that failed is
// suspected for a while, whatever the lists say.
//
// A pick scores only a few candidates: the endpoints that are believed to cache the prompt's
// prefix, and either those that rank highest for the prompt ([Settings.ByPrompt]) or random ones of
// the instance's own data centre, of its own subset and of all endpoints. The cost of random
// sampling does not grow with the fleet. Ranking by prompt hashes each endpoint of the service. A
// pick whose candidates are all ineligible scans all of them.
//
// Failure modes: a lagging view sends work to a full or dead endpoint. The endpoint then refuses,
// and the caller picks again with that endpoint in [Request.Avoid]. The package does no I/O, reads
// no clock and uses no random source of its own. A View is not safe for concurrent use.
package routing
