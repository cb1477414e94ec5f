// Package peers reaches the other instances over connect-go.
//
// Failure modes: a peer that is dead, frozen or cut off answers nothing within the
// timeout ([ErrUnreachable]). An open connection may have gone silent, so after any such
// failure the next call uses a new one.
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
	"github.com/agateway/agateway/gateway/network"
)

// Errors of this layer.
var (
	namespace = errorx.NewNamespace("peers")
	// ErrUnreachable: no answer; whether the peer did what was asked is not known.
	ErrUnreachable = namespace.NewType("unreachable", errorx.Temporary())
	// ErrNotSent: the peer was not reached at all, so it did nothing.
	ErrNotSent = namespace.NewType("not_sent", errorx.Temporary())
)

// Pool holds a client for each peer address. It is safe for concurrent use.
type Pool struct {
	key     string
	timeout time.Duration
	mu      sync.Mutex
	clients map[string]*peer
	network network.Network
}

type peer struct {
	transport *http.Transport
	client    peerv1connect.PeerServiceClient
}

// NewPool returns a pool whose calls show key and take timeout at the most to connect.
func NewPool(key string, timeout time.Duration, n network.Network) *Pool {
	return &Pool{key: key, timeout: timeout, network: n, clients: map[string]*peer{}}
}

func (p *Pool) get(address string) *peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c := p.clients[address]; c != nil {
		return c
	}
	t := &http.Transport{
		DialContext:         network.DialerWithTimeout(p.network, p.timeout),
		MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second, Protocols: new(http.Protocols),
	}
	t.Protocols.SetUnencryptedHTTP2(true) // compressed headers: heartbeats are small
	c := &peer{transport: t, client: peerv1connect.NewPeerServiceClient(
		&http.Client{Transport: t}, "http://"+address,
		connect.WithInterceptors(bearer(p.key)))}
	p.clients[address] = c
	return c
}

func bearer(key string) connect.UnaryInterceptorFunc {
	return func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, r)
		}
	}
}

// Call calls a peer and turns its errors into those of this layer. Errors that the peer
// itself answered with are returned as they are.
func Call[Req, Resp any](ctx context.Context, p *Pool, address string, timeout time.Duration,
	method func(peerv1connect.PeerServiceClient, context.Context, *connect.Request[Req]) (*connect.Response[Resp], error),
	req *Req,
) (*Resp, error) {
	c := p.get(address)
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	resp, err := method(c.client, ctx, connect.NewRequest(req))
	if err == nil {
		return resp.Msg, nil
	}
	return nil, p.failed(address, c, err)
}

func (p *Pool) failed(address string, c *peer, err error) error {
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

// Authorize returns a handler that lets only holders of the key through.
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
