package front_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// restartAll kills all instances at once, waits, and starts them again.
func (w *world) restartAll(down time.Duration) {
	for i := range w.fronts {
		w.killFront(i)
	}
	time.Sleep(down)
	for i := range w.fronts {
		w.fronts[i] = w.newFront(i)
	}
}

// TestFleetRestartWithStreamsInProgress kills all instances while streams are in progress. The
// callers come back at other instances in the moment in which these listen again. Each stream
// resumes where its prompt was prefilled. The number of calls that ask for it must not grow with
// the number of engines: at most eight for each stream, where each instance called all 60 engines
// before.
func TestFleetRestartWithStreamsInProgress(t *testing.T) {
	const fronts, engines, streams, maxQuestions = 4, 60, 12, 8
	run(t, fronts, engines, 0, func(w *world) {
		prompt := func(i int) string { return fmt.Sprintf("%x", 0xb000+i) }
		got := make([]chan standin.Answer, streams)
		for i := range got {
			got[i] = w.startStream(i%fronts, briefRequest(prompt(i)))
		}
		time.Sleep(2 * time.Second)
		w.restartAll(500 * time.Millisecond)
		resumed := make([]chan standin.Answer, streams)
		held := make([]int, streams)
		began := time.Now()
		for i := range got {
			held[i] = len((<-got[i]).Events)
			assert.Assert(t, held[i] > 0)
			r := briefRequest(prompt(i))
			r.LastEventID = held[i]
			resumed[i] = w.startStream((i+1)%fronts, r)
		}
		assert.Equal(t, time.Since(began), time.Duration(0), "all callers come back at the same time")
		for i := range resumed {
			a := <-resumed[i]
			assertWhole(t, a, prompt(i), held[i])
			assert.Assert(t, a.Events[0].At.Sub(began) < 150*time.Millisecond, "%v", a.Events[0].At.Sub(began))
		}
		assert.Equal(t, w.prefilledTokens(), streams*promptTokens)
		questions := 0
		for _, e := range w.engines {
			questions += e.PromptListings()
		}
		assert.Assert(t, questions <= maxQuestions*streams, "%d", questions)
	})
}

// startupReads returns the store reads of the kinds that an instance has to know before it serves:
// the configuration, the endpoints and the rollouts.
func (w *world) startupReads() map[string]int {
	out := map[string]int{}
	for _, kind := range []string{platform.KindConfiguration, platform.KindEndpoint, platform.KindRollout} {
		out[kind] = w.store.ReadsOf(kind)
	}
	return out
}

// TestCallersWaitForFirstStoreRead checks that callers wait at an instance that has just started
// until it has read the store, but not for a store that does not answer.
func TestCallersWaitForFirstStoreRead(t *testing.T) {
	run(t, 1, 2, 1, func(w *world) {
		before := w.store.Counts()
		read := w.startupReads()
		w.restartAll(time.Second)
		a, err := w.send(0, logRequest())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusOK, a.Body)
		time.Sleep(100 * time.Millisecond)
		after := w.store.Counts()
		assert.Equal(t, after.Writes, before.Writes, "a restart does not rewrite the instance's entry")
		for kind, n := range w.startupReads() {
			assert.Equal(t, n-read[kind], 1, kind)
		}
		assert.Assert(t, after.Reads-before.Reads <= len(read)+1, "the stopped requests may be read later")
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		w.restartAll(time.Second)
		began := time.Now()
		a, err = w.send(0, logRequest())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, a.RetryAfter != "")
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond, "%v", time.Since(began))
		began = time.Now()
		a, err = w.send(0, logRequest())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 10*time.Millisecond, "the instance already knows that the store does not answer")
	})
}

// TestLargeFleetRestart guards against overloading a store with limited call rates when a whole
// fleet starts at once, as after a power failure. 150 instances at a store that takes 350 reads and
// 75 writes a second are all ready within two seconds, and the restart writes nothing.
func TestLargeFleetRestart(t *testing.T) {
	const fronts = 150
	run(t, fronts, 6, 2, func(w *world) {
		w.store.SetRateLimits(standin.RateLimits{Reads: 350, Writes: 75})
		time.Sleep(2 * time.Second)
		before := w.store.Counts()
		w.restartAll(500 * time.Millisecond)
		began := time.Now()
		for i := range fronts {
			for !w.isReady(i) {
				time.Sleep(20 * time.Millisecond)
				assert.Assert(t, time.Since(began) < 2*time.Second, "instance %d", i)
			}
		}
		after := w.store.Counts()
		assert.Equal(t, after.Writes, before.Writes)
		assert.Assert(t, after.Reads-before.Reads <= 3*fronts, "%d", after.Reads-before.Reads)
	})
}
