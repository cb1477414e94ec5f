package endpoint

import (
	"bytes"
	"context"
	"net/http"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"
)

// HeaderRequestID is the header with the request's id. If the service echoes it, the client
// detects an answer that belongs to another request.
const HeaderRequestID = "Agateway-Request-Id"

// Call is a call to a plain service.
type Call struct {
	ID          string
	Method      string
	Path        string // includes the query
	ContentType string
	Header      http.Header // further headers to pass on
	Body        []byte
	// Idempotent calls may use a pooled connection.
	Idempotent bool
}

// Do sends a call. The caller has to close the response's body. [ErrRefused] means that the call
// certainly did not run: no connection was established, or the service said so.
func (c *Client) Do(ctx context.Context, address string, call *Call) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "can't build the call")
	}
	// When a pooled connection breaks, net/http repeats a request that has an Idempotency-Key or
	// whose body can be read again. It must not do so here: only this system knows whether a call
	// may run twice. So GetBody is nil, and a call that is not idempotent gets a connection of its
	// own.
	req.GetBody = nil
	for name, values := range call.Header {
		req.Header[name] = values
	}
	if call.ContentType != "" {
		req.Header.Set("Content-Type", call.ContentType)
	}
	req.Header.Set(HeaderRequestID, call.ID)
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	client := c.unpooled
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
	return checkResponse(resp, call.ID)
}

func checkResponse(resp *http.Response, id string) (*http.Response, error) {
	if !validStatus(resp.StatusCode) {
		_ = resp.Body.Close()
		return nil, ErrBroken.New("the answer has the status %03d", resp.StatusCode)
	}
	if echo := resp.Header.Get(HeaderRequestID); echo != "" && echo != id {
		_ = resp.Body.Close()
		return nil, ErrWrongRequest.New("the answer belongs to request %q", echo)
	}
	if resp.Header.Get(HeaderNotRun) != "" {
		_ = resp.Body.Close()
		return nil, ErrRefused.New("the service says that it did not run").WithProperty(retryAfter, parseRetryAfter(resp.Header))
	}
	return resp, nil
}

// HeaderNotRun is the header that a service sets on a response if the call did not run.
const HeaderNotRun = "Agateway-Not-Run"
