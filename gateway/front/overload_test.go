package front_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestOverload: forty streams for three engines that hold nine each. Who finds no room is told so within
// half of the aim and when to come back; nobody is left without an answer, and none is cut.
func TestOverload(t *testing.T) {
	run(t, 2, 3, 1, func(w *world) {
		const callers = 40
		answers := make(chan standin.Answer, callers)
		for i := range callers {
			go func() {
				r := brief(string(rune('a'+i%26)) + "0")
				began := time.Now()
				a, err := w.do(i%2, r)
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
			case a.Status == http.StatusOK && a.Complete && len(a.Events) == events:
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

// TestFullEnginesAreNotPressed: engines that refuse, though they are believed to have room, are asked a few times
// a second for a stream that can go nowhere else, not at each look.
func TestFullEnginesAreNotPressed(t *testing.T) {
	run(t, 1, 3, 1, func(w *world) {
		for _, e := range w.engines {
			e.SetFault(standin.WorkerFault{RefuseAll: true})
		}
		a, err := w.do(0, brief("b1"))
		assert.NilError(t, err)
		assert.Equal(t, a.Status, http.StatusServiceUnavailable)
		refused := 0
		for _, e := range w.engines {
			refused += e.RefusedRequests()
		}
		assert.Assert(t, refused <= 3*8, "%d tries", refused) // 1.5 s of tries, at each engine five a second
	})
}
