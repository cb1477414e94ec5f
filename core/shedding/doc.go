// Package shedding bounds what the connections of callers make a process hold, and decides which connections are
// closed when that reaches its bound.
//
// A [Budget] holds one sum of bytes and one number of connections. Each connection has a [Holder], which reserves
// bytes before they are held: for the connection itself, the head of its request as it is held after it was
// parsed, the body, and an answer that was not yet taken.
//
//   - The sum of the holders that are not being closed never exceeds the bound. With those that are being closed
//     it exceeds it by a quarter at most.
//   - A holder gets no more than what it leaves free for others. A small request therefore finds room beside
//     large ones that may not be closed.
//   - If there is no room, connections are closed that make no progress at the process: idle ones, requests that
//     have not arrived completely, answers that are not taken. The first are those that have held the most for
//     the longest time. A request that is being served is never closed.
//   - A holder that would be the first to be closed itself is refused.
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use.
package shedding
