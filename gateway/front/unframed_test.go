package front_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// TestUnframedStreams guards against a stream without a length and without chunks that is taken for complete when
// its engine crashes before the first event or between two events: the connection ends as that of a whole stream.
func TestUnframedStreams(t *testing.T) {
	for _, afterEvents := range []int{0, 20, streamEvents} {
		run(t, 3, 6, 1, func(w *world) {
			for _, e := range w.engines {
				e.SetFault(standin.WorkerFault{Unframed: true})
			}
			fatal := standin.FatalRequest{AfterEvents: afterEvents, ClosesFirst: true}
			w.withFatalRequests(fatal, func(o *crashWorld) {
				a, err := o.send(0, fatalBrief())
				if afterEvents == streamEvents {
					assert.NilError(t, err)
					assertWhole(t, a, "fa7a1", 0)
					return
				}
				assert.Assert(t, err != nil || a.Status != http.StatusOK || !a.Complete, "%d events are taken for the whole stream", len(a.Events))
			})
		})
	}
}
