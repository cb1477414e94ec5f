// Package revision keeps the configuration in force at one instance. For every object it holds the
// highest version seen from any source.
//
// # Contract
//
//   - [Store.Apply] takes a record only if its version is higher than the one held. A deletion
//     is a version like any other, so an old copy never restores a deleted object.
//   - Two stores with equal [Store.Digest] hold the same versions. If the digests differ,
//     [Store.Buckets] narrows down which records to exchange. So the cost of an exchange
//     depends on the number of differences and not on the number of objects.
//
// Versions come from the platform's conditional updates; the package never makes one. It does no
// I/O. A Store is not safe for concurrent use.
package revision
