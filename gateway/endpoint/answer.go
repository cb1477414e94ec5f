package endpoint

import (
	"errors"
	"io"
	"net/http"

	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/gateway/answerhead"
	"github.com/agateway/agateway/gateway/network"
)

// maxStatus is the highest status code of an answer.
const maxStatus = 599

// validStatus reports whether an answer may have a status code.
func validStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// EndsWithConnection reports whether an answer has a body with neither a length nor chunks.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// transport is a transport on which an answer that ends with its connection is complete only if the call was written
// whole.
type transport struct{ answerhead.Transport }

func newTransport(dial network.DialFunc, t *http.Transport) transport {
	t.DialContext = countWrites(dial)
	t.DisableCompression = true
	t.MaxResponseHeaderBytes = limitread.MaxHead
	return transport{answerhead.NewTransport(t)}
}

// RoundTrip implements [http.RoundTripper].
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	r, sent := traceCall(r)
	resp, err := t.Transport.RoundTrip(r)
	if err == nil && EndsWithConnection(resp) {
		resp.Body = &unframedBody{ReadCloser: resp.Body, sent: sent}
	}
	return resp, err
}

// unframedBody is the body of an answer that ends with its connection.
//
// Of a connection that is reset, only the system call that meets the reset first gets an error. If that is a
// write of the call, the read sees an ordinary end. So the body is complete only if the call was written whole.
type unframedBody struct {
	io.ReadCloser
	sent *sentCall
	end  error // of the body; nil until then
}

// Read implements [io.Reader].
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF && !b.sent.endWhole() {
		err = ErrBroken.Wrap(errNotWritten, "the answer broke off")
	}
	b.end = err
	return n, err
}

var errNotWritten = errors.New("the connection ended before the call was written")
