// Package peers calls other instances over connect-go, with a key that all instances share.
//
// Failure modes: a peer that is dead, frozen or cut off does not answer within the timeout
// ([ErrUnreachable]), or can't be connected to ([ErrNotSent]). An open connection may have gone
// silent, so the next call after such a failure uses a new one.
package peers

import (
	"context"
	"crypto/subtle"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/joomcode/errorx"

	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/core/limitread"
	"github.com/agateway/agateway/gateway/network"
)

// Errors of [Call].
var (
	namespace = errorx.NewNamespace("peers")
	// ErrUnreachable means that no answer came. It is not known whether the peer did what was
	// asked.
	ErrUnreachable = namespace.NewType("unreachable", errorx.Temporary())
	// ErrNotSent means that the peer could not be connected to, so it did nothing.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
)

// Pool holds a client for each peer address. It is safe for concurrent use.
type Pool struct {
	key            string
	connectTimeout time.Duration
	mu             sync.Mutex
	clients        map[string]*peerClient
	network        network.Network
	options        []connect.ClientOption
}

type peerClient struct {
	transport *http.Transport
	client    peerv1connect.PeerServiceClient
}

// NewPool returns a pool whose calls authenticate with key. Connecting takes at most
// connectTimeout.
func NewPool(key string, connectTimeout time.Duration, n network.Network, options ...connect.ClientOption) *Pool {
	return &Pool{key: key, connectTimeout: connectTimeout, network: n, clients: map[string]*peerClient{}, options: options}
}

// WithoutCompression makes answers come as they are, for calls whose large answers are compressed
// by the sender before they are encoded.
func WithoutCompression() connect.ClientOption {
	return connect.WithAcceptCompression("gzip", nil, nil)
}

func (p *Pool) clientFor(address string) *peerClient {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[address]; c != nil {
		return c
	}
	t := &http.Transport{
		DialContext:         network.DialerWithTimeout(p.network, p.connectTimeout),
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, Protocols: new(http.Protocols), MaxResponseHeaderBytes: limitread.MaxHead,
	}
	t.Protocols.SetUnencryptedHTTP2(true) // HTTP/2 compresses headers, which are large next to a heartbeat
	c := &peerClient{transport: t, client: peerv1connect.NewPeerServiceClient(
		&http.Client{Transport: t}, "http://"+address,
		append([]connect.ClientOption{connect.WithInterceptors(bearerInterceptor(p.key)), connect.WithReadMaxBytes(limitread.MaxPeerMessage)}, p.options...)...)}
	p.clients[address] = c
	return c
}

func bearerInterceptor(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, r)
		}
	}
}

// Call calls a method of the peer at address, and waits at most timeout for the answer. A failed
// connection is returned as [ErrNotSent], and a missing answer as [ErrUnreachable]. Other errors
// that the peer answered with are returned unchanged.
func Call[Req, Resp any](ctx context.Context, p *Pool, address string, timeout time.Duration,
	method func(peerv1connect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
	req *Req,
) (*Resp, error) {
	c := p.clientFor(address)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := method(c.client, ctx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	return nil, p.callError(address, c, err)
}

// callError converts the error of a call, and drops the client unless the peer itself answered with
// the error.
func (p *Pool) callError(address string, c *peerClient, err error) error {
	if code := connect.CodeOf(err); connect.IsWireError(err) && code != connect.CodeUnavailable && code != connect.CodeDeadlineExceeded {
		return err
	}
	p.mu.Lock()
	if p.clients[address] == c {
		delete(p.clients, address)
	}
	p.mu.Unlock()
	c.transport.CloseIdleConnections()
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotSent.Wrap(err, "can't connect to %s", address)
	}
	return ErrUnreachable.Wrap(err, "no answer from %s", address)
}

// Authorize returns a handler that passes requests with the key to next, and answers others with
// status 401.
func Authorize(key string, next http.Handler) http.Handler {
	want := []byte("Bearer " + key)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if subtle.ConstantTimeCompare([]byte(r.Header.Get("Authorization")), want) != 1 {
			http.Error(w, "peer key", http.StatusUnauthorized)
			return
		}
		next.ServeHTTP(w, r)
	})
}
