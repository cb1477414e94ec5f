package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// TestLeavingEndpointsGetNoNewWork checks that an endpoint gets no new requests within the bound of
// 2 s after the store says that it leaves, or after its entry is removed.
func TestLeavingEndpointsGetNoNewWork(t *testing.T) {
	for name, leave := range map[string]func(*world){
		"says so": func(w *world) {
			w.store.Put(platform.KindEndpoint, w.plains[0].Config().ID, w.plains[0].Registration("draining"))
		},
		"entry removed": func(w *world) { w.store.Remove(platform.KindEndpoint, w.plains[0].Config().ID) },
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 1, 1, 2, func(w *world) {
				leave(w)
				left := time.Now()
				for time.Since(left) < 4*time.Second {
					a, err := w.send(0, pingRequest())
					assert.NilError(t, err)
					assert.Equal(t, a.Status, 200)
				}
				for _, r := range w.plains[0].Runs() {
					assert.Assert(t, r.At.Sub(left) < time.Second, "%v", r.At.Sub(left))
				}
			})
		})
	}
}

// TestEngineRestartsUnderSameName checks an engine that restarts under the name that it had.
// Instances call it by that name, carry nothing over that they knew of the previous process, and
// resume a stream of the previous process from its copy.
func TestEngineRestartsUnderSameName(t *testing.T) {
	run(t, 2, 2, 0, func(w *world) {
		answer := w.startStream(0, briefRequest("aa"))
		time.Sleep(2 * time.Second)
		id, _ := w.streamEngines()
		w.crashEngine(id)
		time.Sleep(50 * time.Millisecond)
		for i, e := range w.engines {
			if cfg := e.Config(); cfg.ID == id {
				cfg.StartedUnixMS = time.Now().UnixMilli()
				w.engines = append(w.engines, w.newWorker(fmt.Sprint("e", i), strings.TrimPrefix(id, fmt.Sprint("i-e", i)), cfg))
			}
		}
		assertWhole(t, <-answer, "aa", 0)
		time.Sleep(time.Second)
		for i, f := range w.fronts {
			named := 0
			for _, e := range f.State().Endpoints {
				if strings.HasPrefix(e.ID, id) {
					named++
					assert.Assert(t, e.ID != id && !e.Suspected && e.Load == 0, "front %d: %+v", i, e)
				}
			}
			assert.Equal(t, named, 1)
		}
		for i := range 4 { // the restarted engine refuses none of them
			assertWhole(t, <-w.startStream(i%2, briefRequest(fmt.Sprint("b", i))), fmt.Sprint("b", i), 0)
		}
		for _, e := range w.engines {
			assert.Equal(t, e.RefusedRequests(), 0)
		}
	})
}

// TestAddressReuse lets another endpoint take over an address. A request for the first endpoint
// must not run there, and is served elsewhere.
func TestAddressReuse(t *testing.T) {
	run(t, 1, 1, 2, func(w *world) {
		first := w.plains[0].Config()
		w.net.Crash("p0")
		time.Sleep(10 * time.Millisecond)
		other := first
		other.ID, other.Service = "i-other", "others"
		worker := w.fleet.NewWorker(other)
		w.net.SetCrashed("p0", false)
		l, err := w.net.Node("p0").Listen(other.Address)
		assert.NilError(t, err)
		w.stops = append(w.stops, standin.Serve(l, worker))
		for range 10 {
			a, err := w.send(0, logRequest())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
		}
		assert.Equal(t, len(worker.Runs()), 0)
		assert.Assert(t, worker.RefusedRequests() <= 1, "the address was tried %d times", worker.RefusedRequests())
	})
}

// TestExpiredEntries checks entries that expired during an outage of the store. They stay in use
// until two seconds after its return; those that are not listed again by then are dropped.
func TestExpiredEntries(t *testing.T) {
	run(t, 1, 1, 2, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Reset})
		time.Sleep(2500 * time.Millisecond)
		for _, p := range w.plains {
			w.store.Remove(platform.KindEndpoint, p.Config().ID)
		}
		w.store.SetFault(standin.Fault{})
		time.Sleep(1200 * time.Millisecond)
		a, err := w.send(0, pingRequest())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		w.store.Put(platform.KindEndpoint, w.plains[1].Config().ID, w.plains[1].Registration("ready"))
		time.Sleep(2 * time.Second)
		before := len(w.plains[0].Runs())
		for range 6 {
			a, err := w.send(0, pingRequest())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
		}
		assert.Equal(t, len(w.plains[0].Runs()), before)
	})
}

// TestReplacedEngineIsAnnounced lets an engine crash and return under another id during an outage
// of the store, so that no instance can know of it. The first instance whose request is refused
// there tells the others, since each further try would count against the retry budget that all
// share.
func TestReplacedEngineIsAnnounced(t *testing.T) {
	const fronts = 9
	run(t, fronts, 4, 1, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		old := w.engines[0].Config()
		w.crashEngine(old.ID)
		time.Sleep(100 * time.Millisecond)
		replacement := w.newEngine(0, "-again")
		var streams []chan standin.Answer
		for round := range 2 {
			for f := range fronts {
				r := briefRequest(fmt.Sprintf("%x", 0xb0+round*fronts+f))
				r.PromptTokens = 300
				streams = append(streams, w.startStream(f, r))
				time.Sleep(50 * time.Millisecond)
			}
		}
		for _, s := range streams {
			assert.Equal(w.t, (<-s).Status, http.StatusOK)
		}
		assert.Equal(w.t, len(replacement.Runs()), 0)
		assert.Assert(w.t, replacement.RefusedRequests() <= 2, "tried %d times", replacement.RefusedRequests())
	})
}

// TestEngineWithoutModels guards against requests to an engine whose entry says that it has unloaded all models. An
// empty list counted as none, so that the engine kept those that it had listed before.
func TestEngineWithoutModels(t *testing.T) {
	run(t, 2, 2, 1, func(w *world) {
		entry := w.engines[0].Registration("ready").(map[string]any)
		entry["models"], entry["seq"] = []any{}, 99
		w.store.Put(platform.KindEndpoint, w.engines[0].Config().ID, entry)
		time.Sleep(2 * time.Second)
		before := len(w.engines[0].Runs())
		for i := range 6 {
			prompt := fmt.Sprintf("e%x", i)
			assertWhole(w.t, w.answer(i%2, briefRequest(prompt)), prompt, 0)
		}
		assert.Equal(w.t, len(w.engines[0].Runs())-before, 0)
	})
}
