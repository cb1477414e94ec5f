package forward

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/agateway/agateway/platform"
)

// refusal is an answer by this instance in place of an endpoint's.
type refusal struct {
	status int
	reason string
	// retryAfter is sent as Retry-After; 0 sends none, where a retry does not help.
	retryAfter time.Duration
	inputs     logrus.Fields
	// otherMayServe is set if another instance may be able to serve the request now.
	otherMayServe bool
}

func refuse(status int, reason string, retryAfter time.Duration) *refusal {
	return &refusal{status: status, reason: reason, retryAfter: retryAfter}
}

// with sets the inputs of the decision for the log.
func (r *refusal) with(inputs logrus.Fields) *refusal {
	r.inputs = inputs
	return r
}

// elsewhere marks a refusal of a request that another instance may be able to serve now.
func (r *refusal) elsewhere() *refusal {
	r.otherMayServe = true
	return r
}

// answerRefusal logs a refusal and sends it to the caller.
func (f *Forwarder) answerRefusal(w http.ResponseWriter, req *request, r *refusal) {
	f.metrics.countRefusal(r.status)
	inputs := logrus.Fields{"status": r.status, "waited_ms": time.Since(req.arrivedAt).Milliseconds(), "retry_after_ms": r.retryAfter.Milliseconds()}
	for k, v := range r.inputs {
		inputs[k] = v
	}
	f.Log.Refusal(req.ID, r.reason, inputs)
	h := w.Header()
	if r.retryAfter > 0 {
		h.Set("Retry-After", platform.RetryAfter(r.retryAfter))
	}
	if req.passedOnBy != "" {
		h.Set(headerPeerRefusal, r.peerMark(f.Reach.CutOff()))
		if req.reached.Load() {
			h.Set(headerPeerReached, "1")
		}
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(r.status)
	_, _ = w.Write([]byte(r.reason + "\n")) // the caller may be gone
}

// peerMark returns the value of headerPeerRefusal for a request that a peer passed on. cutOff tells
// whether this instance reaches no endpoint.
func (r *refusal) peerMark(cutOff bool) string {
	if (r.otherMayServe || cutOff) && r.status == http.StatusServiceUnavailable {
		return peerUnable
	}
	return peerRefused
}

// Bounds of Retry-After when another instance may serve the request: short, since it may do so
// immediately, and spread so that callers refused together do not return together.
const (
	soonRetryMin    = 100 * time.Millisecond
	soonRetrySpread = 300 * time.Millisecond
)

// Bounds of Retry-After while the store is unreachable: no instance can serve the request before
// the store is back, which takes seconds.
const (
	storeRetryMin    = time.Second
	storeRetrySpread = 2 * time.Second
)

func retryWhenStoreIsBack() time.Duration { return storeRetryMin + rand.N(storeRetrySpread) }

func retrySoon() time.Duration { return soonRetryMin + rand.N(soonRetrySpread) }

// Bounds of Retry-After when no endpoint has room.
const (
	roomRetryMin    = 400 * time.Millisecond
	roomRetrySpread = 800 * time.Millisecond
)

// RetryAfterText returns the value of a Retry-After header for a request for which the instance has no room.
func RetryAfterText() string { return platform.RetryAfter(retryWhenRoom(0)) }

// retryWhenRoom returns a Retry-After that spreads the callers' returns over the time after room is
// expected.
func retryWhenRoom(expected time.Duration) time.Duration {
	return max(expected, roomRetryMin) + rand.N(max(expected/2, roomRetrySpread))
}
