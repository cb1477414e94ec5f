package atmostonce_test

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/ticket"
	"github.com/agateway/agateway/gateway/atmostonce"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

func discardLog() *logrus.Entry {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return logrus.NewEntry(log)
}

// TestClaimsLostByStore: a call that may run once at most has run under a key, and the store returns from a
// copy of before its claim. A caller that asks again, at the same instance or at another one, at once or later,
// must not have it run once more. The store may fail again while the claims are written.
func TestClaimsLostByStore(t *testing.T) {
	for name, c := range map[string]struct{ after, outage time.Duration }{
		"at once":                        {0, 0},
		"while claims are written again": {300 * time.Millisecond, 0},
		"later":                          {12 * time.Second, 0},
		"after an outage":                {12 * time.Second, 3 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testClaimsLost(t, c.after, c.outage) })
		})
	}
}

func testClaimsLost(t *testing.T, after, outage time.Duration) {
	ctx := context.Background()
	net := memnet.New()
	l, err := net.Node("store").Listen("10.0.9.1:80")
	assert.NilError(t, err)
	store := standin.NewStore(0)
	stop := standin.Serve(l, store)
	runs := 0
	var instances []*atmostonce.Claims
	for range 2 {
		p := platform.NewObjects("http://10.0.9.1:80", 2*time.Second, net.Node("instance"))
		c := &atmostonce.Claims{Platform: p, MaxKeptBodyBytes: 100, Scope: tally.NoopScope, Log: discardLog(), Run: func(context.Context, *atmostonce.Call) atmostonce.Result {
			runs++
			return atmostonce.Result{Outcome: ticket.Outcome{Status: 200, Body: []byte("done")}}
		}}
		p.OnReturn(func() {
			if outage > 0 {
				store.SetFault(standin.Fault{Outage: standin.Busy})
				time.AfterFunc(outage, func() { store.SetFault(standin.Fault{}) })
			}
			c.StoreReturned(ctx)
		})
		instances = append(instances, c)
		go func() { // each instance reads from the store all the time
			for range 300 {
				_, _ = p.Get(ctx, "deployment", "none")
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	do := func(i int, key string) (ticket.Outcome, error) {
		return instances[i].Do(ctx, key, &atmostonce.Call{Team: "t", Method: "POST", Deadline: time.Now().Add(time.Second)})
	}
	_, err = do(0, "before")
	assert.NilError(t, err)
	time.Sleep(time.Second)
	from := store.Copy()
	_, err = do(0, "lost")
	assert.NilError(t, err)
	time.Sleep(time.Second)
	store.Return(from)
	time.Sleep(after)
	for i := range instances {
		out, err := do(i, "lost")
		assert.Check(t, err != nil || string(out.Body) == "done")
		out, err = do(i, "before")
		assert.Check(t, err == nil && string(out.Body) == "done", "the claim was in the copy")
		_, err = do(i, "new")
		settling := after < 10*time.Second
		assert.Check(t, errorx.IsOfType(err, atmostonce.ErrBusy) == settling, "%v", err)
	}
	want := 2
	if after > 10*time.Second {
		want = 3
	}
	assert.Equal(t, runs, want)
	time.Sleep(time.Minute)
	stop()
	net.CloseAll()
	time.Sleep(time.Hour)
}
