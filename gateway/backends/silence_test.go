package backends

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/endpoint"
	"github.com/agateway/agateway/gateway/network/memnet"
	"github.com/agateway/agateway/gateway/platform"
)

const (
	testPoll          = 500 * time.Millisecond
	testStatusTimeout = 500 * time.Millisecond
	testProbeTimeout  = 200 * time.Millisecond
	testSlots         = 8
)

// pausedUntil is when engines go on that accept connections and answer nothing.
type pausedUntil struct{ atomic.Pointer[time.Time] }

func (p *pausedUntil) wait() {
	if until := p.Load(); until != nil {
		time.Sleep(time.Until(*until))
	}
}

// runBackends runs f with the backends of n engines, and what pauses them all.
func runBackends(t *testing.T, n int, f func(b *Backends, paused *pausedUntil)) {
	synctest.Test(t, func(t *testing.T) {
		net, paused := memnet.New(), &pausedUntil{}
		ctx, cancel := context.WithCancel(context.Background())
		defer func() {
			cancel()
			net.CloseAll()
			time.Sleep(time.Minute) // outlasts the timeouts of idle connections
		}()
		log := logrus.New()
		log.SetOutput(io.Discard)
		b := New(Options{
			Client: endpoint.NewClient(250*time.Millisecond, net.Node("g")), Settings: routing.DefaultSettings(), Poll: testPoll, StatusTimeout: testStatusTimeout,
			Instance: "g", Log: logrus.NewEntry(log), Scope: tally.NoopScope, Seed: 1,
		})
		var listed []platform.Listed
		for i := range n {
			id, address := fmt.Sprint("e", i), fmt.Sprintf("10.0.0.%d:80", i+1)
			l, err := net.Node(id).Listen(address)
			assert.NilError(t, err)
			server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				paused.wait()
				_ = json.NewEncoder(w).Encode(endpoint.Status{Slots: testSlots, Boot: id})
			})}
			go func() { _ = server.Serve(l) }() // ends with the listener
			listed = append(listed, platform.Listed{ID: id, Role: platform.RoleEngine, Address: address, DataCentre: "dc", Service: "s"})
		}
		b.SetList(ctx, listed)
		time.Sleep(3 * testPoll)
		f(b, paused)
	})
}

// TestPausedEnginesAreUsedAgain guards against refusing requests for up to fifteen seconds after engines
// were paused for a second, since the probes of each of their streams counted as one more failure.
func TestPausedEnginesAreUsedAgain(t *testing.T) {
	const engines, streams, pause = 4, 8, 1200 * time.Millisecond
	for _, after := range []time.Duration{0, 100 * time.Millisecond, 300 * time.Millisecond, 450 * time.Millisecond} {
		t.Run(after.String(), func(t *testing.T) {
			runBackends(t, engines, func(b *Backends, paused *pausedUntil) {
				assert.Equal(t, b.Slots("s"), engines*testSlots)
				time.Sleep(after)
				until := time.Now().Add(pause)
				paused.Store(&until)
				time.Sleep(2 * testProbeTimeout)
				for i := range engines * streams {
					go func() {
						id := fmt.Sprint("e", i%engines)
						address, _ := b.Address(id)
						ctx, cancel := context.WithTimeout(context.Background(), testProbeTimeout)
						defer cancel()
						askedAt := time.Now()
						if _, err := b.opt.Client.Probe(ctx, address, "x"); err != nil {
							b.TimedOut(id, askedAt)
						}
					}()
				}
				time.Sleep(2 * testProbeTimeout)
				assert.Equal(t, b.Slots("s"), engines*testSlots, "a silence that all share suspects none")
				time.Sleep(time.Until(until) + testPoll + 100*time.Millisecond)
				assert.Equal(t, b.Slots("s"), engines*testSlots)
			})
		})
	}
}
