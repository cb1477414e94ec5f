// Package copies decides where a copy of the memory (KV cache) of a running request is kept, and
// when to request another one.
//
// With a copy, a request can continue at another engine without reading its prompt again. There
// are two ways to get one. An engine can be told, when a request is sent to it, to keep a copy
// current at another engine by itself ([Tracker.RunStarted]). If the holder of that copy is lost, a
// new copy has to be requested ([Request]). It has to be refreshed in short intervals, since the
// holder drops a copy that is not refreshed. Each refresh transfers only what is new.
//
// A [Tracker] does no I/O and reads no clock: the caller reports events together with the time and
// carries out the requests. It is not safe for concurrent use.
package copies
