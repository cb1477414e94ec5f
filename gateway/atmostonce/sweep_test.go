package atmostonce_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestSweep checks that old claims are deleted and young ones kept, that keys of deleted claims can
// be used again, and that a sweeper that is not enabled deletes nothing.
func TestSweep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		net := memnet.New()
		l, err := net.Node("store").Listen("10.0.9.1:80")
		assert.NilError(t, err)
		stop := standin.Serve(l, standin.NewStore(0))
		p := platform.NewObjects("http://10.0.9.1:80", 2*time.Second, net.Node("instance"))
		runs := 0
		claims := &atmostonce.Claims{Platform: p, MaxKeptBodyBytes: 100, Scope: tally.NoopScope, Log: discardLog(), Run: func(context.Context, *atmostonce.Call) atmostonce.Result {
			runs++
			return atmostonce.Result{Outcome: ticket.Outcome{Status: 200}}
		}}
		do := func(key string) {
			call := &atmostonce.Call{Team: "t", Method: "POST", Deadline: time.Now().Add(time.Second)}
			_, err := claims.Do(ctx, key, call)
			assert.NilError(t, err)
		}
		for i := range 5 {
			do(fmt.Sprint("old ", i))
		}
		time.Sleep(20 * time.Hour)
		do("young")
		var holds atomic.Bool
		s := &atmostonce.Sweeper{Platform: p, Enabled: holds.Load, TTL: 24 * time.Hour, Interval: 10 * time.Minute, DeletesPerSecond: 5, Scope: tally.NoopScope}
		done := make(chan struct{})
		go func() { defer close(done); s.Run(ctx) }()
		time.Sleep(5 * time.Hour)
		assert.Equal(t, countClaims(t, p), 6)
		holds.Store(true)
		time.Sleep(time.Hour)
		assert.Equal(t, countClaims(t, p), 1)
		do("young")
		assert.Equal(t, runs, 6)
		do("old 1") // its claim was deleted, so the key is free again
		assert.Equal(t, runs, 7)
		cancel()
		<-done
		time.Sleep(time.Second) // outcomes are written in the background
		stop()
		net.CloseAll()
	})
}

func countClaims(t *testing.T, p platform.Client) int {
	objects, _, err := p.List(context.Background(), atmostonce.KindClaim)
	assert.NilError(t, err)
	n := 0
	for _, o := range objects {
		if !o.Deleted {
			n++
		}
	}
	return n
}
