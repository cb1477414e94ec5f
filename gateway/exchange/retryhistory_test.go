package exchange

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

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
				runFleet(t, 3, true, func(w *fleet) {
					informed := &historyRecorder{sources: sourcesOf(c.instances, c.services), knownFor: time.Minute}
					started := &historyRecorder{sources: map[string][]limits.RetrySource{}}
					_, before := w.datagrams()
					w.nodes[1].sendPartsOf(informed, w.nodes[0], started, lost)
					_, after := w.datagrams()
					w.Logf("%d instances, %d services: an answer of %d bytes", c.instances, c.services, (after-before)/2)
					assert.Equal(w, started.NeedsHistory(), lost > 0)
					if lost == 0 {
						for service, sources := range informed.sources {
							assert.Equal(w, len(started.sources[service]), len(sources))
							assert.DeepEqual(w, started.sources[service][0], sources[0])
						}
					}
				})
			})
		}
	}
}

// sendPartsOf lets an instance answer the question of another one, of which the last parts are lost.
func (n *node) sendPartsOf(history *historyRecorder, to *node, target *historyRecorder, lost int) {
	n.Retries, to.Retries = history, target
	to.sendMu.Lock()
	to.retryQuestions = retryQuestions{asked: true, askedAt: to.Clock(), parts: map[uint64]map[uint32]bool{}} // it asks again later
	to.sendMu.Unlock()
	parts := n.encodeRetryHistory()
	for _, p := range parts[:len(parts)-lost] {
		for range 2 { // the network may repeat a datagram
			n.send(p, n.roster().addressesOf(to.Self.ID)...)
		}
	}
	time.Sleep(50 * time.Millisecond)
}
