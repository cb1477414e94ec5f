package front_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestOverload sends 40 streams to three engines that hold nine each. A caller that gets no room
// must be told within half of the target latency, and when to come back. No caller stays without an
// answer, and no stream is cut.
func TestOverload(t *testing.T) {
	run(t, 2, 3, 1, func(w *world) {
		const callers = 40
		answers := make(chan standin.Answer, callers)
		for i := range callers {
			go func() {
				r := briefRequest(string(rune('a'+i%26)) + "0")
				began := time.Now()
				a, err := w.send(i%2, r)
				if err == nil && a.Status != http.StatusOK && time.Since(began) > 2400*time.Millisecond {
					a.Body = "late"
				}
				answers <- a
			}()
			time.Sleep(20 * time.Millisecond)
		}
		served, refused := 0, 0
		for range callers {
			switch a := <-answers; {
			case a.Status == http.StatusOK && a.Complete && len(a.Events) == streamEvents:
				served++
			case a.Status == http.StatusServiceUnavailable && a.RetryAfter != "" && a.Body != "late":
				refused++
			default:
				t.Errorf("status %d, %d events, whole %v, %s", a.Status, len(a.Events), a.Complete, a.Body)
			}
		}
		assert.Assert(t, served >= 20, "%d served, %d refused", served, refused)
	})
}

// TestFullEnginesAreRetriedSlowly guards against flooding engines that refuse although they seem to
// have room. For a stream that can go nowhere else, an engine is tried a few times a second, and
// not at each poll.
func TestFullEnginesAreRetriedSlowly(t *testing.T) {
	run(t, 1, 3, 1, func(w *world) {
		for _, e := range w.engines {
			e.SetFault(standin.WorkerFault{RefuseAll: true})
		}
		a, err := w.send(0, briefRequest("b1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		refused := 0
		for _, e := range w.engines {
			refused += e.RefusedRequests()
		}
		assert.Assert(t, refused <= 3*8, "%d tries", refused) // 1.5 s, with five tries a second at each engine
	})
}
