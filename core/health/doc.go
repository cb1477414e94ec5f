// Package health judges an endpoint by what it did to requests: how often it failed them ([Outcomes]), how long
// it took ([Pace]) and whether it could be used at all ([Trust]). Health checks play no part in it: they lie
// either way, and a connection that works for one caller may not for another.
//
// Nothing condemns for good. Outcomes and pace count half as much after some seconds, so an endpoint that is
// left alone is tried again; trust returns after a pause of at most [TrustSettings.Most], to one request at first.
// Failures that come again and again, as of an endpoint that goes down and up by turns, make the pause longer:
// trust remembers them over the successes in between.
//
// An endpoint is compared with the others of its service, since what all do alike is not its fault: a route whose
// requests fail one in seven by nature does so everywhere.
//
// It does no I/O and reads no clock, and is not safe for concurrent use.
package health
