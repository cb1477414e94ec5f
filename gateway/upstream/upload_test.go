package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/internal/brokenanswers"
)

const (
	uploadBytes    = 3 << 20
	unframedAnswer = "HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nthe first half"
)

func uploadRequest(body io.Reader) *Request {
	return &Request{Method: http.MethodPost, Target: "/", Host: "h.example", Header: http.Header{}, Body: body, Length: uploadBytes}
}

// TestPartOfAnswerBeforeResetOfUpload guards against a part of an answer without a length that is taken for the whole
// one: the endpoint reset the connection while the request was written, and only the writer saw that.
func TestPartOfAnswerBeforeResetOfUpload(t *testing.T) {
	for _, takes := range []int{0, 100, uploadBytes / 2} {
		p := NewPool(func(context.Context, string, string) (net.Conn, error) {
			return brokenanswers.NewResetConn(unframedAnswer, takes), nil
		})
		conn, err := p.Get(context.Background(), Target{ID: "e1"})
		assert.NilError(t, err)
		x, err := conn.Do(context.Background(), uploadRequest(bytes.NewReader(make([]byte, uploadBytes))), matchesID)
		assert.NilError(t, err)
		body, err := io.ReadAll(x)
		assert.Assert(t, errorx.IsOfType(err, ErrLost), "after %d bytes: %q, %v", takes, body, err)
	}
}

// TestAnswerDuringUploadOfSlowCaller: an endpoint that has closed the connection before the caller has sent the rest
// of its request did not read that, so its answer without a length may be cut.
func TestAnswerDuringUploadOfSlowCaller(t *testing.T) {
	s := newServer(t)
	conn, err := newPool().Get(context.Background(), s.target())
	assert.NilError(t, err)
	go func() { _ = s.serve(t, unframedAnswer).Close() }()
	callersBody, caller := io.Pipe()
	defer caller.Close()
	go func() { _, _ = caller.Write(make([]byte, uploadBytes/2)) }()
	x, err := conn.Do(context.Background(), uploadRequest(callersBody), matchesID)
	assert.NilError(t, err)
	body, err := io.ReadAll(x)
	assert.Assert(t, errorx.IsOfType(err, ErrLost), "%q, %v", body, err)
}

// TestWholeUnframedAnswers: an answer without a length is complete if the request was written whole.
func TestWholeUnframedAnswers(t *testing.T) {
	s := newServer(t)
	conn, err := newPool().Get(context.Background(), s.target())
	assert.NilError(t, err)
	go answerWhenRead(<-s.conns)
	x, err := conn.Do(context.Background(), uploadRequest(bytes.NewReader(make([]byte, uploadBytes))), matchesID)
	assert.NilError(t, err)
	body, err := io.ReadAll(x)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "the first half")
}

// TestResetWhileUploadIsRead is TestPartOfAnswerBeforeResetOfUpload with sockets: the endpoint goes on to read the upload
// while it answers, and resets the connection in the middle. Which system call meets the reset first is chance.
func TestResetWhileUploadIsRead(t *testing.T) {
	const rounds = 40
	s, p := newServer(t), newPool()
	complete := 0
	for range rounds {
		conn, err := p.Get(context.Background(), s.target())
		assert.NilError(t, err)
		go answerAndReset(<-s.conns)
		r := uploadRequest(io.LimitReader(zeros{}, largeUploadBytes))
		r.Length = largeUploadBytes
		x, err := conn.Do(context.Background(), r, matchesID)
		if err != nil {
			continue
		}
		if _, err = io.ReadAll(x); err == nil {
			complete++
		}
		x.Abort()
	}
	assert.Equal(t, complete, 0, "answers of %d", rounds)
}

// largeUploadBytes is more than the buffers of a connection hold.
const largeUploadBytes = 64 << 20

// answerAndReset answers on a connection, reads a part of the upload and resets the connection.
func answerAndReset(c net.Conn) {
	_, _ = io.WriteString(c, unframedAnswer)
	_, _ = io.CopyN(io.Discard, c, largeUploadBytes/8)
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// TestInvalidStatus guards against an answer whose status is no status: it is neither an informational answer, after
// which the caller would wait until its deadline, nor one to pass on.
func TestInvalidStatus(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		s := newServer(t)
		conn, err := newPool().Get(context.Background(), s.target())
		assert.NilError(t, err)
		go s.serve(t, fmt.Sprintf("HTTP/1.1 %s X\r\nX-Id: 1\r\nContent-Length: 2\r\n\r\nok", status))
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		began := time.Now()
		_, err = conn.Do(ctx, newRequest(), matchesID)
		cancel()
		assert.Assert(t, errorx.IsOfType(err, ErrLost), "%s: %v", status, err)
		assert.Assert(t, !errors.Is(err, context.DeadlineExceeded) && time.Since(began) < 2*time.Second, "%s: %v after %v", status, err, time.Since(began))
	}
}
