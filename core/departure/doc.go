// Package departure decides which endpoints are leaving, from what they say in their answers. The
// platform's list says so too, but it stands still while the store is away, and some endpoints
// leave without an entry that says so.
//
// An endpoint that said in an answer that it leaves is leaving until a later word of the same
// incarnation. Answers can't take it back, as nothing is sent there any more. Its list entry does,
// if it says that the endpoint is ready and is certainly later than the answer: its sequence number
// is higher than the one known when the answer arrived, and the list has either said in between
// that the endpoint leaves, or has had [entryLag] to catch up. An entry without a sequence number
// takes nothing back.
//
// What other instances report counts like an own answer, with the age that they state. It is not
// passed on again: it would seem newer each time.
//
// Endpoints are identified by incarnation. The package does no I/O. A Register is not safe for
// concurrent use.
package departure
