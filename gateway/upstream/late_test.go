package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/internal/brokenanswers"
)

func newLatePool() *Pool {
	return NewPool(func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		c, err := d.DialContext(ctx, network, address)
		return brokenanswers.LateConn{Conn: c}, err
	})
}

// onlyReader hides the other methods of a body, as callers' bodies have none.
type onlyReader struct{ io.Reader }

// TestWholeAnswerBeforeWriteReturns guards against the loss of a whole answer without a length, where the goroutine that
// wrote the request learns of that later than the one that reads the answer sees its end.
func TestWholeAnswerBeforeWriteReturns(t *testing.T) {
	const body = "the request"
	for _, length := range []int64{int64(len(body)), -1} {
		s := newServer(t)
		conn, err := newLatePool().Get(context.Background(), s.target())
		assert.NilError(t, err)
		go answerWhenRead(<-s.conns)
		r := uploadRequest(onlyReader{strings.NewReader(body)})
		r.Length = length
		x, err := conn.Do(context.Background(), r, matchesID)
		assert.NilError(t, err)
		answer, err := io.ReadAll(x)
		assert.NilError(t, err, "length %d", length)
		assert.Equal(t, string(answer), "the first half")
	}
}

// TestUnsentRequestOnReusedConnection: nothing was sent on a connection that its endpoint had closed, however late the
// write that says so returns.
func TestUnsentRequestOnReusedConnection(t *testing.T) {
	s, p := newServer(t), newLatePool()
	conn, err := p.Get(context.Background(), s.target())
	assert.NilError(t, err)
	conn.reused = true
	assert.NilError(t, (<-s.conns).Close())
	assert.NilError(t, conn.Conn.(brokenanswers.LateConn).Conn.(*net.TCPConn).CloseWrite()) // writes fail
	_, err = conn.Do(context.Background(), newRequest(), matchesID)
	assert.Assert(t, errorx.IsOfType(err, ErrNotSent), "%v", err)
}

// answerWhenRead reads a request whole, answers it without a length and closes the connection.
func answerWhenRead(c net.Conn) {
	defer c.Close()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		if _, err = io.Copy(io.Discard, r.Body); err == nil {
			_, _ = io.WriteString(c, unframedAnswer)
		}
	}
}
