package endpoint

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"strconv"
)

// Receiver receives the events of a stream, in order. Slices passed to it are valid only during
// the call.
type Receiver interface {
	// Acked is called when the engine acknowledges the request. No token comes before it.
	Acked(a *Ack)
	// Token is called for each token.
	Token(index int, text []byte)
	// Keepalive is called if the engine shows that it is alive without sending a token.
	Keepalive()
	// Ended is called last, if the engine ended the stream.
	Ended(e *End)
}

// Names of the events of a stream. Tokens have no event name.
const (
	EventAck    = "ack"
	EventEnd    = "end"
	EventFenced = "fenced"
)

const readBufferBytes = 4096

// Stream is an open stream of an engine. The caller has to close it.
type Stream struct {
	generation string
	attempt    int
	body       io.ReadCloser
	r          *bufio.Reader
	idPrefix   []byte // the id of the stream with a colon; empty until the acknowledgement
	event      []byte
	id         []byte
	data       []byte
}

func newStream(body io.ReadCloser, generation string, attempt int) *Stream {
	return &Stream{generation: generation, attempt: attempt, body: body, r: bufio.NewReaderSize(body, readBufferBytes)}
}

// Close closes the connection. The engine keeps generating until the stream is cancelled.
func (s *Stream) Close() { _ = s.body.Close() }

// Receive passes the events to r until the stream ends. It returns nil after [Receiver.Ended], and
// one of this package's errors otherwise. The parser of server-sent events is written by hand
// because every token passes through it: it allocates nothing for a token without escapes.
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
			r.Keepalive()
		default:
			s.parseField(line)
		}
	}
}

func (s *Stream) parseField(line []byte) {
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

// dispatch passes on the event that a blank line completed.
func (s *Stream) dispatch(r Receiver) (ended bool, err error) {
	defer func() { s.event, s.id, s.data = s.event[:0], s.id[:0], s.data[:0] }()
	switch string(s.event) {
	case "":
		return false, s.handleToken(r)
	case EventAck:
		return false, s.handleAck(r)
	case EventFenced:
		return true, ErrFenced.New("the engine serves a higher attempt")
	case EventEnd:
		var e End
		if err := json.Unmarshal(s.data, &e); err != nil {
			return true, ErrBroken.Wrap(err, "end event")
		}
		if !bytes.Equal(s.id, s.idPrefix) {
			return true, ErrWrongRequest.New("the end belongs to another stream")
		}
		r.Ended(&e)
		return true, nil
	}
	return false, nil // unknown events are ignored, so that engines can add some
}

func (s *Stream) handleAck(r Receiver) error {
	var a Ack
	if err := json.Unmarshal(s.data, &a); err != nil {
		return ErrBroken.Wrap(err, "acknowledgement")
	}
	if a.Generation != s.generation || a.Attempt != s.attempt {
		return ErrWrongRequest.New("the acknowledgement belongs to another request")
	}
	s.idPrefix = append(append(s.idPrefix[:0], a.Stream...), ':')
	r.Acked(&a)
	return nil
}

func (s *Stream) handleToken(r Receiver) error {
	if len(s.data) == 0 {
		return nil
	}
	index, ok := bytes.CutPrefix(s.id, s.idPrefix)
	if len(s.idPrefix) == 0 || !ok {
		return ErrWrongRequest.New("a token belongs to another stream")
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

// unquote decodes a JSON string. Without escapes the result is a slice of data.
func unquote(data []byte) ([]byte, error) {
	n := len(data)
	if n >= 2 && data[0] == '"' && data[n-1] == '"' && bytes.IndexByte(data, '\\') < 0 {
		return data[1 : n-1], nil
	}
	var text string
	err := json.Unmarshal(data, &text)
	return []byte(text), err
}
