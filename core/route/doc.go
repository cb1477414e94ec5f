// Package route says where a request may go: which route it takes, which service carries it, which
// team its key belongs to, and what may be repeated.
//
// A [Table] is built once from a [Configuration] and never changes, so it may be read by any number
// of goroutines; a new configuration is a new table. Looking a route up costs one map access and one
// comparison a route of that host, longest prefix first.
//
// Failure modes: a table says nothing of its own age. Whoever serves from it has to know how old the
// proof is that it is still in force (package revision, [revision.Proof]).
package route
