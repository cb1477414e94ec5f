// Package sharedqueue lets the instances keep one queue per service for the streams that wait for an
// engine.
//
// The [Client] of an instance reports the instance's waiting requests to the owner of the queue,
// and passes the owner's turns and refusals on to them. The [Owner] keeps the queues that this
// instance is asked for; what they decide is in core/fairqueue. A service with more than
// shardEndpoints endpoints has several queues, and an instance uses the one that its name selects.
//
// The messages may be lost, reordered or repeated. An update lists all that waits, and a state all
// turns and refusals of an instance, so the next one replaces a lost one. A state repeats the
// sequence of the newest update that it follows from. Requests that were placed or have left are
// reported again until a state follows from such an update.
//
// A client that gets no answer passes an owner over for a while and registers everything with the
// second one. While neither answers, no request is in a shared queue. Two owners at once, or a queue
// that has lost its entries, only change the order and the number of requests that look for room: a
// claim at the engine decides who gets it.
package sharedqueue
