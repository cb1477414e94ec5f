package answerhead

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// newTestTransport returns a transport whose calls get the same answer. It counts its connections.
func newTestTransport(t *testing.T, connections *int, answer string) Transport {
	transport := NewTransport(&http.Transport{DialContext: func(context.Context, string, string) (net.Conn, error) {
		*connections++
		near, far := net.Pipe()
		t.Cleanup(func() { _ = far.Close() })
		go func() {
			for r := bufio.NewReader(far); ; {
				call, err := http.ReadRequest(r)
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, call.Body)
				_, _ = io.WriteString(far, answer)
			}
		}()
		return near, nil
	}})
	t.Cleanup(transport.CloseIdleConnections)
	return transport
}

// TestTransport checks that a call whose answer has a malformed head fails and is not repeated.
func TestTransport(t *testing.T) {
	for _, head := range []string{"A B: 1\r\n", "Content-Length : 2\r\n", "A\x01: 1\r\n", "A: 1\r\n B: 1\r\n"} {
		connections := 0
		client := http.Client{Transport: newTestTransport(t, &connections, statusLine+head+"Content-Length: 2\r\n\r\nok")}
		for i := range 2 {
			_, err := client.Get("http://endpoint/")
			assert.Assert(t, errors.Is(err, ErrMalformed), "%q: %v", head, err)
			assert.Equal(t, connections, i+1)
		}
	}
}

// TestTransportKeepsConnections checks that a connection whose answers are sound is used again, also behind a body that
// looks like a malformed head.
func TestTransportKeepsConnections(t *testing.T) {
	connections := 0
	client := http.Client{Transport: newTestTransport(t, &connections, statusLine+"Content-Length: 9\r\n\r\nA B\r\n C\r\n")}
	for range 3 {
		resp, err := client.Post("http://endpoint/", "text/plain", strings.NewReader("x"))
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, string(body), "A B\r\n C\r\n")
	}
	assert.Equal(t, connections, 1)
}

// TestTransportChecksTrailers checks that a body with a malformed trailer is not complete.
func TestTransportChecksTrailers(t *testing.T) {
	for trailer, malformed := range map[string]bool{"": false, "A: 1\r\n": false, "A B: 1\r\n": true, "A : 1\r\n": true} {
		connections := 0
		client := http.Client{Transport: newTestTransport(t, &connections, statusLine+"Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n"+trailer+"\r\n")}
		resp, err := client.Get("http://endpoint/")
		assert.NilError(t, err)
		body, err := io.ReadAll(resp.Body)
		assert.Assert(t, errors.Is(err, ErrMalformed) == malformed, "%q: %q, %v", trailer, body, err)
	}
}
