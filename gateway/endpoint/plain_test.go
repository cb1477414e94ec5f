package endpoint

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/network"
)

const (
	// uploadBytes is more than the buffers of a connection hold.
	uploadBytes    = 32 << 20
	unframedAnswer = "HTTP/1.1 200 OK\r\n\r\nthe first half"
)

// serve calls f with each connection to a listener whose address it returns.
func serve(t *testing.T, f func(net.Conn)) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f(c)
		}
	}()
	return l.Addr().String()
}

func call(t *testing.T, address string, body []byte, idempotent bool) (string, error) {
	return callOver(t, network.TCP{}, address, &Call{ID: "a", Method: http.MethodPost, Path: "/", Body: body, Idempotent: idempotent})
}

func callOver(t *testing.T, n network.Network, address string, call *Call) (string, error) {
	return readAnswer(t, NewClient(time.Second, n), address, call)
}

func readAnswer(t *testing.T, c *Client, address string, call *Call) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	resp, err := c.Do(ctx, address, call)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	return string(raw), err
}

// TestPartOfAnswerBeforeResetOfUpload guards against a part of an answer without a length that is taken for the whole
// one: the service goes on to read the call while it answers, resets the connection in the middle, and only the write
// of the call gets the error. Which system call does is chance.
func TestPartOfAnswerBeforeResetOfUpload(t *testing.T) {
	const rounds = 40
	address := serve(t, func(c net.Conn) {
		_, _ = io.WriteString(c, unframedAnswer)
		_, _ = io.CopyN(io.Discard, c, uploadBytes/8)
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	})
	complete, body := 0, make([]byte, uploadBytes)
	for i := range rounds {
		if _, err := call(t, address, body, i%2 == 0); err == nil {
			complete++
		}
	}
	assert.Equal(t, complete, 0, "answers of %d", rounds)
}

// TestWholeUnframedAnswer: an answer without a length is complete if the call was written whole.
func TestWholeUnframedAnswer(t *testing.T) {
	body := make([]byte, uploadBytes)
	address := serve(t, func(c net.Conn) {
		_, _ = io.CopyN(io.Discard, c, uploadBytes)
		_, _ = io.WriteString(c, unframedAnswer)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c) // the head has taken some of uploadBytes
		_ = c.Close()
	})
	for _, idempotent := range []bool{true, false} {
		answer, err := call(t, address, body, idempotent)
		assert.NilError(t, err)
		assert.Equal(t, answer, "the first half")
	}
}

// TestInvalidStatus guards against an answer with a number that is no status. The standard library panics when it is
// passed on to a caller.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "099", "101", "600", "999"} {
		address := serve(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 1<<10))
			_, _ = fmt.Fprintf(c, "HTTP/1.1 %s X\r\nContent-Length: 2\r\n\r\nok", status)
			_ = c.Close()
		})
		answer, err := call(t, address, nil, false)
		assert.Assert(t, errorx.IsOfType(err, ErrBroken), "%s: %q, %v", status, answer, err)
	}
}
