package e2e

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/standin/engine"
	"github.com/agateway/agateway/cli/standin/plain"
)

// listedFor is how long a paused service certainly stays in the platform's list, where it renews its entry
// each second. One that is left there alone is silent by itself.
const listedFor = 2 * time.Second

// pauseServices freezes the first n services for some time.
func (w *cluster) pauseServices(n int, d time.Duration) {
	for _, s := range w.services[:n] {
		s.SetFault(plain.Fault{Freeze: true})
	}
	time.AfterFunc(d, func() {
		for _, s := range w.services[:n] {
			s.SetFault(plain.Fault{})
		}
	})
}

// pauseEngines freezes the first n engines for some time.
func (w *cluster) pauseEngines(n int, d time.Duration) {
	for _, e := range w.engines[:n] {
		e.SetFault(engine.Fault{Freeze: true})
	}
	time.AfterFunc(d, func() {
		for _, e := range w.engines[:n] {
			e.SetFault(engine.Fault{})
		}
	})
}

// suspicions returns how often an endpoint became suspected.
func (w *cluster) suspicions() int {
	w.logs.mu.Lock()
	defer w.logs.mu.Unlock()
	return strings.Count(w.logs.buf.String(), "endpoint became suspected")
}

// plainCall is a call to a service that may have been paused.
type plainCall struct {
	request caller.PlainRequest
	name    string // under which the services count it
	took    time.Duration
	err     error
}

// callDuring makes calls at a rate for some time, one after the other at each instance, and returns them
// with their results.
func (w *cluster) callDuring(gap, d time.Duration, request func(i int) caller.PlainRequest) []*plainCall {
	var open sync.WaitGroup
	var all []*plainCall
	for began := time.Now(); time.Since(began) < d; time.Sleep(gap) {
		r := request(len(all))
		c := &plainCall{request: r, name: fmt.Sprint(r.Method, " ", r.Path, " ", string(r.Body))}
		i := len(all) % len(w.gateways)
		all = append(all, c)
		open.Go(func() {
			sentAt := time.Now()
			_, c.err = w.callerOf(i).CallPlain(w.ctx(), c.request)
			c.took = time.Since(sentAt)
		})
	}
	open.Wait()
	return all
}

// TestSharedPauseSuspectsNone guards against endpoints that are suspected since all of their service were
// paused together. One that is paused by itself is suspected.
func TestSharedPauseSuspectsNone(t *testing.T) {
	for _, c := range []struct {
		pause             time.Duration
		services, engines int
		suspected         bool
	}{
		{1200 * time.Millisecond, 3, 4, false},
		{listedFor, 3, 4, false},
		{listedFor, 1, 0, true},
		{listedFor, 0, 1, true},
	} {
		t.Run(fmt.Sprintf("%d services and %d engines for %v", c.services, c.engines, c.pause), func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 2, engines: 4, services: 3}, func(w *cluster) {
				var streams sync.WaitGroup
				for i := range 8 {
					streams.Go(func() {
						_, _ = w.callerOf(i%2).Generate(w.ctx(), w.request(100))
					})
				}
				time.Sleep(time.Second)
				w.pauseServices(c.services, c.pause)
				w.pauseEngines(c.engines, c.pause)
				w.callDuring(50*time.Millisecond, c.pause, func(i int) caller.PlainRequest {
					return caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: fmt.Sprint("/status/", i), Timeout: 5 * time.Second}
				})
				streams.Wait()
				assert.Check(w.t, (w.suspicions() > 0) == c.suspected, "%d suspicions", w.suspicions())
			})
		})
	}
}

// callKinds are the kinds of calls by how often they may run.
var callKinds = map[string]struct {
	request func(w *cluster, i int) caller.PlainRequest
	unknown string // the outcome if the endpoint's answer does not come in time
	maxRuns int
}{
	"read": {func(_ *cluster, i int) caller.PlainRequest {
		return caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: fmt.Sprint("/status/", i), Timeout: 5 * time.Second}
	}, "endpoint_error/unknown", 4},
	"write": {func(_ *cluster, i int) caller.PlainRequest {
		r := newLiftRequest("", "")
		r.Body = fmt.Append(nil, "lift ", i)
		return r
	}, "outcome_unknown/unknown", 1},
	"write with a key": {func(_ *cluster, i int) caller.PlainRequest {
		r := newLiftRequest("", fmt.Sprint("key-", i))
		r.Body = fmt.Append(nil, "lift ", i)
		return r
	}, "outcome_unknown/unknown", 1},
}

// TestCallsAtPausedServices guards against calls that are given up or refused before their deadline, or run
// twice, and services that are suspected, because sound services pause. They are answered when the pause
// ends before their deadline.
func TestCallsAtPausedServices(t *testing.T) {
	for kind, k := range callKinds {
		for _, pause := range []time.Duration{300 * time.Millisecond, 1200 * time.Millisecond, listedFor, 3500 * time.Millisecond, 8 * time.Second} {
			for _, paused := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s/%d for %v", kind, paused, pause), func(t *testing.T) {
					runCluster(t, clusterConfig{gateways: 2, engines: 1, services: 3}, func(w *cluster) {
						request := func(i int) caller.PlainRequest { return k.request(w, i) }
						w.pauseServices(paused, pause)
						all := w.callDuring(100*time.Millisecond, min(pause, 2*time.Second), request)
						time.Sleep(10 * time.Second)
						for _, c := range all {
							runs, got := w.callRuns(c.name), outcome(c.err)
							what := fmt.Sprintf("%s: %s in %v, %d runs", c.name, got, c.took, runs)
							assert.Check(w.t, runs <= k.maxRuns, what)
							assert.Check(w.t, got == "ok" || got == k.unknown && c.took >= 4900*time.Millisecond, what)
							assert.Check(w.t, got == "ok" || pause > 5*time.Second, what)
						}
					})
				})
			}
		}
	}
}

// TestCallThatMayHaveRunIsNotRefused guards against a call that is reported as not run after an endpoint may
// have run it. The service got it and was not heard of again, and no other endpoint takes it.
func TestCallThatMayHaveRunIsNotRefused(t *testing.T) {
	for name, refuse := range map[string]func(w *cluster){
		"no other endpoint": func(*cluster) {},
		"the other refuses": func(w *cluster) { w.services[1].SetFault(plain.Fault{NotRun: true}) },
	} {
		t.Run(name, func(t *testing.T) {
			services := map[string]int{"no other endpoint": 1, "the other refuses": 2}[name]
			runCluster(t, clusterConfig{gateways: 1, engines: 1, services: services}, func(w *cluster) {
				w.services[0].SetFault(plain.Fault{DropAfterRun: true})
				refuse(w)
				for i := range 8 {
					c := caller.PlainRequest{Service: "queue-app", Method: http.MethodGet, Path: fmt.Sprint("/status/", i), Timeout: 5 * time.Second}
					_, err := w.callerOf(0).CallPlain(w.ctx(), c)
					ran := w.callRuns(fmt.Sprint(c.Method, " ", c.Path, " ", string(c.Body)))
					assert.Check(t, ran == 0 || !strings.HasSuffix(outcome(err), "/not_run"), "%d runs, %s", ran, outcome(err))
					time.Sleep(5 * time.Second)
				}
			})
		})
	}
}
