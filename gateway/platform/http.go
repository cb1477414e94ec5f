package platform

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
	"strings"
	"sync/atomic"
	"time"

	"github.com/agateway/agateway/gateway/network"
)

// HTTP is the adapter to the platform's object API over HTTP.
type HTTP struct {
	base    string
	timeout time.Duration
	client  *http.Client
	reads   atomic.Uint64
	writes  atomic.Uint64
	lastOK  atomic.Int64
}

// NewHTTP returns an adapter for the API at base. timeout bounds one call; a watch may
// take its own wait besides.
func NewHTTP(base string, timeout time.Duration, n network.Network) *HTTP {
	t := &http.Transport{
		// Shorter than a call, so that a connection that never came about is told from a
		// lost answer.
		DialContext:         network.Within(n, timeout/2),
		MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second,
	}
	return &HTTP{base: strings.TrimSuffix(base, "/"), timeout: timeout, client: &http.Client{Transport: t}}
}

// Calls returns how many reads (a watch is one) and writes were sent.
func (h *HTTP) Calls() (reads, writes uint64) { return h.reads.Load(), h.writes.Load() }

// Reachable tells whether a call succeeded within the last d.
func (h *HTTP) Reachable(d time.Duration) bool {
	return time.Since(time.UnixMilli(h.lastOK.Load())) < d
}

// ListBody is the answer to a list or watch.
type ListBody struct {
	Objects  []Object `json:"objects"`
	Revision uint64   `json:"revision"`
}

// Get implements [Client].
func (h *HTTP) Get(ctx context.Context, kind, name string) (Object, error) {
	var o Object
	err := h.call(ctx, http.MethodGet, objectPath(kind, name), nil, &o, h.timeout)
	return o, err
}

// List implements [Client].
func (h *HTTP) List(ctx context.Context, kind string) ([]Object, uint64, error) {
	var b ListBody
	err := h.call(ctx, http.MethodGet, "/v1/objects/"+url.PathEscape(kind), nil, &b, h.timeout)
	return b.Objects, b.Revision, err
}

// Put implements [Client].
func (h *HTTP) Put(ctx context.Context, kind, name string, value json.RawMessage, ifVersion uint64) (Object, error) {
	return h.write(ctx, http.MethodPut, kind, name, value, ifVersion)
}

// Delete implements [Client].
func (h *HTTP) Delete(ctx context.Context, kind, name string, ifVersion uint64) (Object, error) {
	return h.write(ctx, http.MethodDelete, kind, name, nil, ifVersion)
}

func (h *HTTP) write(ctx context.Context, method, kind, name string, value []byte, ifVersion uint64) (Object, error) {
	var o Object
	path := objectPath(kind, name) + "?if_version=" + strconv.FormatUint(ifVersion, 10)
	err := h.call(ctx, method, path, value, &o, h.timeout)
	return o, err
}

// Watch implements [Client].
func (h *HTTP) Watch(ctx context.Context, kinds []string, since uint64, wait time.Duration) ([]Object, uint64, error) {
	q := url.Values{"kinds": {strings.Join(kinds, ",")}, "since": {strconv.FormatUint(since, 10)}, "wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)}}
	var b ListBody
	err := h.call(ctx, http.MethodGet, "/v1/watch?"+q.Encode(), nil, &b, wait+h.timeout)
	return b.Objects, b.Revision, err
}

// Instances implements [Client].
func (h *HTTP) Instances(ctx context.Context) ([]Listed, error) {
	var out []Listed
	err := h.call(ctx, http.MethodGet, "/v1/instances", nil, &out, h.timeout)
	return out, err
}

// Register implements [Client].
func (h *HTTP) Register(ctx context.Context, l Listed, ttl time.Duration) error {
	raw, err := json.Marshal(l)
	if err != nil {
		return ErrUnavailable.Wrap(err, "can't encode")
	}
	path := "/v1/instances/" + url.PathEscape(l.ID) + "?ttl_ms=" + strconv.FormatInt(ttl.Milliseconds(), 10)
	return h.call(ctx, http.MethodPut, path, raw, nil, h.timeout)
}

func objectPath(kind, name string) string {
	return "/v1/objects/" + url.PathEscape(kind) + "/" + url.PathEscape(name)
}

func (h *HTTP) call(ctx context.Context, method, path string, body []byte, out any, timeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	write := method != http.MethodGet
	if write {
		h.writes.Add(1)
	} else {
		h.reads.Add(1)
	}
	req, err := http.NewRequestWithContext(ctx, method, h.base+path, bytes.NewReader(body))
	if err != nil {
		return ErrUnavailable.Wrap(err, "can't build the call")
	}
	// A write must not be repeated by the transport: its answer may be lost.
	req.GetBody = nil
	resp, err := h.client.Do(req)
	if err != nil {
		return lost(err, write)
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return lost(err, write)
	}
	if err := statusError(resp.StatusCode, write); err != nil {
		return err
	}
	h.lastOK.Store(time.Now().UnixMilli())
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return lost(err, write)
	}
	return nil
}

// lost turns a transport error: a write that may have left is uncertain.
func lost(err error, write bool) error {
	var op *net.OpError
	if write && !(errors.As(err, &op) && op.Op == "dial") {
		return ErrUncertain.Wrap(err, "the answer to a write was lost")
	}
	return ErrUnavailable.Wrap(err, "no answer")
}

func statusError(status int, write bool) error {
	switch {
	case status == http.StatusOK:
		return nil
	case status == http.StatusNotFound:
		return ErrNotFound.New("no such object")
	case status == http.StatusConflict:
		return ErrConflict.New("the object has another version")
	case status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable:
		return ErrUnavailable.New("refused with status %d", status)
	case write:
		return ErrUncertain.New("status %d", status)
	}
	return ErrUnavailable.New("status %d", status)
}
