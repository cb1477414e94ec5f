package forward

import (
	"context"
	"net"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/upstream"
)

// TestProcessThatExits guards against an endpoint that counts as running while its process exits: the connection
// that checks it is reset while it is opened, and only the next one is refused. An answer that such an endpoint cut
// off was then delivered as complete.
func TestProcessThatExits(t *testing.T) {
	const open, closes = "a connection that stays open", "a connection that closes"
	for name, c := range map[string]struct {
		dials []any // the result of each dial: an error, or the kind of the connection
		gone  bool
	}{
		"refuses":                 {[]any{syscall.ECONNREFUSED}, true},
		"resets, then refuses":    {[]any{syscall.ECONNRESET, syscall.ECONNREFUSED}, true},
		"closes, then refuses":    {[]any{closes, syscall.ECONNREFUSED}, true},
		"too many connections":    {[]any{syscall.ECONNRESET, closes, syscall.ECONNRESET}, false},
		"resets, then stays open": {[]any{syscall.ECONNRESET, open}, false},
		"stays open":              {[]any{open}, false},
		"does not answer":         {[]any{context.DeadlineExceeded}, false},
		"resets, then is silent":  {[]any{syscall.ECONNRESET, context.DeadlineExceeded}, false},
	} {
		t.Run(name, func(t *testing.T) {
			left := c.dials
			pool := upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
				result := left[0]
				left = left[1:]
				if err, failed := result.(error); failed {
					return nil, err
				}
				here, there := net.Pipe()
				t.Cleanup(func() { _ = there.Close() })
				if result == closes {
					_ = there.Close()
				}
				return here, nil
			})
			f := &Forwarder{Options: Options{Pool: pool}}
			assert.Equal(t, f.isProcessGone(context.Background(), &routing.Endpoint{ID: "e1", Address: "10.0.0.1:80"}), c.gone)
			assert.Equal(t, len(left), 0)
		})
	}
}
