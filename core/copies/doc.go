// Package copies decides where a copy of the memory of a running request is kept, and when another one
// is due.
//
// A copy lets a request go on at another engine without reading its prompt again. There are two ways to
// have one. An engine can be told, when a request is sent, to keep a copy elsewhere current by itself
// ([Keeper.Begin]). When the engine that holds it is lost, a new copy has to be asked for ([Copy]), and
// again in short intervals, each of which moves only what is new; otherwise the holder drops it.
//
// A [Keeper] does no I/O and reads no clock: the caller reports what happened together with the time and
// carries out the actions. It is not safe for concurrent use.
package copies
