package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/gateway/shed"
	"github.com/agateway/agateway/platform"
)

// deliver writes an answer to the caller. If the answer breaks off on the way, it panics with
// [http.ErrAbortHandler] to close the connection.
func (p *plain) deliver(a *answer) {
	shed.ChargeAnswer(p.req.httpRequest.Context(), len(a.body))
	copyHeader(p.w.Header(), platform.HeadersToClient(a.header))
	p.w.Header().Del(headerPeerRefusal) // only an instance may set these
	p.w.Header().Del(headerPeerReached)
	p.w.WriteHeader(a.status)
	_, err := p.w.Write(a.body) // a failure of the last write leaves nothing to end
	if a.unread == nil {
		return
	}
	if err == nil {
		err = relayBody(p.w, a.unread)
	}
	if err != nil {
		a.unread.Abort()
		if ctx := p.req.httpRequest.Context(); ctx.Err() == nil && !p.req.pastDeadline(time.Now()) {
			p.f.attributor.Attribute(ctx, &p.req.losses, a.potentialLoss)
		}
		p.f.Log.Refusal(p.req.ID, "answer broke off", logrus.Fields{"error": err.Error()})
		panic(http.ErrAbortHandler)
	}
	p.f.Crashes.ClearOnAnswer(p.answeredIdentity(a))
	a.unread.Finish()
}

// relayBody flushes what was written, and copies a body with a flush after each read.
func relayBody(w http.ResponseWriter, from io.Reader) error {
	control := http.NewResponseController(w)
	buf := make([]byte, relayBufferBytes)
	for {
		if err := control.Flush(); err != nil {
			return err
		}
		n, err := from.Read(buf)
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return err
			}
		}
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func copyHeader(to, from http.Header) {
	for k, v := range from {
		to[k] = v
	}
	if to.Get("Content-Type") == "" {
		to["Content-Type"] = nil // stops net/http from sniffing a type from the body
	}
}
