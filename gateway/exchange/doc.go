// Package exchange keeps the instances that forward requests informed about each other. They send
// each other datagrams. Only retries are confirmed; other datagrams are neither acknowledged nor repeated.
//
// Members (members.go): which instances are alive, whether callers may be sent to them, and whether
// the platform's store answers them. Package core/membership decides that. Each instance pings
// another one four times a second. An instance that starts, leaves or changes tells all others; an
// instance that finds another one lost does so too. This costs an instance 1.2 kB a second each
// way, whatever the size of the fleet.
//
// Spreading (spread.go): in a fleet of up to maxDirectPeers others, all are told directly. In a
// larger one, the first instances of each data centre, the spreaders, receive the entries and send
// them on, fifteen to a datagram. An instance that starts asks two others for the entries of all.
//
// Announcements (announce.go): what an instance has placed at endpoints, and what it has found out
// about them. In a fleet of up to maxFullMeshPeers others, a full mesh, every instance announces to
// every other. In a larger fleet it announces to the owners of those endpoints. Each endpoint has
// two owners, which all instances determine alike by a hash.
//
// Questions (ask.go): in a large fleet, before a stream is placed, the owners of the candidate
// engines are asked what is placed there. That takes one round trip, and is as exact as a full
// mesh.
//
// Claims (claim.go): right before a request is sent to an engine, an owner of the engine grants or
// refuses room for it.
//
// Digests (digest.go): in a large fleet, one instance of each data centre, the aggregator, combines
// what the instances of its data centre found out about endpoints and how many requests they sent
// again. All instances receive the result within two seconds. Retries count against one limit for
// the whole fleet, so they are passed on at once when there are many.
//
// Crashes (crashes.go): requests under which endpoints ended. All instances are told at once. An
// instance that starts, or that reaches others again, asks two of them for all stopped requests.
// Nothing is sent while there is nothing to tell.
//
// Retry history (retryhistory.go): what each instance has sent again within the last window. An instance that
// starts, or that reaches others again, asks two of them, since counts that it has not heard would otherwise be
// spent a second time.
//
// Retry reports (retryreport.go): in a full mesh, the others confirm that they know the retries of an instance, if need be
// through a third one. It shares the bound on retries only with those that do. Nothing is sent in calm.
//
// Rollouts (rollouts.go): what instances counted about services that move to another build, and
// what they decided.
//
// Failure modes: a lost datagram is made up for by the datagrams after it. No connection can go
// silent, since there is none. An instance that falls silent is left out, and what it placed is
// forgotten. An instance that is cut off from all others suspects none of them and continues with
// what it knows. An owner that does not answer in time leaves its engines unknown, which ranks them
// lower than usual.
//
// Instances find each other through an object that each of them writes to the store when it starts
// for the first time (join.go).
package exchange
