// Package admission bounds what all instances together send to an endpoint that states limits.
//
// [Limits] is what an endpoint states in its answers, and [Statements] what an instance knows of the
// statements of all endpoints: the newest one of each, whether it was observed here or reported by a
// peer.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package admission
