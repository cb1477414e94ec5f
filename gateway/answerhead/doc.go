// Package answerhead rejects answers of HTTP/1 that hold a malformed field, by RFC 9112, section 5. The readers of the
// standard library accept a blank in the name of a field, and join a line that begins with a blank to the one before.
// What such a line says is then lost, such as where the body ends, or becomes part of another field, such as a signature.
// So a client that passes answers on treats one with such a line as lost.
//
// A [Reader] checks the bytes of heads as they arrive on a connection, a [Transport] those of all answers of a transport
// of net/http. [CheckTrailer] checks the fields behind a body. The bytes of values are checked by the reader of the
// standard library.
package answerhead
