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

// TestLeavingEndpointsGetNoNewWork: within the bound of 2 s from the store's word, whether the endpoint
// says that it leaves or its entry is removed.
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
					a, err := w.do(0, ping())
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

// TestAnEngineThatStartsAgain: under the name that it had. It is called by that name, nothing is believed of it that was
// true of the one before, and a stream that the one before ran goes on from its copy.
func TestAnEngineThatStartsAgain(t *testing.T) {
	run(t, 2, 2, 0, func(w *world) {
		answer := w.stream(0, brief("aa"))
		time.Sleep(2 * time.Second)
		id, _ := w.serving()
		w.crashEngine(id)
		time.Sleep(50 * time.Millisecond)
		for i, e := range w.engines {
			if cfg := e.Config(); cfg.ID == id {
				cfg.StartedUnixMS = time.Now().UnixMilli()
				w.engines = append(w.engines, w.worker(fmt.Sprint("e", i), strings.TrimPrefix(id, fmt.Sprint("i-e", i)), cfg))
			}
		}
		whole(t, <-answer, "aa", 0)
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
		for i := range 4 { // also at the one that started again: none of them is refused
			whole(t, <-w.stream(i%2, brief(fmt.Sprint("b", i))), fmt.Sprint("b", i), 0)
		}
		for _, e := range w.engines {
			assert.Equal(t, e.RefusedRequests(), 0)
		}
	})
}

// TestAddressUsedAgain: another endpoint has the address; what was meant for the first one does not run
// there, and goes elsewhere.
func TestAddressUsedAgain(t *testing.T) {
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
			a, err := w.do(0, logLift())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
		}
		assert.Equal(t, len(worker.Runs()), 0)
		assert.Assert(t, worker.RefusedRequests() <= 1, "the address was tried %d times", worker.RefusedRequests())
	})
}

// TestLapsedEntries: the store was away for so long that entries lapsed. They count until two seconds
// after its return; those that are not back by then are gone.
func TestLapsedEntries(t *testing.T) {
	run(t, 1, 1, 2, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Reset})
		time.Sleep(2500 * time.Millisecond)
		for _, p := range w.plains {
			w.store.Remove(platform.KindEndpoint, p.Config().ID)
		}
		w.store.SetFault(standin.Fault{})
		time.Sleep(1200 * time.Millisecond)
		a, err := w.do(0, ping())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, 200)
		w.store.Put(platform.KindEndpoint, w.plains[1].Config().ID, w.plains[1].Registration("ready"))
		time.Sleep(2 * time.Second)
		before := len(w.plains[0].Runs())
		for range 6 {
			a, err := w.do(0, ping())
			assert.NilError(t, err)
			assert.Equal(t, a.Status, 200)
		}
		assert.Equal(t, len(w.plains[0].Runs()), before)
	})
}

// TestReplacedEnginesAreToldOf: the store is away, and an engine crashed and came back under another id, which
// nobody can know. The first instance whose request is refused there tells the others: each try by another one
// would count against the retries that all share.
func TestReplacedEnginesAreToldOf(t *testing.T) {
	const fronts = 9
	run(t, fronts, 4, 1, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		old := w.engines[0].Config()
		w.crashEngine(old.ID)
		time.Sleep(100 * time.Millisecond)
		now := w.engine(0, "-again")
		var streams []chan standin.Answer
		for round := range 2 {
			for f := range fronts {
				r := brief(fmt.Sprintf("%x", 0xb0+round*fronts+f))
				r.PromptTokens = 300
				streams = append(streams, w.stream(f, r))
				time.Sleep(50 * time.Millisecond)
			}
		}
		for _, s := range streams {
			assert.Equal(w.t, (<-s).Status, http.StatusOK)
		}
		assert.Equal(w.t, len(now.Runs()), 0)
		assert.Assert(w.t, now.RefusedRequests() <= 2, "tried %d times", now.RefusedRequests())
	})
}
