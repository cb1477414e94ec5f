package forward

import (
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.opentelemetry.io/otel/trace/noop"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/core/routing"
	"github.com/agateway/agateway/gateway/placement"
)

// TestDrainRefuses: what may outlast the process is refused, whatever part of the grace is over.
func TestDrainRefuses(t *testing.T) {
	began := time.Now()
	after := func(d time.Duration) time.Time { return began.Add(d) }
	open := &drain{until: after(8 * time.Second), last: after(6 * time.Second)}
	for name, c := range map[string]struct {
		drain    *drain
		now      time.Time
		deadline time.Time
		stream   bool
		taken    bool
	}{
		"ends in time":                {open, began, after(3 * time.Second), false, true},
		"ends in time, late":          {open, after(7 * time.Second), after(7900 * time.Millisecond), false, true},
		"outlasts, early":             {open, began, after(8100 * time.Millisecond), false, false},
		"outlasts, late":              {open, after(5900 * time.Millisecond), after(8900 * time.Millisecond), false, false},
		"no deadline":                 {open, after(5900 * time.Millisecond), time.Time{}, false, true},
		"no deadline, late":           {open, after(6100 * time.Millisecond), time.Time{}, false, false},
		"stream":                      {open, began, after(3 * time.Second), true, false},
		"nothing is taken any more":   {&drain{closed: true}, began, after(time.Second), false, false},
		"nor what has no deadline":    {&drain{closed: true}, began, time.Time{}, false, false},
		"nor what would end in time":  {&drain{until: after(8 * time.Second), closed: true}, began, after(time.Second), false, false},
		"a deadline at the very end":  {open, began, after(8 * time.Second), false, false},
		"a deadline that has passed ": {open, after(time.Second), began, false, true},
	} {
		refused := c.drain.refuses(c.now, &request{deadline: c.deadline, route: &route.Route{Stream: c.stream}})
		assert.Check(t, (refused == nil) == c.taken, name)
		if refused != nil {
			assert.Check(t, refused.status == http.StatusServiceUnavailable && refused.retryAfter > 0, name)
		}
	}
}

// oneRoute is a configuration with one route to a service without endpoints.
type oneRoute struct{ table *route.Table }

func (o oneRoute) Table() (*route.Table, time.Duration) { return o.table, 0 }

// TestNothingIsTakenAfterTheLastLook: once the forwarder refuses and nothing is in progress, no request is taken any more, so the
// process may end.
func TestNothingIsTakenAfterTheLastLook(t *testing.T) {
	known := make(chan struct{})
	close(known)
	f := New(Options{
		Configuration: oneRoute{route.NewTable(&route.Configuration{
			Routes: []route.Route{{Name: "r", Host: "h", Prefix: "/", Targets: []route.Target{{Service: "s", Weight: 1}}, Timeout: time.Minute}},
		})},
		Known: known, Placement: placement.New(routing.DefaultSettings(), 1), Log: quietLog{}, Scope: tally.NoopScope,
		Tracer: noop.NewTracerProvider().Tracer(""), Clock: func() time.Duration { return 0 },
	})
	f.Drain(time.Now().Add(time.Hour))
	var over atomic.Bool
	var taken, late atomic.Int64
	var callers sync.WaitGroup
	for range 8 {
		callers.Go(func() {
			for !over.Load() || taken.Load() == 0 {
				w := httptest.NewRecorder()
				f.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "http://h/", nil))
				if strings.HasPrefix(w.Body.String(), "stopping") {
					time.Sleep(time.Millisecond)
					continue
				}
				taken.Add(1)
				if over.Load() {
					late.Add(1)
				}
			}
		})
	}
	for taken.Load() == 0 {
		runtime.Gosched()
	}
	f.Refuse()
	for f.Open() > 0 {
		runtime.Gosched()
	}
	over.Store(true)
	callers.Wait()
	assert.Equal(t, late.Load(), int64(0))
}
