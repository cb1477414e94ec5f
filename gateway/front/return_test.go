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
		w.fronts[i] = w.front(i)
	}
}

// TestReturnOfAFleetThatForgotEverything: the pattern is the worst two seconds of a day: all instances are killed with
// streams in progress, and their callers come back, at other instances, in the moment in which these listen again. Each
// stream goes on where its prompt was read, and what is asked for that does not grow with the number of engines: eight
// questions a stream, where each instance asked all 60 before.
func TestReturnOfAFleetThatForgotEverything(t *testing.T) {
	const fronts, engines, streams, asked = 4, 60, 12, 8
	run(t, fronts, engines, 0, func(w *world) {
		prompt := func(i int) string { return fmt.Sprintf("%x", 0xb000+i) }
		got := make([]chan standin.Answer, streams)
		for i := range got {
			got[i] = w.stream(i%fronts, brief(prompt(i)))
		}
		time.Sleep(2 * time.Second)
		w.restartAll(500 * time.Millisecond)
		back := make([]chan standin.Answer, streams)
		held := make([]int, streams)
		began := time.Now()
		for i := range got {
			held[i] = len((<-got[i]).Events)
			assert.Assert(t, held[i] > 0)
			r := brief(prompt(i))
			r.LastEventID = held[i]
			back[i] = w.stream((i+1)%fronts, r)
		}
		assert.Equal(t, time.Since(began), time.Duration(0), "they come at once")
		for i := range back {
			a := <-back[i]
			whole(t, a, prompt(i), held[i])
			assert.Assert(t, a.Events[0].At.Sub(began) < 150*time.Millisecond, "%v", a.Events[0].At.Sub(began))
		}
		assert.Equal(t, w.read(), streams*promptSize)
		questions := 0
		for _, e := range w.engines {
			questions += e.PromptListings()
		}
		assert.Assert(t, questions <= asked*streams, "%d", questions)
	})
}

// readsOfWhatIsServed returns the reads of what an instance has to know before it serves: routes, endpoints and which builds of
// these are on trial.
func (w *world) readsOfWhatIsServed() map[string]int {
	out := map[string]int{}
	for _, kind := range []string{platform.KindConfiguration, platform.KindEndpoint, platform.KindRollout} {
		out[kind] = w.store.ReadsOf(kind)
	}
	return out
}

// TestCallersWaitForTheFirstLook: at an instance that has just started, but not for a store that does not answer.
func TestCallersWaitForTheFirstLook(t *testing.T) {
	run(t, 1, 2, 1, func(w *world) {
		before := w.store.Counts()
		read := w.readsOfWhatIsServed()
		w.restartAll(time.Second)
		a, err := w.do(0, logLift())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusOK, a.Body)
		time.Sleep(100 * time.Millisecond)
		after := w.store.Counts()
		assert.Equal(t, after.Writes, before.Writes, "its entry is as it left it")
		for kind, n := range w.readsOfWhatIsServed() {
			assert.Equal(t, n-read[kind], 1, kind)
		}
		assert.Assert(t, after.Reads-before.Reads <= len(read)+1, "and the stopped requests, later")
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		w.restartAll(time.Second)
		began := time.Now()
		a, err = w.do(0, logLift())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, a.RetryAfter != "")
		assert.Assert(t, time.Since(began) <= 500*time.Millisecond, "%v", time.Since(began))
		began = time.Now()
		a, err = w.do(0, logLift())
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		assert.Assert(t, time.Since(began) < 10*time.Millisecond, "it is known by now that the store does not answer")
	})
}

// TestLargeFleetReturns: the pattern is a fleet that starts at once before a store of limited calls, as after a loss of
// power. 150 instances before a store that takes 350 reads and 75 writes a second are all ready within two seconds, and a
// restart writes nothing.
func TestLargeFleetReturns(t *testing.T) {
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
