// Package rollout decides which share of a service's requests goes to a new build of its endpoints,
// and whether the build is kept or rolled back.
//
// A [Rollout] follows one order. In the canary phase a small share of the requests goes to the
// target build. The share is set per route, and each request is drawn at random, so that instances
// need no agreement. All instances compare the target with the baseline by a sequential test
// ([Judge]) on the counts of all instances ([Tally]). A target that fails or is slow is rolled back
// by the first instance that detects it. Otherwise requests move to the target, as late as the
// order's deadline allows. The order is completed once no request is left at the baseline. [Builds]
// decides which listed endpoints may be used at all.
//
// Invariants:
//
//   - The final state in the store never changes.
//   - An instance never reverts its decision to roll back.
//   - A target that is not yet judged gets at most a part of the allowed exposure.
//
// Failure modes:
//
//   - An instance that can reach neither the store nor its peers sends nothing to the target.
//   - An instance that restarts gets the order's age from the store and the counts from its peers.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package rollout
