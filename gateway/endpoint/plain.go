package endpoint

import (
	"bytes"
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// HeaderRequestID names the request towards a plain service; a service that echoes it
// lets us notice an answer that belongs to another request.
const HeaderRequestID = "Agateway-Request-Id"

// Call is a call to a plain service.
type Call struct {
	ID          string
	Method      string
	Path        string // with query
	ContentType string
	Header      http.Header // further headers to pass on
	Body        []byte
	// Idempotent calls may use a pooled connection.
	Idempotent bool
}

// Do carries a call out. The response's body has to be closed. [ErrRefused] means that
// it certainly did not run: no connection came about, or the service said so.
func (c *Client) Do(ctx context.Context, address string, call *Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "can't build the call")
	}
	// net/http repeats a request that carries an Idempotency-Key, or whose body it can
	// read again, when a pooled connection breaks. It must not: only we know whether a
	// call may run twice. So no GetBody, and a connection of its own.
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(HeaderRequestID, call.ID)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	client := c.single
	if call.Idempotent {
		client = c.pooled
	}
	resp, err := client.Do(req)
	if err != nil {
		if call.Idempotent {
			c.pooled.CloseIdleConnections()
		}
		return nil, transportError(err)
	}
	return checkAnswer(resp, call.ID)
}

func checkAnswer(resp *http.Response, id string) (*http.Response, error) {
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != id {
		_ = resp.Body.Close()
		return nil, ErrCrossed.New("the answer belongs to request %q", echo)
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		_ = resp.Body.Close()
		return nil, ErrRefused.New("the service says that it did not run").WithProperty(retryAfter, readRetryAfter(resp.Header))
	}
	return resp, nil
}

// HeaderNotRun is set by a service on a response that says the call did not run.
const HeaderNotRun = "Agateway-Not-Run"
