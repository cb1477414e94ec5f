package e2e

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/cli/caller"
	"github.com/agateway/agateway/cli/standin/engine"
	store "github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestPromptThatCrashesEngines sends a prompt that ends each engine that has read it. Engines restart
// after five seconds, and the prompt comes again at any instance. Each generation may try twelve
// engines, so without memory of earlier generations the prompt ends engines again and again. No
// engine may end later than three seconds after the third, and other generations must be served.
func TestPromptThatCrashesEngines(t *testing.T) {
	const (
		fatal  = "ends whoever reads it"
		settle = 3 * time.Second
		back   = 5 * time.Second
	)
	runCluster(t, clusterConfig{gateways: 3, engines: 12, policy: "frugal"}, func(w *cluster) {
		var mu sync.Mutex
		var ends []time.Time
		over := false
		start := func(i int) {
			w.addEngine(i)
			w.engines[i].SetFault(engine.Fault{DieAtPrompt: fatal})
		}
		w.onEngineExit = func(i int) {
			mu.Lock()
			defer mu.Unlock()
			ends = append(ends, time.Now())
			time.AfterFunc(back, func() {
				mu.Lock()
				defer mu.Unlock()
				if !over {
					start(i)
				}
			})
		}
		for i := range w.engines {
			w.engines[i].SetFault(engine.Fault{DieAtPrompt: fatal})
		}
		var work sync.WaitGroup
		for i := range 15 {
			work.Go(func() {
				r := w.request(20)
				r.Prompt, r.Timeout = fatal, 20*time.Second
				ctx, cancel := context.WithTimeout(w.ctx(), 20*time.Second)
				defer cancel()
				_, err := w.callerOfAll(i).Generate(ctx, r)
				assert.Check(w.t, err != nil)
			})
			time.Sleep(700 * time.Millisecond)
		}
		work.Wait()
		mu.Lock()
		late := 0
		for _, at := range ends {
			if len(ends) > 3 && at.Sub(ends[2]) > settle {
				late++
			}
		}
		w.t.Logf("%d engines ended, %d later than %v after the third", len(ends), late, settle)
		assert.Check(w.t, len(ends) >= 3)
		assert.Check(w.t, late == 0, "%d", late)
		over = true
		mu.Unlock()
		var a *caller.Answer
		r := w.request(20)
		a, err := w.callerOfAll(0).Generate(w.ctx(), r)
		w.checkAnswer(r, a, err)
	})
}

// TestStopsLostByStore guards against stopped requests that are gone from the store after it has returned from an
// older copy: an instance that starts later would let them end engines again.
func TestStopsLostByStore(t *testing.T) {
	const fatal = "ends whoever reads it"
	for name, outage := range map[string]standin.Outage{"at once": standin.NoOutage, "after an outage": standin.Busy} {
		t.Run(name, func(t *testing.T) {
			runCluster(t, clusterConfig{gateways: 4, engines: 12, policy: "frugal"}, func(w *cluster) {
				from := w.platform.Store.Copy()
				for i := range w.engines {
					w.engines[i].SetFault(engine.Fault{DieAtPrompt: fatal})
				}
				for i := range 4 {
					r := w.request(20)
					r.Prompt, r.Timeout = fatal, 5*time.Second
					ctx, cancel := context.WithTimeout(w.ctx(), 5*time.Second)
					_, err := w.callerOfAll(i).Generate(ctx, r)
					cancel()
					assert.Check(w.t, err != nil)
				}
				time.Sleep(5 * time.Second)
				stops := w.platform.Store.Names(store.KindStoppedRequest)
				assert.Equal(w.t, len(stops), 1)
				w.platform.Store.Return(from)
				assert.Equal(w.t, len(w.platform.Store.Names(store.KindStoppedRequest)), 0)
				time.Sleep(4 * time.Second)
				w.platform.Store.SetFault(standin.Fault{Outage: outage})
				time.Sleep(3 * time.Second)
				w.platform.Store.SetFault(standin.Fault{})
				time.Sleep(10 * time.Second)
				assert.DeepEqual(w.t, w.platform.Store.Names(store.KindStoppedRequest), stops)
			})
		})
	}
}
