package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// cutAnswers are answers that say themselves where they end.
var cutAnswers = map[string]string{
	"length":               "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\nX-Last: 1\r\n\r\n0123456789",
	"length at the end":    "HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n0123456789",
	"chunks":               "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n01234\r\n5\r\n56789\r\n0\r\n\r\n",
	"chunks with trailers": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nTrailer: X-T\r\nTransfer-Encoding: chunked\r\n\r\na;x=y\r\n0123456789\r\n0\r\nX-T: 1\r\n\r\n",
	"line feeds only":      "HTTP/1.1 200 OK\nX-Id: 1\nContent-Length: 10\n\n0123456789",
	"informational first":  "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n0123456789",
	"old version":          "HTTP/1.0 200 OK\r\nX-Id: 1\r\nContent-Length: 10\r\n\r\n0123456789",
}

// cutHeads are heads of answers without a length and without chunks. The whole head alone is an empty answer.
var cutHeads = map[string]string{
	"ends with its connection": "HTTP/1.1 200 OK\r\nX-Id: 1\r\nConnection: close\r\n\r\n",
	"old version":              "HTTP/1.0 200 OK\r\nX-Id: 1\r\n\r\n",
}

// TestCutAnswers guards against an answer that is taken for complete, empty or short, when its endpoint stops anywhere in
// it and closes the connection, also in the middle of a line of the head.
func TestCutAnswers(t *testing.T) {
	for name, whole := range cutAnswers {
		t.Run(name, func(t *testing.T) {
			s := newServer(t)
			for n := range len(whole) {
				body, err := s.cutAfter(t, whole[:n])
				assert.Assert(t, errorx.IsOfType(err, ErrLost), "%q gives %q, %v", whole[:n], body, err)
			}
			body, err := s.cutAfter(t, whole)
			assert.NilError(t, err)
			assert.Equal(t, body, "0123456789")
		})
	}
	for name, head := range cutHeads {
		t.Run("head that "+name, func(t *testing.T) {
			s := newServer(t)
			for n := range len(head) {
				body, err := s.cutAfter(t, head[:n])
				assert.Assert(t, errorx.IsOfType(err, ErrLost), "%q gives %q, %v", head[:n], body, err)
			}
		})
	}
}

// TestFoldedLines checks that an answer in whose head a line is folded is lost, cut anywhere and whole.
func TestFoldedLines(t *testing.T) {
	s := newServer(t)
	whole := "HTTP/1.1 200 OK\r\nX-Id: 1\r\nX-Long: a\r\n b\r\nContent-Length: 10\r\n\r\n0123456789"
	for n := range len(whole) + 1 {
		body, err := s.cutAfter(t, whole[:n])
		assert.Assert(t, errorx.IsOfType(err, ErrLost), "%q gives %q, %v", whole[:n], body, err)
	}
}

// cutAfter answers a request with text and closes the connection.
func (s *server) cutAfter(t *testing.T, text string) (string, error) {
	conn, err := newPool().Get(context.Background(), s.target())
	assert.NilError(t, err)
	go func() { _ = s.serve(t, text).Close() }()
	return exchange(context.Background(), conn)
}

// TestCutAnswersInPieces is the same with a pause in the answer before it is cut, on a connection that is used again.
func TestCutAnswersInPieces(t *testing.T) {
	whole := cutAnswers["length"]
	head := strings.Index(whole, "\r\n\r\n") + len("\r\n\r\n")
	for n := 1; n < head; n += 3 {
		s, p := newServer(t), newPool()
		conn, err := p.Get(context.Background(), s.target())
		assert.NilError(t, err)
		endpoint := make(chan net.Conn, 1)
		go func() { endpoint <- s.serve(t, okAnswer) }()
		_, err = exchange(context.Background(), conn)
		assert.NilError(t, err)
		conn, err = p.Get(context.Background(), s.target())
		assert.NilError(t, err)
		assert.Assert(t, conn.Reused())
		c := <-endpoint
		go func() {
			s.answer(t, c, whole[:n/2])
			_, _ = io.WriteString(c, whole[n/2:n])
			_ = c.Close()
		}()
		x, err := conn.Do(context.Background(), newRequest(), func(int, http.Header) bool { return true })
		assert.Assert(t, x == nil && errorx.IsOfType(err, ErrLost), "%q: %v", whole[:n], err)
	}
}

// TestMalformedAnswersAreCounted checks that an answer with a malformed field is reported once, in its head or its trailer,
// and that no other lost answer is.
func TestMalformedAnswersAreCounted(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n"
	for answer, want := range map[string]int{
		head + "X Y: 1\r\nContent-Length: 2\r\n\r\nok":                            1,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX Y: 1\r\n\r\n": 1,
		head + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX-Y: 1\r\n\r\n": 0,
		head + "Content-Length: 3\r\n\r\nok":                                      0,
	} {
		s, p, counted := newServer(t), newPool(), 0
		p.OnMalformed = func() { counted++ }
		conn, err := p.Get(context.Background(), s.target())
		assert.NilError(t, err)
		go func() { _ = s.serve(t, answer).Close() }()
		_, _ = exchange(context.Background(), conn)
		assert.Check(t, counted == want, "%q: %d", answer, counted)
	}
}
