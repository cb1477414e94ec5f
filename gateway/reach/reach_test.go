package reach

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/network"
	"github.com/agateway/agateway/gateway/network/memnet"
)

// fixture is a monitor with endpoints on a network in memory.
type fixture struct {
	*Monitor
	net       *memnet.Net
	endpoints []routing.Endpoint

	mu      sync.Mutex
	changes []bool
}

// changed returns the changes so far.
func (x *fixture) changed() []bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return slices.Clone(x.changes)
}

// dialTimeout is how long a probe's connection may take.
const dialTimeout = 100 * time.Millisecond

func runMonitor(t *testing.T, endpoints int, f func(*fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{net: memnet.New()}
		for i := range endpoints {
			address := fmt.Sprintf("10.0.0.%d:80", i+1)
			l, err := x.net.Node(fmt.Sprint("e", i)).Listen(address)
			assert.NilError(t, err)
			go func() {
				for {
					if _, err := l.Accept(); err != nil {
						return
					}
				}
			}()
			x.endpoints = append(x.endpoints, routing.Endpoint{ID: fmt.Sprint("e", i), Address: address})
		}
		log := logrus.New()
		log.SetOutput(io.Discard)
		x.Monitor = New(Options{
			Dial: network.DialerWithTimeout(x.net.Node("f"), dialTimeout), Sample: x.sample, Log: logrus.NewEntry(log), Scope: tally.NoopScope,
			OnChange: func(cutOff bool) {
				x.mu.Lock()
				defer x.mu.Unlock()
				x.changes = append(x.changes, cutOff)
			},
		})
		ctx, stop := context.WithCancel(context.Background())
		go x.Run(ctx)
		f(x)
		stop()
		x.net.CloseAll()
		time.Sleep(time.Minute)
	})
}

func (x *fixture) sample(n int, except map[string]bool) []routing.Endpoint {
	var out []routing.Endpoint
	for _, e := range x.endpoints {
		if !except[e.ID] && len(out) < n {
			out = append(out, e)
		}
	}
	return out
}

// TestMonitorFindsCutAndItsEnd checks how soon a cut is found after two failures, with connections
// that hang and with refused ones, and how soon its end is.
func TestMonitorFindsCutAndItsEnd(t *testing.T) {
	for name, cut := range map[string]func(n *memnet.Net, between func(a, b string) bool){
		"hang": (*memnet.Net).SetCut, "refuse": (*memnet.Net).SetRefused,
	} {
		t.Run(name, func(t *testing.T) {
			runMonitor(t, 20, func(x *fixture) {
				cut(x.net, func(a, b string) bool { return a == "f" || b == "f" })
				x.Failed("e0")
				time.Sleep(3 * dialTimeout)
				assert.Assert(t, !x.CutOff(), "one failure says nothing")
				x.Failed("e1")
				time.Sleep(2*dialTimeout + time.Millisecond)
				assert.Assert(t, x.CutOff())
				cut(x.net, func(string, string) bool { return false })
				time.Sleep(900 * time.Millisecond)
				assert.Assert(t, !x.CutOff())
				assert.DeepEqual(t, x.changed(), []bool{true, false})
			})
		})
	}
}

// TestMonitorReachesOthers checks that an instance to which some endpoints are lost is not cut off,
// also if all that it probes first are among them.
func TestMonitorReachesOthers(t *testing.T) {
	runMonitor(t, 20, func(x *fixture) {
		lost := map[string]bool{"e0": true, "e1": true, "e2": true, "e3": true, "e4": true}
		x.net.SetCut(func(a, b string) bool { return lost[a] || lost[b] })
		x.Failed("e0")
		x.Failed("e1")
		assert.Assert(t, !x.Check(context.Background()))
		assert.Equal(t, len(x.changed()), 0)
	})
}

// TestMonitorWithOneEndpoint checks that an instance with a single endpoint finds out whether that
// is reachable.
func TestMonitorWithOneEndpoint(t *testing.T) {
	runMonitor(t, 1, func(x *fixture) {
		assert.Assert(t, !x.Check(context.Background()))
		x.net.SetRefused(func(a, _ string) bool { return a == "f" })
		assert.Assert(t, x.Check(context.Background()))
		x.Connected()
		assert.Assert(t, !x.CutOff())
	})
}
