package front_test

import (
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform/standin"
)

// cutMode is what happens to connections between cut instances and the endpoints.
type cutMode string

const (
	hang   cutMode = "hang"    // open connections go silent, new ones hang
	resets cutMode = "reset"   // open connections are reset, new ones refused
	refuse cutMode = "live on" // open connections live on, new ones are refused
)

// cutFromEndpoints cuts the first n instances from all endpoints, until heal is called.
func (w *world) cutFromEndpoints(n int, mode cutMode) (heal func()) {
	cut := map[string]bool{}
	for i := range n {
		cut[fmt.Sprint("f", i)] = true
	}
	between := func(a, b string) bool {
		return cut[a] && isEndpointNode(b) || cut[b] && isEndpointNode(a)
	}
	switch mode {
	case hang:
		w.net.SetCut(between)
	case resets:
		w.net.SetRefused(between)
		w.net.Reset(between)
	case refuse:
		w.net.SetRefused(between)
	}
	return func() {
		never := func(string, string) bool { return false }
		w.net.SetCut(never)
		w.net.SetRefused(never)
	}
}

func isEndpointNode(name string) bool {
	return strings.HasPrefix(name, "e") || strings.HasPrefix(name, "p")
}

// tries counts the first tries of callers at instances, by whether the instance is cut off.
type tries struct {
	mu           sync.Mutex
	sent, served map[bool]int
	logs         []string // ids of the calls that must run once at most
}

