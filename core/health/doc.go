// Package health rates an endpoint by how it served requests: how often it failed them
// ([Outcomes]), how long it took ([Pace]), and whether it could be used at all ([Breaker]). It uses
// no active health checks, since they are wrong in both directions: an endpoint may pass them and
// fail requests, and a connection that works for one caller may not work for another.
//
// No rating is permanent. Outcomes and pace decay with a half-life of seconds, so an endpoint that
// gets no requests is tried again. A breaker admits the endpoint again after a pause of at most
// [BreakerSettings.MaxPause]; if it failed several times, with one request at a time until one
// succeeds. An endpoint that fails and recovers in turns gets longer pauses: the breaker remembers
// episodes of failures across the successes in between.
//
// An endpoint is compared with the others of its service, since what happens at all of them is not
// its fault. A route whose requests fail one in seven by nature does so at every endpoint.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package health
