package pipeline

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/agateway/agateway/gateway/apierr"
)

// finish answers what was not answered and counts the outcome.
type finish struct {
	*Deps
	mu       sync.Mutex
	outcomes map[outcome]tally.Counter
	latency  tally.Timer
}

// outcome labels the counter of ended requests.
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
		if e.Ran == apierr.NotRun && !x.settled && x.repeatable() {
			e.Ran = apierr.Unknown // this ask did not run it; an earlier one may have
		}
		f.refuse(x, e)
	}
	f.latency.Record(time.Since(x.Received))
	f.count(x, code).Inc(1)
}

// refuse sends the error: as the response, or into a stream that has begun.
func (f *finish) refuse(x *Exchange, e *apierr.Error) {
	if !x.answered {
		x.W.Header().Set(HeaderRan, string(e.Ran))
		e.Write(x.W)
		return
	}
	if x.session != nil {
		x.session.mu.Lock()
		defer x.session.mu.Unlock()
	}
	if x.events != nil {
		x.events.fail(time.Now(), e.Marshal())
	}
}

func (f *finish) count(x *Exchange, code apierr.Code) tally.Counter {
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
