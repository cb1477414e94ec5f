// Package exchange is what instances that forward tell each other, in datagrams. It has five parts.
//
// Members (members.go): who is there, whether callers may be sent to it and whether the platform's store answers it,
// by core/membership. Each instance pings another one four times a second. One that starts, leaves or changes tells all
// others directly; so does whoever finds that one is lost. That costs an instance 1.2 kB a second each way however large
// the fleet is, and a datagram to each other instance for each change.
//
// Announcements (announce.go): what an instance has placed at endpoints and found out about them. In a fleet of up to
// directMost others all are told. In a larger one the owners of those endpoints are told: each endpoint has two, whom
// all instances agree on by a hash.
//
// Questions (ask.go): in a large fleet, before a stream is placed, the owners of the engines that come into question are
// asked what is placed there. That takes one round trip, and is as exact as if all told all.
//
// Digests (digest.go): in a large fleet one instance of each data centre sums up what its instances found out about
// endpoints and what they sent again, and all are told the sums within two seconds. What was sent again counts against one bound
// for all, so it is told on at once where it is much.
//
// Crashes (crashes.go): requests under which endpoints ended. All are told at once. One that starts, or that hears again from
// others, asks two of them for all that are stopped. Nothing is sent while there is nothing to tell.
//
// Failure modes: a datagram that is lost is made good by what comes after it. Nothing is repeated or acknowledged, and no
// connection can go silent. An instance that falls silent is left out, and what it placed is forgotten. One that is cut
// off from all others suspects nobody and goes on with what it knows. An owner that does not answer in time leaves its
// engines unknown, which a choice counts as worse than usual.
//
// Instances find each other by an object that each writes to the store when it starts for the first time (join.go).
package exchange
