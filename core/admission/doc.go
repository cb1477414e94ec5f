// Package admission bounds what all instances together send to an endpoint that states limits.
//
// [Limits] is what an endpoint states in its answers, and [Statements] what an instance knows of the
// statements of all endpoints: the newest one of each, whether it was observed here or reported by a
// peer. Each endpoint has an owner among the instances, which admits the requests of all of them: a
// [RateGate] keeps their sum within the stated rate. [ReturnSchedule] spreads the times at which
// refused callers are told to come back.
//
// Failure modes: while the owner does not answer, a second owner admits a small share of the rate.
// A new owner knows nothing of what the one before admitted, so it starts without a burst. Two
// instances that disagree about the owner for some seconds may both admit the whole rate.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package admission
