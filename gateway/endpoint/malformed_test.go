package endpoint

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

	"github.com/agateway/agateway/gateway/network"
)

// malformedLines are lines that no head of an answer may have.
var malformedLines = []string{"X Note: 1", "X-Note : 1", "X\tNote: 1", "X\x01Note: 1", "X\x7fNote: 1", " X-Note: 1", "\tX-Note: 1", "X-Note: \x01", "Content-Length : 1"}

// callsOf returns all kinds of calls of a client.
func callsOf(c *Client, address string) map[string]func(context.Context) error {
	do := func(idempotent bool) func(context.Context) error {
		return func(ctx context.Context) error {
			resp, err := c.Do(ctx, address, &Call{ID: "a", Method: http.MethodPost, Path: "/", Body: []byte("x"), Idempotent: idempotent})
			if err != nil {
				return err
			}
			defer resp.Body.Close()
			_, err = io.ReadAll(resp.Body)
			return err
		}
	}
	return map[string]func(context.Context) error{
		"once": do(false), "idempotent": do(true),
		"open": func(ctx context.Context) error {
			s, err := c.Open(ctx, address, &StartRequest{Generation: "g", Attempt: 1})
			if err == nil {
				s.Close()
			}
			return err
		},
		"resume": func(ctx context.Context) error {
			s, err := c.Resume(ctx, address, "g", "s", 0, 1)
			if err == nil {
				s.Close()
			}
			return err
		},
		"probe":  func(ctx context.Context) error { _, err := c.Probe(ctx, address, "s"); return err },
		"status": func(ctx context.Context) error { _, err := c.Status(ctx, address, 0); return err },
		"order":  func(ctx context.Context) error { return c.Order(ctx, address, &Order{}) },
	}
}

// TestMalformedHeads guards against answers that are read although a line of their head is no field, on new connections
// and on those that were used before.
func TestMalformedHeads(t *testing.T) {
	const calls = 6 // more than a connection answers properly, as the transport may open another one
	for _, line := range malformedLines {
		for _, properly := range []int{0, 1, 2} {
			address := serve(t, func(conn net.Conn) { answerCalls(conn, properly, line+"\r\n") })
			for name := range callsOf(nil, address) {
				call := callsOf(NewClient(time.Second, network.TCP{}), address)[name]
				reuses := name == "status" || name == "idempotent"
				if properly > 0 && !reuses {
					continue
				}
				broken := 0
				for range calls {
					ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
					if err := call(ctx); err != nil {
						assert.Assert(t, errorx.IsOfType(err, ErrBroken), "%q, %s: %v", line, name, err)
						broken++
					}
					cancel()
				}
				assert.Check(t, broken > 0 && (properly > 0 || broken == calls), "%q after %d, %s: %d of %d are broken", line, properly, name, broken, calls)
			}
		}
	}
}

// answerCalls answers the calls on a connection: some properly, and the next one with further lines in its head.
func answerCalls(conn net.Conn, properly int, lines string) {
	defer func() { _ = conn.Close() }()
	r := bufio.NewReader(conn)
	for n := 0; n <= properly; n++ {
		call, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, call.Body)
		further := ""
		if n == properly {
			further = lines
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-First: 1\r\n%sContent-Length: 2\r\n\r\n{}", further)
	}
}
