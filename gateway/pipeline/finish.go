package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/gateway/apierr"
)

// finish sends the error if the request failed, and counts the outcome.
type finish struct {
	*Deps
	mu       sync.Mutex
	outcomes map[outcome]tally.Counter
	latency  tally.Timer
}

// outcome holds the labels of the counter of finished requests.
type outcome struct {
	deployment string
	code       apierr.Code
}

func newFinish(d *Deps) *finish {
	return &finish{Deps: d, outcomes: map[outcome]tally.Counter{}, latency: d.Scope.Timer("request")}
}

func (f *finish) serve(_ context.Context, x *Exchange, err error) {
	code := apierr.Code("complete")
	if err != nil {
		e := apierr.From(err)
		code = e.Code
		if e.Ran == apierr.NotRun && !x.claimReached && x.mayBeRetry() {
			e.Ran = apierr.Unknown // this request did not run, but an earlier one like it may have
		}
		f.writeError(x, e)
	}
	f.latency.Record(time.Since(x.Received))
	f.counter(x, code).Inc(1)
}

// writeError sends the error as the response, or as an event if the response has been started as a
// stream.
func (f *finish) writeError(x *Exchange, e *apierr.Error) {
	if !x.responseStarted {
		x.W.Header().Set(HeaderRan, string(e.Ran))
		e.Write(x.W)
		return
	}
	if x.session != nil {
		x.session.mu.Lock()
		defer x.session.mu.Unlock()
	}
	if x.events != nil {
		x.events.writeError(time.Now(), e.Marshal())
	}
}

// counter returns the counter for a deployment and code, which is created on first use.
func (f *finish) counter(x *Exchange, code apierr.Code) tally.Counter {
	o := outcome{code: code}
	if x.Deployment != nil {
		o.deployment = x.Deployment.Name
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	c := f.outcomes[o]
	if c == nil {
		c = f.Scope.Tagged(map[string]string{"deployment": o.deployment, "outcome": string(code)}).Counter("requests")
		f.outcomes[o] = c
	}
	return c
}
