package forward

import (
	"context"
	"net/http"

	"github.com/agateway/agateway/gateway/upstream"
)

// arrivalPass permits one send of a request to an endpoint, or to a helper that sends it to one.
type arrivalPass struct{ used bool }

// unused reports whether nothing was sent with a pass; false for nil.
func (p *arrivalPass) unused() bool { return p != nil && !p.used }

// admitArrival returns a pass for a request, or nil if it must not be sent. It counts a retry unless no endpoint can have
// received the request before.
func (f *Forwarder) admitArrival(req *request, recovery bool) *arrivalPass {
	if req.reached.Load() && !f.takeRetry(req, recovery) {
		return nil
	}
	return &arrivalPass{}
}

// sendAdmitted sends a request on a connection to an endpoint or a helper, and reads the head of the answer. Nothing is
// sent without an unused pass.
func sendAdmitted(ctx context.Context, pass *arrivalPass, conn *upstream.Conn, r *upstream.Request, owns func(int, http.Header) bool) (*upstream.Exchange, error) {
	if !pass.unused() {
		conn.PutBack()
		return nil, upstream.ErrNotSent.New("the send is not admitted")
	}
	pass.used = true
	return conn.Do(ctx, r, owns)
}
