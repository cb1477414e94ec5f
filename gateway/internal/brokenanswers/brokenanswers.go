// Package brokenanswers helps to test clients of HTTP/1 with answers that HTTP does not allow.
package brokenanswers

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"
)

// Serve answers calls until the test ends, and returns its address. On each connection some calls get the sound answer,
// and the next one gets the broken one, after which the connection is closed.
func Serve(t *testing.T, soundAnswers int, sound, broken string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go answerCalls(conn, soundAnswers, sound, broken)
		}
	}()
	return l.Addr().String()
}

func answerCalls(conn net.Conn, soundAnswers int, sound, broken string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; n <= soundAnswers; n++ {
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, call.Body)
		answer := sound
		if n == soundAnswers {
			answer = broken
		}
		_, _ = io.WriteString(conn, answer) // a failure shows as a lost answer
	}
}

// calls is more than a connection answers properly in any test, as the client may open another one for a call while the
// one before is about to be used again.
const calls = 6

// AssertFail makes calls. All that fail have to fail with the error, and all of them have to if no answer is sound, at
// least one otherwise.
func AssertFail(t *testing.T, soundAnswers int, want *errorx.Type, call func() error) {
	t.Helper()
	failed := 0
	for range calls {
		if err := call(); err != nil {
			assert.Check(t, errorx.IsOfType(err, want), "%v", err)
			failed++
		}
	}
	assert.Check(t, failed > 0 && (soundAnswers > 0 || failed == calls), "%d of %d calls failed", failed, calls)
}
