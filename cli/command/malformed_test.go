package command

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/platform/standin"
)

// TestMalformedStateIsNoState guards against a state that is printed although its answer has a malformed field, which may
// have said where the body ends.
func TestMalformedStateIsNoState(t *testing.T) {
	for _, m := range []standin.MalformedHead{
		{LastLine: "X Note: 1"}, {LastLine: "X-Note : 1", Framing: standin.FramedByChunks},
		{LastLine: "Content-Length : 1", Framing: standin.NotFramed}, {Trailer: "X Note: 1", Framing: standin.FramedByChunks},
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			m.Serve(w, "HTTP/1.1 200 OK\r\n", "{}")
		}))
		t.Cleanup(server.Close)
		_, err := fetchState(context.Background(), strings.TrimPrefix(server.URL, "http://"))
		assert.Check(t, errors.Is(err, answerhead.ErrMalformed), "%+v: %v", m, err)
	}
}
