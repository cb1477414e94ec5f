// Package exchange tells the other instances what this one has placed at endpoints and whether callers
// may be sent to it, and takes the same from them.
//
// Each instance sends one datagram with all it has to say to each other one: at an even pace, and sooner
// after a change. A datagram that is lost is made good by the next, so nothing is repeated or
// acknowledged, and no connection can go silent. Instances find each other by an object that each writes
// to the store when it starts; one that starts says hello to those it finds there, and so becomes known
// to them.
//
// Failure modes: an instance that is not heard from for a while is left out of what callers are told,
// and what it placed is forgotten. One that is cut off from all goes on with what it knows itself. The
// cost grows with the number of instances on each of them; docs/CAPACITY.md has the slope.
package exchange
