// Package sharedqueue lets the instances keep one queue per service for the streams that wait for an
// engine.
//
// The [Client] of an instance reports the instance's waiting requests to the owner of the queue,
// and passes the owner's turns and refusals on to them. The [Owner] keeps the queues that this
// instance is asked for; what they decide is in core/fairqueue. A service with more than
// shardEndpoints endpoints has several queues, and an instance uses the one that its name selects.
//
// The messages may be lost, reordered or repeated. A state repeats the sequence of the newest update
// that it follows from. An update lists each request until a state follows from such an update, and
// those that were placed or have left likewise. All others are renewed by their ids each 200 ms. A state has
// all turns of an instance, and the refusals since the last one. It names the renewed requests that the owner
// does not hold, because it has dropped them or a refusal was lost; these are listed again at once, and so
// are all requests when another process of the owner answers. An owner of a build that does not take
// renewals by id gets all requests with each update.
//
// A client that gets no answer passes an owner over for a while and registers everything with the
// second one. While neither answers, no request is in a shared queue. Two owners at once, or a queue
// that has lost its entries, only change the order and the number of requests that look for room: a
// claim at the engine decides who gets it.
package sharedqueue
