package exchange

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/admission"
	"github.com/agateway/agateway/core/limits"
	"github.com/agateway/agateway/core/routing"
)

// historyRecorder implements Retries.
type historyRecorder struct {
	mu       sync.Mutex
	sources  map[string][]limits.RetrySource
	knownFor time.Duration
}

func (r *historyRecorder) History(uint64) (map[string][]limits.RetrySource, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sources, r.knownFor
}

func (r *historyRecorder) MergeHistory(_ uint64, sources map[string][]limits.RetrySource, knownFor time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service, all := range sources {
		known := slices.DeleteFunc(r.sources[service], func(s limits.RetrySource) bool {
			return slices.ContainsFunc(all, func(other limits.RetrySource) bool { return other.Instance == s.Instance })
		})
		r.sources[service] = append(known, all...)
	}
	r.knownFor = max(r.knownFor, knownFor)
}

func (r *historyRecorder) NeedsHistory() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.knownFor < defaultRetryWindow
}

// sourcesOf returns what some instances have sent to some services in each step of the window.
func sourcesOf(instances, services int) map[string][]limits.RetrySource {
	out := map[string][]limits.RetrySource{}
	for s := range services {
		for i := range instances {
			source := limits.RetrySource{Instance: fmt.Sprint("front-hall-", i), Last: limits.RetryCounts{Requests: 90000, Retries: 4000, Process: 1 << 60}}
			for age := range 21 {
				source.Steps = append(source.Steps, limits.RetryStep{Age: age, Requests: 11, Retries: 3})
			}
			out[fmt.Sprint("service-", s)] = append(out[fmt.Sprint("service-", s)], source)
		}
	}
	return out
}

// TestRetryHistoryReachesInstanceThatStarts guards against an instance that takes itself for informed though parts of the
// history were lost, or that is never informed. It logs what an answer costs.
func TestRetryHistoryReachesInstanceThatStarts(t *testing.T) {
	for _, c := range []struct{ instances, services int }{{9, 15}, {33, 15}} {
		for _, lost := range []int{0, 1} {
			t.Run(fmt.Sprint(c.instances, "/", c.services, "/lost ", lost), func(t *testing.T) {
				informed := &historyRecorder{sources: sourcesOf(c.instances, c.services), knownFor: time.Minute}
				started := &historyRecorder{sources: map[string][]limits.RetrySource{}}
				from, to := newExchangeWith("a", informed), newExchangeWith("b", started)
				to.retryQuestions.parts = map[uint64]map[uint32]bool{}
				parts, size := from.encodeRetryHistory(), 0
				for _, p := range parts[:len(parts)-lost] {
					size += proto.Size(p)
					for range 2 { // the network may repeat a datagram
						to.receiveRetryHistory(p.GetRetryHistory(), nil)
					}
				}
				t.Logf("%d instances, %d services, %d parts lost: %d bytes", c.instances, c.services, lost, size)
				assert.Equal(t, started.NeedsHistory(), lost > 0)
				if lost > 0 {
					return
				}
				for service, sources := range informed.sources {
					assert.Equal(t, len(started.sources[service]), len(sources))
					assert.DeepEqual(t, started.sources[service][0], sources[0])
				}
			})
		}
	}
}

// TestLimitsReachInstanceThatStarts guards against an instance that starts and sends without claims to endpoints that state
// limits. An answer names one fragile endpoint of each service, and as many that state rates as fit.
func TestLimitsReachInstanceThatStarts(t *testing.T) {
	from, to := newExchangeWith("a", &historyRecorder{}), newExchangeWith("b", &historyRecorder{sources: map[string][]limits.RetrySource{}})
	views := []*routing.View{from.Endpoints.(*viewEndpoints).view, to.Endpoints.(*viewEndpoints).view}
	list := func(v *routing.View) {
		for i := range 3 {
			v.Upsert(routing.Endpoint{ID: fmt.Sprint("log-", i), Service: "log", State: routing.Live})
		}
		for i := range 2 * maxHistoryLimits {
			v.Upsert(routing.Endpoint{ID: fmt.Sprint("front-hall-engine-", i), Service: "engines", State: routing.Live})
		}
	}
	list(views[0])
	now := time.Now()
	views[0].RecordLimits(now, "log-1", admission.Limits{MaxRefusals: 3, Fragile: true})
	for i := range 2 * maxHistoryLimits {
		views[0].RecordLimits(now.Add(time.Second), fmt.Sprint("front-hall-engine-", i), admission.Limits{Rate: 2, HasRate: true})
	}
	parts := from.encodeRetryHistory()
	for _, p := range parts {
		assert.Assert(t, proto.Size(p) <= maxHistoryBytes)
	}
	for _, p := range parts {
		to.receiveRetryHistory(p.GetRetryHistory(), nil)
	}
	list(views[1])
	rated := 0
	for i := range 3 {
		assert.Equal(t, views[1].LimitsOf(now, fmt.Sprint("log-", i)).Limits, admission.Limits{MaxRefusals: 3, Fragile: true})
	}
	for i := range 2 * maxHistoryLimits {
		if views[1].LimitsOf(now, fmt.Sprint("front-hall-engine-", i)).HasRate {
			rated++
		}
	}
	assert.Equal(t, rated, maxHistoryLimits-1)
}

// newExchangeWith returns an exchange that does not run.
func newExchangeWith(id string, r Retries) *Exchange {
	return New(Options{
		Self: Peer{ID: id, DataCentre: "hall"}, Retries: r, Endpoints: &viewEndpoints{routing.NewView(routing.DefaultSettings())}, Clock: func() time.Duration { return time.Hour }, Scope: tally.NoopScope,
		Log: logrus.NewEntry(logrus.New()),
	})
}
