package forward

import (
	"bytes"
	"context"
	"errors"
	"io"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
)

// answerBody reads the body of an endpoint's answer. It returns [io.EOF] only if the body is complete.
//
// A body without a length and without chunks ends with its connection, and a crash of the endpoint closes the
// connection as well. So such a body is complete only if the endpoint's process still runs. A stream of events
// has to end with a whole event, and is not complete without an event if it ends with its connection.
type answerBody struct {
	*upstream.Exchange
	f        *Forwarder
	endpoint *routing.Endpoint // nil for the answer of another instance, which always frames its answers
	// isStream is set if the body has to be a stream of events. tail is its end so far.
	isStream bool
	tail     streamTail
}

var (
	errEndedByCrash  = errors.New("the endpoint was lost with the connection that ends its answer")
	errEndedUnframed = errors.New("the answer of another instance has neither a length nor chunks")
)

// Read implements [io.Reader].
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.Exchange.Read(p)
	b.tail.add(p[:n])
	if err == io.EOF {
		err = b.checkEnd()
	}
	return n, err
}

// checkEnd returns [io.EOF] if the body is complete now that it has ended, otherwise what is missing.
func (b *answerBody) checkEnd() error {
	if b.isStream && b.tail.insideEvent() {
		return errInsideEvent
	}
	if !b.EndsWithConnection() {
		return io.EOF
	}
	if b.endpoint == nil {
		return errEndedUnframed
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.f.Settings.ProbeTimeout)
	defer cancel()
	if b.isStream && b.tail.empty() || b.f.isProcessGone(ctx, b.endpoint) {
		return errEndedByCrash
	}
	return io.EOF
}

// streamTail holds the last bytes of a stream of events, enough to recognise the empty line that ends an event.
// The zero value is that of an empty stream.
type streamTail []byte

// Ends of an event: its last line feed and an empty line.
var eventEnds = [][]byte{[]byte("\n\n"), []byte("\n\r\n")}

const streamTailBytes = 3

func (t *streamTail) add(b []byte) {
	*t = append(*t, b[max(len(b)-streamTailBytes, 0):]...)
	if over := len(*t) - streamTailBytes; over > 0 {
		*t = append((*t)[:0], (*t)[over:]...)
	}
}

func (t streamTail) empty() bool { return len(t) == 0 }

// insideEvent reports whether the last event is not complete.
func (t streamTail) insideEvent() bool {
	for _, end := range eventEnds {
		if bytes.HasSuffix(t, end) {
			return false
		}
	}
	return !t.empty()
}
