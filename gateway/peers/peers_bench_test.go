package peers_test

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/peers"
)

// heartbeatHandler answers heartbeats with empty responses.
type heartbeatHandler struct {
	peerv1connect.UnimplementedPeerServiceHandler
}

func (heartbeatHandler) Heartbeat(context.Context, *connect.Request[peerv1.HeartbeatRequest]) (*connect.Response[peerv1.HeartbeatResponse], error) {
	return connect.NewResponse(&peerv1.HeartbeatResponse{}), nil
}

// countingNetwork is TCP that counts the bytes of its connections in both directions.
type countingNetwork struct {
	network.TCP
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingNetwork) Dial(ctx context.Context, nw, address string) (net.Conn, error) {
	conn, err := c.TCP.Dial(ctx, nw, address)
	if err != nil {
		return nil, err
	}
	return &countingConn{conn, &c.bytes}, nil
}

// BenchmarkCall measures one call between instances with an empty message: processor time at both
// ends, and bytes on the connection.
func BenchmarkCall(b *testing.B) {
	path, handler := peerv1connect.NewPeerServiceHandler(heartbeatHandler{})
	mux := http.NewServeMux()
	mux.Handle(path, handler)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetUnencryptedHTTP2(true)
	s := &http.Server{Handler: peers.Authorize("0123456789abcdef", mux), Protocols: p}
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	n := &countingNetwork{}
	pool := peers.NewPool("0123456789abcdef", time.Second, n)
	call := func() {
		_, err := peers.Call(context.Background(), pool, l.Addr().String(), time.Second, peerv1connect.PeerServiceClient.Heartbeat, &peerv1.HeartbeatRequest{})
		if err != nil {
			b.Fatal(err)
		}
	}
	call()
	n.bytes.Store(0)
	b.ReportAllocs()
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(n.bytes.Load())/float64(b.N), "bytes/call")
}
