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

	"github.com/agateway/agateway/core/limits"
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

// newExchangeWith returns an exchange that does not run.
func newExchangeWith(id string, r Retries) *Exchange {
	return New(Options{
		Self: Peer{ID: id, DataCentre: "hall"}, Retries: r, Clock: func() time.Duration { return time.Hour }, Scope: tally.NoopScope,
		Log: logrus.NewEntry(logrus.New()),
	})
}
