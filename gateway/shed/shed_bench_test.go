package shed_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/shedding"
	"github.com/agateway/agateway/gateway/shed"
)

// BenchmarkRequest is the cost of a request with a body of 8 kB on a kept connection, with and without a guard.
func BenchmarkRequest(b *testing.B) {
	for _, disabled := range []bool{false, true} {
		name := "guarded"
		if disabled {
			name = "without"
		}
		b.Run(name, func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			guard := shed.New(shed.Options{
				Name: "callers", Settings: shedding.Settings{Bytes: 64 << 20, Connections: 1000}, Disabled: disabled,
				RetryAfter: func() string { return "1" }, Log: logrus.NewEntry(log), Scope: tally.NoopScope,
			})
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(b, err)
			h := &http.Server{Handler: http.HandlerFunc(readBody)}
			guard.Serve(h)
			go func() { _ = h.Serve(guard.Listener(l)) }() // returns when the server is closed
			defer func() { _ = h.Close() }()
			conn, err := net.Dial("tcp", l.Addr().String())
			assert.NilError(b, err)
			defer func() { _ = conn.Close() }()
			reader, text := bufio.NewReader(conn), post(8<<10, 8<<10)
			b.ReportAllocs()
			for b.Loop() {
				_, err := io.Copy(conn, strings.NewReader(text))
				assert.NilError(b, err)
				resp, err := http.ReadResponse(reader, nil)
				assert.NilError(b, err)
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		})
	}
}
