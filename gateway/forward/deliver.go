package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/platform"
)

// deliver writes an answer to the caller. If the answer breaks off on the way, it panics with
// [http.ErrAbortHandler] to close the connection.
func (p *plain) deliver(a *answer) {
	copyHeader(p.w.Header(), platform.HeadersToClient(a.header))
	p.w.Header().Del(headerPeerRefusal) // only an instance may set it
	p.w.WriteHeader(a.status)
	if _, err := p.w.Write(a.body); err != nil && a.unread != nil {
		a.unread.Abort()
		panic(http.ErrAbortHandler)
	}
	if a.unread == nil {
		return
	}
	if n, err := relayBody(p.w, a.unread); err != nil {
		a.unread.Abort()
		if n > 0 {
			a.potentialLoss.FirstEventAt = a.potentialLoss.HeadAt
		}
		if ctx := p.req.httpRequest.Context(); ctx.Err() == nil && !p.req.pastDeadline(time.Now()) {
			p.f.attributor.Attribute(ctx, &p.req.losses, a.potentialLoss)
		}
		p.f.Log.Refusal(p.req.ID, "answer broke off", logrus.Fields{"error": err.Error()})
		panic(http.ErrAbortHandler)
	}
	p.f.Crashes.ClearOnAnswer(p.answeredIdentity(a))
	a.unread.Finish()
}

// relayBody copies a body and flushes after each read. It returns the number of bytes read.
func relayBody(w http.ResponseWriter, from io.Reader) (int, error) {
	control := http.NewResponseController(w)
	buf := make([]byte, 8<<10)
	for total := 0; ; {
		n, err := from.Read(buf)
		total += n
		if n > 0 {
			if _, err := w.Write(buf[:n]); err != nil {
				return total, err
			}
			if err := control.Flush(); err != nil {
				return total, err
			}
		}
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
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
