package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// tenant is a tenant of the configuration.
type tenant struct{ name, key string }

var tenants = []tenant{{"desk-a", "xd9dnn2ctnfzs989anu6"}, {"desk-b", "wsjnbanfqasnmgkcuyj8"}}

var attempts atomic.Int64

// nextID returns a new id of a client attempt.
func nextID() string { return fmt.Sprintf("%016x", 0x1c41d07be2000000+attempts.Add(1)) }

// clientConn is a connection of a client to a front.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func dialClient(address string) (*clientConn, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{c, bufio.NewReader(c)}, nil
}

// answer is what a client got.
type answer struct {
	Status              int
	ID, Signature, Body string
	RetryAfter          string
	Close               bool
	Err                 error // the connection ended without a whole answer
	Headed              bool  // the head arrived
}

// requestHead returns the head of a request; framing are the header lines of the body.
func requestHead(method, target, id, key string, deadline time.Duration, framing string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nAgateway-Attempt-Id: %s\r\nAgateway-Deadline-Ms: %d\r\nAuthorization: Bearer %s\r\n%s\r\n", method, target, host, id, deadline.Milliseconds(), key, framing)
}

var errClosed = errors.New("closed without an answer")

// read reads an answer.
func (c *clientConn) read(method string, within time.Duration) answer {
	_ = c.SetReadDeadline(time.Now().Add(within))
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{Err: fmt.Errorf("%w: %v", errClosed, err)}
	}
	a := answer{
		Headed: true, Status: resp.StatusCode, ID: resp.Header.Get("Agateway-Attempt-Id"), Signature: resp.Header.Get("Agateway-Response-Signature"),
		RetryAfter: resp.Header.Get("Retry-After"), Close: resp.Close,
	}
	raw, err := io.ReadAll(resp.Body)
	a.Body = string(raw)
	if err != nil {
		a.Err = fmt.Errorf("the answer broke off: %w", err)
	}
	return a
}

// config returns the configuration that all cases use: plain routes of queue-app and a stream of brief-llm.
func config(version int) map[string]any {
	route := func(name, prefix, kind, service string, timeout, target, attempts int) map[string]any {
		return map[string]any{
			"name": name, "host": host, "pathPrefix": prefix, "routeType": kind, "timeoutMs": timeout, "targetLatencyMs": target, "priority": 1, "service": service,
			"maxAttempts": attempts, "public": false, "stickySessions": kind == "stream", "streamResume": kind == "stream", "targetGapMs": 700,
		}
	}
	return map[string]any{
		"version": version,
		"routes": []any{
			route("poll", "/poll/", "unsafe", "queue-app", 3000, 300, 3), route("ping", "/ping/", "safe", "queue-app", 3000, 300, 3),
			route("brief", "/brief/", "stream", "brief-llm", 25000, 4500, 5),
		},
		"services": []any{
			map[string]any{"name": "queue-app", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "brief-llm", "healthPath": "/health", "maxConnections": 210, "protocol": "h1", "tls": false, "engine": map[string]any{
				"slots": 24, "kvCapacityTokens": 88000, "kvTokenBytes": 163840, "linkMbps": 1100000.0, "moves": false, "backups": false, "stride": 9, "most": 12,
				"pinMs": 4000.0, "holdMs": 2000.0, "handleS": 4.0, "models": []any{map[string]any{"name": "m"}},
			}},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": tenants[0].name, "apiKeys": []string{tenants[0].key}, "priority": 1}, map[string]any{"name": tenants[1].name, "apiKeys": []string{tenants[1].key}, "priority": 1}},
	}
}

// ask sends a request without a body on a connection of its own.
func ask(f *front, method, target, id, key string, deadline time.Duration) answer {
	return askWith(f, method, target, id, key, deadline, "", "")
}

// askWith is ask with further headers and a body.
func askWith(f *front, method, target, id, key string, deadline time.Duration, headers, body string) answer {
	c, err := dialClient(f.callers)
	if err != nil {
		return answer{Err: err}
	}
	defer func() { _ = c.Close() }()
	if body != "" {
		headers += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	if _, err := io.WriteString(c, requestHead(method, target, id, key, deadline, headers)+body); err != nil {
		return answer{Err: err}
	}
	return c.read(method, deadline+time.Second)
}

// retryAfter returns how long a client waits before it comes again: at most a third of the time that it has left.
func (a *answer) retryAfter(left time.Duration) time.Duration {
	seconds, err := strconv.ParseFloat(a.RetryAfter, 64)
	if err != nil {
		return 0
	}
	return min(time.Duration(seconds*float64(time.Second)), left/3)
}
