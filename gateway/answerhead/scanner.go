package answerhead

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// ErrMalformed means that an answer holds a malformed field.
var ErrMalformed = errors.New("malformed field in the answer")

// scanner checks the head of an answer as its bytes arrive. The zero value expects a head. It is not safe for
// concurrent use.
type scanner struct {
	at            position
	informational bool // the current head has a status of 1xx
	name          fieldName
	err           error
}

// position is the part of a head that the next byte belongs to.
type position int

const (
	inProtocol    position = iota // of the status line, with the blank behind it
	beforeStatus                  // blanks before the status code
	inStatusLine                  // the remainder of the status line
	atLineStart                   // the first byte of a line
	behindReturn                  // a line feed has to end the head
	inName                        // the name of a field, with its colon
	inValue                       // the value of a field, with the end of its line
	behindAllHead                 // the body, which is not checked
)

// scan checks the next bytes of an answer. It returns how many there are before a malformed line. A head of a status of
// 1xx is followed by another head. The error is [ErrMalformed], also of all later calls.
func (s *scanner) scan(b []byte) (sound int, err error) {
	for i := 0; i < len(b) && s.err == nil && s.at != behindAllHead; i++ {
		if s.at == inStatusLine || s.at == inValue {
			end := bytes.IndexByte(b[i:], '\n')
			if end < 0 {
				break
			}
			s.at = atLineStart
			i += end
			continue
		}
		if s.at == atLineStart {
			sound = i
		}
		s.err = s.next(b[i])
	}
	if s.err != nil {
		return sound, s.err
	}
	return len(b), nil
}

// next checks a byte that is neither in the remainder of a status line nor in a value.
func (s *scanner) next(c byte) error {
	switch s.at {
	case inProtocol:
		s.nextOfProtocol(c)
	case beforeStatus:
		s.nextBeforeStatus(c)
	case atLineStart:
		return s.beginLine(c)
	case behindReturn:
		if c != '\n' {
			return s.invalidByte('\r')
		}
		s.endHead()
	case inName:
		return s.nextOfName(c)
	}
	return nil
}

func (s *scanner) nextOfProtocol(c byte) {
	switch c {
	case ' ':
		s.at = beforeStatus
	case '\n':
		s.at = atLineStart
	}
}

func (s *scanner) nextBeforeStatus(c byte) {
	switch c {
	case ' ':
	case '\n':
		s.at = atLineStart
	default:
		s.informational, s.at = c == '1', inStatusLine
	}
}

// beginLine checks the first byte of a line. A line that begins with a blank once continued the line before, which a
// server must not send.
func (s *scanner) beginLine(c byte) error {
	s.name = fieldName{}
	switch c {
	case '\n':
		s.endHead()
	case '\r':
		s.at = behindReturn
	case ' ', '\t':
		return fmt.Errorf("%w: a line begins with byte %#02x", ErrMalformed, c)
	default:
		s.at = inName
		return s.nextOfName(c)
	}
	return nil
}

// nextOfName checks a byte of a name or the colon behind it.
func (s *scanner) nextOfName(c byte) error {
	switch {
	case c == ':' && s.name.length == 0:
		return fmt.Errorf("%w: empty name", ErrMalformed)
	case c == ':':
		s.at = inValue
	case !httpguts.IsTokenRune(rune(c)):
		return s.invalidByte(c)
	}
	s.name.add(c)
	return nil
}

func (s *scanner) invalidByte(c byte) error {
	return fmt.Errorf("%w: byte %#02x in a name behind %q", ErrMalformed, c, s.name.text())
}

func (s *scanner) endHead() {
	s.at = behindAllHead
	if s.informational {
		*s = scanner{}
	}
}

// fieldName holds the beginning of a name, to quote it.
type fieldName struct {
	begin  [32]byte
	length int // of the whole name
}

func (n *fieldName) add(c byte) {
	if n.length < len(n.begin) {
		n.begin[n.length] = c
	}
	n.length++
}

func (n *fieldName) text() string { return string(n.begin[:min(n.length, len(n.begin))]) }

// CheckTrailer returns [ErrMalformed] if a field behind a body has a malformed name.
func CheckTrailer(trailer http.Header) error {
	for name := range trailer {
		if !httpguts.ValidHeaderFieldName(name) {
			return fmt.Errorf("%w: trailer %.32q", ErrMalformed, name)
		}
	}
	return nil
}
