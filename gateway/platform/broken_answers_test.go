package platform_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/platform"
	store "github.com/agateway/agateway/platform"
)

const object = `{"metadata":{"name":"a","revision":7},"spec":{}}`

// TestInvalidStatusesOfStore guards against an answer of the store that counts although what stands in place of its
// status code is none: it is no answer to a read, and leaves it open whether a write was made.
func TestInvalidStatusesOfStore(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		assertNoAnswer(t, "HTTP/1.1 "+status+" X\r\n")
	}
}

// TestMalformedHeadsOfStore guards against an answer of the store that counts although a line of its head is no field,
// such as the one that states the era.
func TestMalformedHeadsOfStore(t *testing.T) {
	for _, line := range []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", "X\x01Note: 1", "X\x7fNote: 1", " X-Note: 1", "\tX-Note: 1", "X-Note: \x01", "Store-Era : 3"} {
		assertNoAnswer(t, "HTTP/1.1 200 OK\r\nX-First: 1\r\n"+line+"\r\n")
	}
}

// assertNoAnswer checks that an answer of the store with a head, without its framing and end, counts as none.
func assertNoAnswer(t *testing.T, head string) {
	for _, properly := range []int{0, 1} {
		t.Run(fmt.Sprintf("%q/%d", head, properly), func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			defer func() { _ = l.Close() }()
			go acceptCalls(l, properly, fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(object), object), object)
			s := platform.NewObjects("http://"+l.Addr().String(), 2*time.Second, network.TCP{}).Store()
			assertBroken(t, properly == 0, store.ErrUnavailable, func() error { _, err := s.Get(context.Background(), "kind", "a"); return err })
			assertBroken(t, properly == 0, store.ErrUncertain, func() error {
				_, err := s.Replace(context.Background(), "kind", "a", []byte("{}"), revision.Position{})
				return err
			})
		})
	}
}

// assertBroken makes calls of which at least one, or all, fail with an error. The transport may open another connection
// for a call while the one before is about to be used again.
func assertBroken(t *testing.T, all bool, want *errorx.Type, call func() error) {
	t.Helper()
	const calls = 6
	broken := 0
	for range calls {
		if err := call(); err != nil {
			assert.Check(t, errorx.IsOfType(err, want), "%v", err)
			broken++
		}
	}
	assert.Check(t, broken > 0 && (!all || broken == calls), "%d of %d calls failed", broken, calls)
}

// acceptCalls answers the calls on each connection: some properly with a body, and the next one with an answer.
func acceptCalls(l net.Listener, properly int, answer, body string) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = conn.Close() }()
			r := bufio.NewReader(conn)
			for n := 0; n <= properly; n++ {
				call, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, call.Body)
				text := answer
				if n < properly {
					text = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				}
				_, _ = io.WriteString(conn, text)
			}
		}()
	}
}
