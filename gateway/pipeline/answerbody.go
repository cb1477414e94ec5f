package pipeline

import (
	"context"
	"io"

	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/gateway/endpoint"
)

// answerBody is the body of the answer to a plain call. It returns [io.EOF] only if the body is complete.
//
// A body without a length and without chunks ends with its connection, and a crash of the endpoint closes the
// connection as well. So such a body is complete only if the endpoint's process still runs.
type answerBody struct {
	io.ReadCloser
	// isProcessGone reports whether the endpoint's process is gone; nil if the body has a length or chunks.
	isProcessGone func() bool
	// ended is called with nil when the body is complete, otherwise with the error.
	ended func(error)
}

// Read implements [io.Reader].
func (b *answerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	switch {
	case err == nil:
	case err != io.EOF:
		err = endpoint.ErrBroken.Wrap(err, "the answer broke off")
		b.ended(err)
	case b.isProcessGone != nil && b.isProcessGone():
		err = endpoint.ErrBroken.New("the endpoint was lost with the connection that ends its answer")
		b.ended(err)
	default:
		b.ended(nil)
	}
	return n, err
}

// maxProcessChecks bounds the checks of one process. While a process exits, connections to it are reset.
const maxProcessChecks = 3

// isProcessGone tells whether the process at an address is gone: its machine answers, but nothing listens there.
func (d *Deps) isProcessGone(address string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), d.Settings.Endpoints.StatusTimeout)
	defer cancel()
	for range maxProcessChecks {
		_, err := d.Client.Status(ctx, address, 0)
		if err == nil || errorx.IsOfType(err, endpoint.ErrGone) {
			return err != nil
		}
	}
	return false
}
