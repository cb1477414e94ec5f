package answerhead

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Transport is a transport for HTTP/1. A call whose answer has a malformed head fails, and so does the read of a body
// with a malformed trailer. The connection is closed.
type Transport struct{ *http.Transport }

// NewTransport returns a transport that uses t, whose DialContext must be set.
func NewTransport(t *http.Transport) Transport {
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c, heads: Reader{R: c}}, nil
	}
	return Transport{t}
}

// RoundTrip implements [http.RoundTripper].
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*conn); ok {
			_ = c.heads.Expect(nil) // there are no bytes that could be malformed
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
		err = cmp.Or(CheckTrailer(b.resp.Trailer), err)
	}
	return n, err
}

// conn is a connection of a [Transport]. The transport has read all of an answer before it uses the connection again.
type conn struct {
	net.Conn
	heads Reader
}

// Read implements [net.Conn]. The bytes before a malformed line make the transport take the error for one of the answer:
// it repeats a call of which no answer has begun.
func (c *conn) Read(b []byte) (int, error) { return c.heads.Read(b) }

// NetConn returns the connection that was dialed.
func (c *conn) NetConn() net.Conn { return c.Conn }
