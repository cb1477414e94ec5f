package forward

import (
	"context"
	"net"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/placement"
	"github.com/agateway/agateway/gateway/upstream"
)

// countingReach counts the endpoints that could not be connected to.
type countingReach struct {
	alwaysReachable
	failed int
}

func (r *countingReach) Failed(string) { r.failed++ }

// TestOwnPauseIsNoFailedConnection guards against suspecting the endpoints to which this process was
// connecting when it was paused or when the request ended.
func TestOwnPauseIsNoFailedConnection(t *testing.T) {
	const connectTimeout = 120 * time.Millisecond
	for _, c := range []struct {
		name              string
		takes, requestEnd time.Duration // until the dial returns, and until the request ends
		err               error
		failures          int
	}{
		{"endpoint does not answer", connectTimeout, time.Second, context.DeadlineExceeded, 1},
		{"endpoint refuses", time.Millisecond, time.Second, syscall.ECONNREFUSED, 1},
		{"paused process", 1200 * time.Millisecond, 5 * time.Second, context.DeadlineExceeded, 0},
		{"paused process, endpoint refuses", 1200 * time.Millisecond, 5 * time.Second, syscall.ECONNREFUSED, 1},
		{"request ends", 50 * time.Millisecond, 40 * time.Millisecond, context.Canceled, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reach, p := &countingReach{}, placement.New(routing.DefaultSettings(), 1)
				e := routing.Endpoint{ID: "e1", Address: "10.0.0.1:80", Service: "s", Slots: 8}
				p.SetEndpoints([]routing.Endpoint{e})
				pool := upstream.NewPool(func(context.Context, string, string) (net.Conn, error) {
					time.Sleep(c.takes)
					return nil, c.err
				})
				f := New(Options{
					Placement: p, Pool: pool, Reach: reach, Log: discardLog{}, Scope: tally.NoopScope, Tracer: noop.NewTracerProvider().Tracer(""),
					Clock: func() time.Duration { return 0 }, Settings: Settings{ConnectTimeout: connectTimeout},
				})
				ctx, cancel := context.WithTimeout(context.Background(), c.requestEnd)
				defer cancel()
				_, err := f.connect(ctx, &request{table: &route.Table{}}, &e)
				assert.Assert(t, err != nil)
				assert.Equal(t, reach.failed, c.failures)
				assert.Equal(t, p.Usable("e1"), c.failures == 0)
			})
		})
	}
}
