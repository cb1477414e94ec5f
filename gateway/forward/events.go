package forward

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
)

// event is one event of a stream, as it came.
type event struct {
	block    []byte // up to and with the empty line that ends it
	id       uint64
	numbered bool
}

// Bounds on the memory of a stream.
const (
	eventBuffer = 4 << 10
	// eventMost is the largest event that is passed on, in bytes.
	eventMost = 256 << 10
)

// eventReader cuts a stream of server-sent events into whole events. What is left when a stream
// breaks off in the middle of an event is never returned.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{bufio.NewReaderSize(r, eventBuffer)}
}

var idField = []byte("id:")

// next returns the next event; [io.EOF] only at the proper end of the stream.
func (e *eventReader) next() (event, error) {
	var out event
	for {
		line, err := e.r.ReadBytes('\n')
		out.block = append(out.block, line...)
		if err == io.EOF && len(out.block) > 0 {
			return event{}, ErrEvents.New("the stream ends within an event")
		}
		if err != nil {
			return event{}, err
		}
		if len(out.block) > eventMost {
			return event{}, ErrEvents.New("an event has over %d bytes", eventMost)
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			return out, nil
		}
		if bytes.HasPrefix(text, idField) {
			id, err := strconv.ParseUint(string(bytes.TrimSpace(text[len(idField):])), 10, 64)
			out.id, out.numbered = id, err == nil
		}
	}
}
