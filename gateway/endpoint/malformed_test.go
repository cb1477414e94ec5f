package endpoint

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/agateway/agateway/gateway/internal/brokenanswers"
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
	answer := func(line string) string {
		return "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 200 OK\r\nX-First: 1\r\n" + line + "Content-Length: 2\r\n\r\n{}"
	}
	for _, line := range malformedLines {
		for _, soundAnswers := range []int{0, 1, 2} {
			address := brokenanswers.Serve(t, soundAnswers, answer(""), answer(line+"\r\n"))
			for name := range callsOf(nil, address) {
				reuses := name == "status" || name == "idempotent"
				if soundAnswers > 0 && !reuses {
					continue
				}
				t.Run(fmt.Sprintf("%q/%d/%s", line, soundAnswers, name), func(t *testing.T) {
					call := callsOf(NewClient(time.Second, network.TCP{}), address)[name]
					brokenanswers.AssertFail(t, soundAnswers, ErrBroken, func() error {
						ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
						defer cancel()
						return call(ctx)
					})
				})
			}
		}
	}
}
