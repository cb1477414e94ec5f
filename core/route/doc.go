// Package route decides which route and service a request takes, which team its key belongs to, and
// whether the request may be retried.
//
// A [Table] is built once from a [Configuration] and never changes, so any number of goroutines may
// read it. A new configuration is a new table. Looking up a route costs one map access and one prefix
// comparison for each route of the host, the longest prefix first.
//
// Failure modes: a table does not know its own age. A user of a table has to know when it was last
// proved to be in force (package revision, [revision.Freshness]).
package route
