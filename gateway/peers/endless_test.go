package peers_test

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	"gotest.tools/v3/assert"

	peerv1 "github.com/agateway/agateway/api/peer/v1"
	"github.com/agateway/agateway/api/peer/v1/peerv1connect"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/peers"
)

// TestEndlessPeerAnswerIsBounded guards against an instance that runs out of memory since what answers at the address of
// another one sends bytes without end: calls between instances read an answer whole.
func TestEndlessPeerAnswerIsBounded(t *testing.T) {
	const offered = 256 << 20 // bytes
	var sent atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	protocols := new(http.Protocols)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Protocols: protocols, Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/proto")
		for chunk := make([]byte, 64<<10); sent.Load() < offered; sent.Add(int64(len(chunk))) {
			if _, err := w.Write(chunk); err != nil {
				return
			}
		}
	})}
	go func() { _ = server.Serve(l) }()
	defer func() { _ = server.Close() }()
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	pool := peers.NewPool("", time.Second, network.TCP{})
	_, err = peers.Call(context.Background(), pool, l.Addr().String(), time.Minute, peerv1connect.PeerServiceClient.Heartbeat, &peerv1.HeartbeatRequest{})
	assert.ErrorContains(t, err, connect.CodeResourceExhausted.String())
	runtime.ReadMemStats(&after)
	assert.Assert(t, after.TotalAlloc-before.TotalAlloc < offered, "%d bytes were allocated for an answer of %d", after.TotalAlloc-before.TotalAlloc, sent.Load())
}
