package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// event is one event of a stream, unchanged.
type event struct {
	raw   []byte // including the empty line that ends it
	id    uint64
	hasID bool
}

// Bounds on the memory of a stream.
const (
	eventBufferBytes = 4 << 10
	// maxEventBytes is the size of the largest event that is relayed.
	maxEventBytes = 256 << 10
)

// eventReader splits a stream of server-sent events into whole events. It never returns a partial
// event when the stream breaks off.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, eventBufferBytes)}
}

var idField = []byte("id:")

// next returns the next event, or [io.EOF] at the proper end of the stream. The error is
// [ErrEvents] when the stream ends within an event or an event is too large.
func (e *eventReader) next() (event, error) {
	var result event
	for {
		line, err := e.r.ReadBytes('\n')
		result.raw = append(result.raw, line...)
		if err == io.EOF && len(result.raw) > 0 {
			return event{}, ErrEvents.New("the stream ends within an event")
		}
		if err != nil {
			return event{}, err
		}
		if len(result.raw) > maxEventBytes {
			return event{}, ErrEvents.New("an event has over %d bytes", maxEventBytes)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return result, nil
		}
		if bytes.HasPrefix(text, idField) {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(text[len(idField):])), 10, 64)
			result.id, result.hasID = id, err == nil
		}
	}
}
