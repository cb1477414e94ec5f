package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
)

// Receiver takes the events of a stream, in order. Slices are valid during the call.
type Receiver interface {
	// Acked is called once, first.
	Acked(a *Ack)
	// Token is called for each token.
	Token(index int, text []byte)
	// Alive is called for a sign of life without a token.
	Alive()
	// Ended is called when the engine ended the stream.
	Ended(e *End)
}

// Names of the events of a stream.
const (
	EventAck    = "ack"
	EventEnd    = "end"
	EventFenced = "fenced"
)

const readBuffer = 4096

// Stream is an open stream. It has to be closed.
type Stream struct {
	generation string
	attempt    int
	body       io.ReadCloser
	r          *bufio.Reader
	name       []byte // the stream's name, once acknowledged, with a colon
	event      []byte
	id         []byte
	data       []byte
}

func newStream(body io.ReadCloser, generation string, attempt int) *Stream {
	return &Stream{generation: generation, attempt: attempt, body: body, r: bufio.NewReaderSize(body, readBuffer)}
}

// Close ends the connection. The engine's stream goes on.
func (s *Stream) Close() { _ = s.body.Close() }

// Receive hands the events to r until the stream ends, and returns nil after
// [Receiver.Ended] or an error of this layer. Server-sent events are read by hand here:
// this is the path of every token, and it allocates nothing for one.
func (s *Stream) Receive(r Receiver) error {
	for {
		line, err := s.r.ReadSlice('\n')
		if err != nil {
			return ErrBroken.Wrap(err, "the stream broke off")
		}
		line = bytes.TrimRight(line, "\r\n")
		switch {
		case len(line) == 0:
			ended, err := s.dispatch(r)
			if ended || err != nil {
				return err
			}
		case line[0] == ':':
			r.Alive()
		default:
			s.field(line)
		}
	}
}

func (s *Stream) field(line []byte) {
	name, value, _ := bytes.Cut(line, []byte(": "))
	switch string(name) {
	case "event":
		s.event = append(s.event[:0], value...)
	case "id":
		s.id = append(s.id[:0], value...)
	case "data":
		s.data = append(s.data[:0], value...)
	}
}

// dispatch hands on the event that a blank line completed.
func (s *Stream) dispatch(r Receiver) (ended bool, err error) {
	defer func() { s.event, s.id, s.data = s.event[:0], s.id[:0], s.data[:0] }()
	switch string(s.event) {
	case "":
		return false, s.token(r)
	case EventAck:
		return false, s.ack(r)
	case EventFenced:
		return true, ErrFenced.New("the engine serves a higher attempt")
	case EventEnd:
		var e End
		if err := json.Unmarshal(s.data, &e); err != nil {
			return true, ErrBroken.Wrap(err, "end event")
		}
		if !bytes.Equal(s.id, s.name) {
			return true, ErrCrossed.New("the end belongs to another stream")
		}
		r.Ended(&e)
		return true, nil
	}
	return false, nil // an event we don't know
}

func (s *Stream) ack(r Receiver) error {
	var a Ack
	if err := json.Unmarshal(s.data, &a); err != nil {
		return ErrBroken.Wrap(err, "acknowledgement")
	}
	if a.Generation != s.generation || a.Attempt != s.attempt {
		return ErrCrossed.New("the acknowledgement belongs to another request")
	}
	s.name = append(append(s.name[:0], a.Stream...), ':')
	r.Acked(&a)
	return nil
}

func (s *Stream) token(r Receiver) error {
	if len(s.data) == 0 {
		return nil
	}
	index, ok := bytes.CutPrefix(s.id, s.name)
	if len(s.name) == 0 || !ok {
		return ErrCrossed.New("a token belongs to another stream")
	}
	i, err := strconv.Atoi(string(index))
	if err != nil {
		return ErrBroken.Wrap(err, "index")
	}
	text, err := unquote(s.data)
	if err != nil {
		return ErrBroken.Wrap(err, "token")
	}
	r.Token(i, text)
	return nil
}

// unquote decodes a JSON string; without escapes it is the bytes between the quotes.
func unquote(data []byte) ([]byte, error) {
	n := len(data)
	if n >= 2 && data[0] == '"' && data[n-1] == '"' && bytes.IndexByte(data, '\\') < 0 {
		return data[1 : n-1], nil
	}
	var text string
	err := json.Unmarshal(data, &text)
	return []byte(text), err
}
