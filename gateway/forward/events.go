package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strconv"

	"github.com/agateway/agateway/core/limitread"
)

// event is one event of a stream, unchanged.
type event struct {
	raw   []byte // including the empty line that ends it
	id    uint64
	hasID bool
}

const eventBufferBytes = 4 << 10

// eventReader splits a stream of server-sent events into whole events. It never returns a partial
// event when the stream breaks off.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, eventBufferBytes)}
}

var errInsideEvent = ErrEvents.New("the stream ends within an event")

var idField = []byte("id:")

// next returns the next event, or [io.EOF] at the proper end of the stream. The error is
// [ErrEvents] when the stream ends within an event or an event is too large.
func (e *eventReader) next() (event, error) {
	var result event
	for {
		begin := len(result.raw)
		err := e.appendLine(&result)
		if err == io.EOF && len(result.raw) > 0 {
			return event{}, errInsideEvent
		}
		if err != nil {
			return event{}, err
		}
		text := bytes.TrimRight(result.raw[begin:], "\r\n")
		if len(text) == 0 {
			return result, nil
		}
		if bytes.HasPrefix(text, idField) {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(text[len(idField):])), 10, 64)
			result.id, result.hasID = id, err == nil
		}
	}
}

// appendLine reads a line of an event. It fails when the event becomes too large, also within a line that
// never ends.
func (e *eventReader) appendLine(to *event) error {
	for {
		piece, err := e.r.ReadSlice('\n')
		if len(to.raw)+len(piece) > limitread.MaxEvent {
			return ErrEvents.New("an event has over %d bytes", limitread.MaxEvent)
		}
		to.raw = append(to.raw, piece...)
		if !errors.Is(err, bufio.ErrBufferFull) {
			return err
		}
	}
}
