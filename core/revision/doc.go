// Package revision keeps the configuration in force at one instance: for every object
// the highest version seen, from whomever, and never an older one.
//
// # Contract
//
//   - [Store.Apply] takes a record only when its version is higher than the one held. A
//     deletion is a version like any other, so a deleted object never comes back through
//     an old copy.
//   - Two stores with equal [Store.Digest] hold the same versions. Where they differ,
//     [Store.Buckets] narrows down which records to exchange, so that the cost follows the
//     difference and not the size.
//
// Versions come from the platform's conditional updates; the package never makes one. It
// does no I/O. A Store is not safe for concurrent use.
package revision
