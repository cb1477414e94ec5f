package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/joomcode/errorx"
	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/propagation"

	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/gateway/network"
)

// Client calls endpoints. It is safe for concurrent use.
type Client struct {
	unpooled *http.Client // uses a new connection for each call
	pooled   *http.Client // for status reads and calls that may be repeated
}

// NewClient returns a client. A connection attempt fails after connect.
func NewClient(connect time.Duration, n network.Network) *Client {
	dial := network.DialerWithTimeout(n, connect)
	single := newTransport(dial, &http.Transport{DisableKeepAlives: true})
	pooled := newTransport(dial, &http.Transport{MaxIdleConnsPerHost: 32, IdleConnTimeout: 20 * time.Second})
	return &Client{unpooled: &http.Client{Transport: single}, pooled: &http.Client{Transport: pooled}}
}

// Open starts a stream at the engine at address.
func (c *Client) Open(ctx context.Context, address string, r *StartRequest) (*Stream, error) {
	raw, err := json.Marshal(r)
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "can't encode")
	}
	return c.openStream(ctx, http.MethodPost, address, "/v1/streams", raw, r.Generation, r.Attempt)
}

// Resume reads a running stream from a token index on, under a higher attempt number. The engine
// fences all earlier attempts.
func (c *Client) Resume(ctx context.Context, address, generation, stream string, from, attempt int) (*Stream, error) {
	q := url.Values{"from": {strconv.Itoa(from)}, "attempt": {strconv.Itoa(attempt)}}
	path := "/v1/streams/" + url.PathEscape(stream) + "?" + q.Encode()
	return c.openStream(ctx, http.MethodGet, address, path, nil, generation, attempt)
}

func (c *Client) openStream(ctx context.Context, method, address, path string, body []byte, generation string, attempt int) (*Stream, error) {
	resp, err := c.do(ctx, c.unpooled, method, address, path, body)
	if err != nil {
		return nil, err
	}
	return newStream(resp.Body, generation, attempt), nil
}

// Probe returns how far a stream has come. It uses a new connection.
func (c *Client) Probe(ctx context.Context, address, stream string) (StreamState, error) {
	var st StreamState
	err := c.callJSON(ctx, c.unpooled, http.MethodGet, address, "/v1/streams/"+url.PathEscape(stream)+"/state", nil, &st)
	return st, err
}

// Cancel ends a stream, unless the engine already serves a higher attempt of it.
func (c *Client) Cancel(ctx context.Context, address, stream string, attempt int) error {
	path := "/v1/streams/" + url.PathEscape(stream) + "?attempt=" + strconv.Itoa(attempt)
	return c.callJSON(ctx, c.unpooled, http.MethodDelete, address, path, nil, nil)
}

// Status reads the state that an endpoint reports, with its cache events after the sequence number
// since.
func (c *Client) Status(ctx context.Context, address string, since uint64) (Status, error) {
	var st Status
	err := c.callJSON(ctx, c.pooled, http.MethodGet, address, "/v1/status?cache_since="+strconv.FormatUint(since, 10), nil, &st)
	if err != nil {
		c.pooled.CloseIdleConnections() // the pooled connection may have stopped responding
	}
	return st, err
}

// Order sends an order to an engine.
func (c *Client) Order(ctx context.Context, address string, o *Order) error {
	raw, err := json.Marshal(o)
	if err != nil {
		return ErrInvalid.Wrap(err, "can't encode")
	}
	return c.callJSON(ctx, c.unpooled, http.MethodPost, address, "/v1/orders", raw, nil)
}

func (c *Client) callJSON(ctx context.Context, client *http.Client, method, address, path string, body []byte, out any) error {
	resp, err := c.do(ctx, client, method, address, path, body)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	raw, err := limitread.All(resp.Body, limitread.MaxStatus)
	if err != nil {
		return ErrBroken.Wrap(err, "answer broke off")
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return ErrBroken.Wrap(err, "answer is no JSON")
	}
	return nil
}

func (c *Client) do(ctx context.Context, client *http.Client, method, address, path string, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, ErrInvalid.Wrap(err, "can't build the call")
	}
	req.GetBody = nil // without GetBody the transport doesn't repeat the request
	otel.GetTextMapPropagator().Inject(ctx, propagation.HeaderCarrier(req.Header))
	resp, err := client.Do(req)
	if err != nil {
		return nil, transportError(err)
	}
	if resp.StatusCode == http.StatusOK {
		return resp, nil
	}
	defer resp.Body.Close()
	return nil, statusError(resp)
}

// transportError distinguishes a connection that could not be established, so that nothing ran,
// from one that broke later.
func transportError(err error) error {
	var op *net.OpError
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrGone.Wrap(err, "can't connect")
	}
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrRefused.Wrap(err, "can't connect")
	}
	return ErrBroken.Wrap(err, "no answer")
}

func statusError(resp *http.Response) error {
	const maxTextBytes = 512
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxTextBytes))
	switch resp.StatusCode {
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusNotFound, http.StatusGone:
		return ErrRefused.New("status %d: %s", resp.StatusCode, text).WithProperty(retryAfter, parseRetryAfter(resp.Header))
	case http.StatusConflict:
		return ErrFenced.New("%s", text)
	case http.StatusUnprocessableEntity:
		return ErrMismatch.New("%s", text)
	case http.StatusBadRequest:
		return ErrInvalid.New("%s", text)
	}
	return ErrBroken.New("status %d: %s", resp.StatusCode, text)
}

func parseRetryAfter(h http.Header) time.Duration {
	if ms, err := strconv.Atoi(h.Get("Retry-After-Ms")); err == nil {
		return time.Duration(ms) * time.Millisecond
	}
	s, _ := strconv.Atoi(h.Get("Retry-After"))
	return time.Duration(s) * time.Second
}

// RetryAfter returns how long the endpoint asked to wait before a retry; 0 if it gave no time.
func RetryAfter(err error) time.Duration {
	d, ok := errorx.ExtractProperty(err, retryAfter)
	if !ok {
		return 0
	}
	return d.(time.Duration)
}