// drive sends plain calls and streams to all instances for some time. The first cut instances are
// cut off.
func (w *world) drive(d time.Duration, instances, cut int) *tries {
	t := &tries{sent: map[bool]int{}, served: map[bool]int{}}
	var open sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < d; n++ {
		i := n % instances
		r := pingRequest()
		switch {
		case n/instances%6 == 5:
			r = briefRequest(w.newRequestID())
		case n/instances%2 == 0:
			r = logRequest()
		}
		r.ID = w.newRequestID()
		t.mu.Lock()
		t.sent[i < cut]++
		if strings.HasPrefix(r.Path, "/log") {
			t.logs = append(t.logs, r.ID)
		}
		t.mu.Unlock()
		open.Go(func() {
			a, err := w.send(i, r)
			if err != nil || a.Status != 200 || !a.Complete {
				w.t.Logf("%v: instance %d, %s: status %d, %s, %v", time.Since(began), i, r.Path, a.Status, strings.TrimSpace(a.Body), err)
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.served[i < cut]++
		})
		time.Sleep(time.Second / 40)
	}
	open.Wait()
	return t
}

// TestCallersOfCutOffInstances guards against instances that reach no endpoint and refuse their
// callers although other instances could serve them. First tries there are served as elsewhere from
// a moment after the cut, whether connections hang, are reset, or live on while new ones are
// refused; whether one instance, most of them or all but one are cut off. What must run at most once
// does.
func TestCallersOfCutOffInstances(t *testing.T) {
	const instances = 6
	for _, mode := range []cutMode{hang, resets, refuse} {
		for _, cut := range []int{1, 4, 5} {
			t.Run(fmt.Sprint(mode, " ", cut), func(t *testing.T) {
				run(t, instances, 6, 3, func(w *world) {
					w.drive(2*time.Second, instances, cut)
					heal := w.cutFromEndpoints(cut, mode)
					first := w.drive(3*time.Second, instances, cut)
					during := w.drive(6*time.Second, instances, cut)
					heal()
					after := w.drive(4*time.Second, instances, cut)
					assert.Check(t, during.served[true]*100 >= during.sent[true]*95, "%d of %d served at cut instances", during.served[true], during.sent[true])
					assert.Check(t, during.served[false]*100 >= during.sent[false]*95, "%d of %d served at the others", during.served[false], during.sent[false])
					assert.Check(t, first.served[true]*100 >= first.sent[true]*80, "%d of %d served at cut instances in the first three seconds", first.served[true], first.sent[true])
					assert.Check(t, after.served[true]*100 >= after.sent[true]*97, "%d of %d served after the cut", after.served[true], after.sent[true])
					for _, of := range []*tries{first, during, after} {
						for _, id := range of.logs {
							assert.Check(t, w.plainRunCount(id) <= 1, "%s ran %d times", id, w.plainRunCount(id))
						}
					}
				})
			})
		}
	}
}

// TestStreamsOutliveCut checks that streams in progress at an instance that is cut off from its
// engines are completed, without an event missing or repeated, in one answer.
func TestStreamsOutliveCut(t *testing.T) {
	for _, mode := range []cutMode{hang, resets} {
		t.Run(string(mode), func(t *testing.T) {
			run(t, 3, 6, 1, func(w *world) {
				const streams = 4
				var answers []chan standin.Answer
				for i := range streams {
					answers = append(answers, w.startStream(0, briefRequest(fmt.Sprint("b", i))))
				}
				time.Sleep(2500 * time.Millisecond)
				heal := w.cutFromEndpoints(1, mode)
				for i, c := range answers {
					a := <-c
					assertWhole(t, a, fmt.Sprint("b", i), 0)
					assert.Check(t, a.LongestGap() < 2500*time.Millisecond, "%v", a.LongestGap())
				}
				heal()
			})
		})
	}
}

// TestPassedOnRequestOutcomes checks what a caller of an instance without links gets, and how often
// its request runs, for each way in which the endpoints fail the helpers. It is what a caller of the
// helpers gets.
func TestPassedOnRequestOutcomes(t *testing.T) {
	type fault = standin.WorkerFault
	for name, c := range map[string]struct {
		request standin.Request
		fault   fault
		status  int
		runs    int
		signed  bool
	}{
		"once":                 {logRequest(), fault{}, 200, 1, true},
		"idempotent":           {pingRequest(), fault{}, 200, 1, true},
		"once, refused":        {logRequest(), fault{RefuseAll: true}, 503, 0, false},
		"once, failed":         {logRequest(), fault{FailAll: true}, 500, 1, true},
		"idempotent, failed":   {pingRequest(), fault{FailAll: true}, 500, 2, true},
		"once, lost":           {logRequest(), fault{LoseAnswer: true}, 502, 1, false},
		"idempotent, lost":     {pingRequest(), fault{LoseAnswer: true}, 502, 2, false},
		"once, nothing said":   {logRequest(), fault{Hang: true}, 504, 1, false},
		"unknown key":          {standin.Request{Path: "/ping/1", Key: "none", Timeout: 3 * time.Second}, fault{}, 401, 0, false},
		"large body, streamed": {standin.Request{Path: "/log/1", Key: deskKey, Body: strings.Repeat("x", 400<<10), Timeout: 3 * time.Second}, fault{}, 200, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 3, 3, 3, func(w *world) {
				heal := w.cutFromEndpoints(1, resets)
				defer heal()
				for range 3 { // so that the cut is found
					_, _ = w.send(0, pingRequest())
				}
				w.setPlainFaults(c.fault, 0)
				r := c.request
				r.ID = w.newRequestID()
				a, err := w.send(0, r)
				assert.NilError(t, err)
				assert.Equal(t, a.Status, c.status, a.Body)
				assert.Equal(t, a.Signature != "", c.signed)
				assert.Equal(t, w.plainRunCount(r.ID), c.runs)
				assert.Equal(t, a.RetryAfter != "", c.status == 503)
				assert.Assert(t, a.Complete)
			})
		})
	}
}

// TestHelperIsKilled checks streams and calls of an instance without links whose helpers are killed:
// streams go on at another helper, whole, and no call that must run once runs twice.
func TestHelperIsKilled(t *testing.T) {
	run(t, 4, 6, 3, func(w *world) {
		heal := w.cutFromEndpoints(1, hang)
		defer heal()
		_ = w.drive(2*time.Second, 1, 1)
		var answers []chan standin.Answer
		const streams = 4
		for i := range streams {
			answers = append(answers, w.startStream(0, briefRequest(fmt.Sprint("c", i))))
		}
		time.Sleep(2 * time.Second)
		w.killFront(1)
		during := w.drive(3*time.Second, 1, 1)
		for i, c := range answers {
			assertWhole(t, <-c, fmt.Sprint("c", i), 0)
		}
		for _, id := range during.logs {
			assert.Check(t, w.plainRunCount(id) <= 1, "%s ran %d times", id, w.plainRunCount(id))
		}
		assert.Check(t, during.served[true]*100 >= during.sent[true]*90, "%d of %d served", during.served[true], during.sent[true])
	})
}
