package answerhead

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
)

// Transport is a transport for HTTP/1. A call whose answer has a malformed head fails, and so does the read of a body
// with a malformed trailer. The connection is closed.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that uses t.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	return Transport{t}
}

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			c.expectHead()
		}
	}})
	resp, err := t.Transport.RoundTrip(r.WithContext(ctx))
	if err == nil && len(resp.TransferEncoding) > 0 {
		resp.Body = &body{ReadCloser: resp.Body, resp: resp}
	}
	return resp, err
}

// body is a body that may have a trailer.
type body struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements [io.Reader].
func (b *body) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if trailerErr := CheckTrailer(b.resp.Trailer); trailerErr != nil {
			err = trailerErr
		}
	}
	return n, err
}

// conn is a connection of a [Transport]. The transport has read all of an answer before it uses the connection again.
type conn struct {
	net.Conn
	mu      sync.Mutex
	scanner Scanner
}

// expectHead is called before a call is written.
func (c *conn) expectHead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.scanner.Expect()
}

// Read implements [net.Conn]. It returns the bytes before a malformed line, so that the transport takes the error for
// one of the answer: it repeats a call of which no answer has begun. The error stays; see [Reader.Read].
func (c *conn) Read(b []byte) (int, error) {
	if err := c.headError(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	c.mu.Lock()
	defer c.mu.Unlock()
	sound, scanErr := c.scanner.Scan(b[:n])
	if scanErr != nil {
		return sound, scanErr
	}
	return n, err
}

func (c *conn) headError() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.scanner.Err()
}
