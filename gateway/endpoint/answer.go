package endpoint

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"time"
)

// maxStatus is the highest status code of an answer.
const maxStatus = 599

// validStatus reports whether an answer may have a status code.
func validStatus(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// EndsWithConnection reports whether an answer has neither a length nor chunks.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0
}

// writerTimeout bounds the wait for the goroutine that writes a call, after its answer has ended.
const writerTimeout = 20 * time.Millisecond

// traceWrite returns a context for a call, and a channel that receives the result of writing the call.
func traceWrite(ctx context.Context) (context.Context, <-chan error) {
	written := make(chan error, 1)
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		select {
		case written <- info.Err:
		default: // written before; net/http may report a failed write twice
		}
	}}), written
}

// unframedBody is the body of an answer that ends with its connection.
//
// Of a connection that is reset, only the system call that meets the reset first gets an error. If that is a
// write of the call, the read sees an ordinary end. So the body is complete only if the call was written whole.
type unframedBody struct {
	io.ReadCloser
	written <-chan error
	end     error // of the body; nil until then
}

// Read implements [io.Reader].
func (b *unframedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.checkWritten()
	}
	b.end = err
	return n, err
}

var errNotWritten = errors.New("the connection ended before the call was written")

// checkWritten returns [io.EOF] if the call was written whole.
func (b *unframedBody) checkWritten() error {
	t := time.NewTimer(writerTimeout)
	defer t.Stop()
	select {
	case err := <-b.written:
		if err != nil {
			return ErrBroken.Wrap(err, "the answer broke off")
		}
		return io.EOF
	case <-t.C:
		return ErrBroken.Wrap(errNotWritten, "the answer broke off")
	}
}
