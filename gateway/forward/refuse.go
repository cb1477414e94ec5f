package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/platform"
)

// refusal is an answer of our own in place of an endpoint's.
type refusal struct {
	status int
	why    string
	// retryAfter is when to come back; 0 where that does not help.
	retryAfter time.Duration
	inputs     logrus.Fields
}

func refuse(status int, why string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, why: why, retryAfter: retryAfter}
}

// with adds the inputs of the decision, for the log.
func (r *refusal) with(inputs logrus.Fields) *refusal {
	r.inputs = inputs
	return r
}

// answerRefusal ends a request that was not served.
func (f *Forwarder) answerRefusal(w http.ResponseWriter, req *request, r *refusal) {
	f.metrics.refused(r.status)
	inputs := logrus.Fields{"status": r.status, "waited_ms": time.Since(req.arrived).Milliseconds(), "retry_after_ms": r.retryAfter.Milliseconds()}
	for k, v := range r.inputs {
		inputs[k] = v
	}
	f.Log.Refusal(req.ID, r.why, inputs)
	h := w.Header()
	if r.retryAfter > 0 {
		h.Set("Retry-After", platform.RetryAfter(r.retryAfter))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.why + "\n")) // the caller may be gone
}

// Pauses before a refused caller comes back: short, since another instance may serve it at once, and
// spread so that callers who were refused together do not return together.
const (
	soonLeast  = 100 * time.Millisecond
	soonSpread = 300 * time.Millisecond
)

// Pauses before a caller comes back whose request was refused since the store is away: no instance can
// serve it before the store is back, which takes seconds.
const (
	storeLeast  = time.Second
	storeSpread = 2 * time.Second
)

func whenStoreIsBack() time.Duration { return storeLeast + rand.N(storeSpread) }

func soon() time.Duration { return soonLeast + rand.N(soonSpread) }

// Pauses before a caller comes back whose request found no room.
const (
	roomLeast  = 400 * time.Millisecond
	roomSpread = 800 * time.Millisecond
)

// whenRoom spreads the return of callers over the time in which room is expected.
func whenRoom(expected time.Duration) time.Duration {
	return max(expected, roomLeast) + rand.N(max(expected/2, roomSpread))
}
