package front_test

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

const sharedQueueSettings = "[overload]\nshared_queue = true\nshares = desk:2, field:1\n"

// maxQueueWait is how long a stream may wait before it is refused: until its prompt, with the margin
// that is left for it, would take too long for the target latency of 4.5 s; and two intervals in
// which a request looks for room.
const maxQueueWait = 3500*time.Millisecond + 40*time.Millisecond

// queuePromptTokens is the length of a prompt with which an engine's memory is full before its slots
// are, so that claims are refused and not requests.
const queuePromptTokens = 12000

// runQueue runs f in a world in which instances share queues. Streams of /brief/ are more urgent
// than those of /note/.
func runQueue(t *testing.T, fronts, engines int, f func(*queueWorld)) {
	runWith(t, fronts, engines, 1, func(w *world) {
		w.settings = sharedQueueSettings
		for i, priority := range []int{0, 2} {
			w.config.Routes[i].Priority, w.config.Routes[i].RetryPolicy = priority, route.Resumable
		}
		w.config.Services[0].Engine = &route.Engine{Slots: endpointSlots, KVCapacityTokens: 5 * queuePromptTokens}
	}, func(w *world) { f(&queueWorld{world: w, fates: map[string][]fate{}}) })
}

// queueWorld is a world with streams that wait in shared queues.
type queueWorld struct {
	*world
	callers sync.WaitGroup
	mu      sync.Mutex
	fates   map[string][]fate // by path
}

// fate is how a stream ended.
type fate struct {
	answer standin.Answer
	err    error
	id     string
	front  int
	took   time.Duration
}

// sendStream sends a stream in the background.
func (w *queueWorld) sendStream(ctx context.Context, front int, path, key string) {
	r := briefRequest("")
	r.Path, r.Key, r.ID, r.PromptTokens = path, key, w.newRequestID(), queuePromptTokens
	r.PromptID = strings.TrimLeft(r.ID, "0") + "f"
	w.callers.Go(func() {
		began := time.Now()
		a, err := w.sendContext(ctx, front, r)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.fates[path] = append(w.fates[path], fate{a, err, r.ID, front, time.Since(began)})
	})
}

// overload sends streams to instances in turn for a while, a fifth of them urgent ones.
func (w *queueWorld) overload(d, every time.Duration, fronts ...int) {
	began := time.Now()
	for i := 0; time.Since(began) < d; i++ {
		path, key := "/note/1", deskKey
		if i%5 == 0 {
			path = "/brief/1"
		}
		if i%2 == 0 {
			key = fieldKey
		}
		w.sendStream(context.Background(), fronts[i%len(fronts)], path, key)
		time.Sleep(every)
	}
}

// check waits for all streams, and checks that each was served whole, or refused in time without
// having run. Streams of the instances in killed may have no answer. It returns the streams served
// and refused on a path.
func (w *queueWorld) check(killed ...int) (served, refused map[string]int) {
	w.callers.Wait()
	ran := map[string]bool{}
	for _, e := range w.engines {
		for _, r := range e.Runs() {
			ran[r.ID] = true
		}
	}
	served, refused = map[string]int{}, map[string]int{}
	for path, fates := range w.fates {
		for _, f := range fates {
			lost := false
			for _, k := range killed {
				lost = lost || k == f.front
			}
			switch {
			case f.answer.Status == http.StatusOK && f.answer.Complete && len(f.answer.Events) == streamEvents:
				served[path]++
			case f.answer.Status == http.StatusServiceUnavailable:
				refused[path]++
				// A stream that was given an engine, which then refused it, has left the queue. It looks for
				// another engine as streams do that lose theirs, until its deadline.
				hadEngine := strings.HasPrefix(f.answer.Body, "no engine took the request")
				assert.Check(w.t, f.answer.RetryAfter != "" && !ran[f.id] && (f.took <= maxQueueWait || hadEngine), "%s refused after %v, ran %v: %s", f.id, f.took, ran[f.id], f.answer.Body)
			case !lost:
				assert.Check(w.t, false, "%s: status %d, %d events, %v", f.id, f.answer.Status, len(f.answer.Events), f.err)
			}
		}
	}
	return served, refused
}

// assertOrdered checks that streams were served, and urgent ones at least twice as often as the others.
func assertOrdered(t *testing.T, served, refused map[string]int) {
	t.Helper()
	share := func(path string) float64 { return float64(served[path]) / float64(served[path]+refused[path]) }
	urgent, others := share("/brief/1"), share("/note/1")
	assert.Assert(t, urgent > 0 && urgent >= 2*others, "%v, %v", served, refused)
}

// queueOwner returns the running instance in whose queue requests wait; -1 for none.
func (w *queueWorld) queueOwner() int {
	for i := range w.fronts {
		if !w.isRunning(i) {
			continue
		}
		for _, u := range w.fronts[i].State().Queues {
			if u.Waiting > 0 {
				return i
			}
		}
	}
	return -1
}

// TestSharedQueueOrdersAllInstances: with more than twice the load that the engines bear, at six
// instances, each stream is placed or refused in time. Urgent streams fit, and nearly all of them are
// served, while in separate queues they compete with the heads of the others.
func TestSharedQueueOrdersAllInstances(t *testing.T) {
	runQueue(t, 6, 6, func(w *queueWorld) {
		w.overload(10*time.Second, 60*time.Millisecond, 0, 1, 2, 3, 4, 5)
		served, refused := w.check()
		urgent, others := "/brief/1", "/note/1"
		t.Log(served, refused)
		assert.Assert(t, served[urgent] >= 9*refused[urgent], "urgent: %d served, %d refused", served[urgent], refused[urgent])
		assert.Assert(t, refused[others] > served[others], "others: %d served, %d refused", served[others], refused[others])
		assert.Assert(t, strings.Contains(w.logs.String(), `"msg":"refused by the queue"`))
	})
}

// TestSharedQueueOwnerKilled kills the owner of the queue while streams wait at all instances.
func TestSharedQueueOwnerKilled(t *testing.T) {
	runQueue(t, 4, 3, func(w *queueWorld) {
		w.overload(4*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		owner := w.queueOwner()
		assert.Assert(t, owner >= 0)
		w.killFront(owner)
		var left []int
		for i := range w.fronts {
			if i != owner {
				left = append(left, i)
			}
		}
		w.overload(time.Second, 40*time.Millisecond, left...)
		next := w.queueOwner()
		assert.Assert(t, next >= 0 && next != owner)
		w.overload(3*time.Second, 40*time.Millisecond, left...)
		served, refused := w.check(owner)
		t.Log(served, refused)
		assertOrdered(t, served, refused)
	})
}

// TestSharedQueueOwnerCutOff cuts the owner off from the other instances. Its own streams and those
// of the others are still placed or refused in time, by two owners at once.
func TestSharedQueueOwnerCutOff(t *testing.T) {
	runQueue(t, 4, 3, func(w *queueWorld) {
		w.overload(4*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		owner := w.queueOwner()
		assert.Assert(t, owner >= 0)
		name := w.fronts[owner].State().Instance
		w.net.AddCut(func(a, b string) bool {
			return strings.HasPrefix(a, "f") && strings.HasPrefix(b, "f") && (a == name) != (b == name)
		})
		w.overload(4*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		served, refused := w.check()
		t.Log(served, refused)
		assertOrdered(t, served, refused)
	})
}

// TestSharedQueueAfterFleetRestart kills all instances under load and starts them again. The queue
// has no state then, and must have the waiting streams again at once.
func TestSharedQueueAfterFleetRestart(t *testing.T) {
	runQueue(t, 4, 3, func(w *queueWorld) {
		w.overload(3*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		w.restartAll(200 * time.Millisecond)
		w.callers.Wait()
		w.fates = map[string][]fate{}
		time.Sleep(time.Second)
		w.overload(6*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		assert.Assert(t, w.queueOwner() >= 0)
		served, refused := w.check()
		t.Log(served, refused)
		assertOrdered(t, served, refused)
	})
}

// TestSharedQueueBesideOlderBuild runs instances with the queue beside some that do not answer its
// messages, among them its owner. No stream waits longer than in the instance's own queue.
func TestSharedQueueBesideOlderBuild(t *testing.T) {
	runQueue(t, 4, 3, func(w *queueWorld) {
		w.overload(4*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		first := w.queueOwner()
		assert.Assert(t, first >= 0)
		w.settings = ""
		for _, i := range []int{first, (first + 1) % 4} {
			w.killFront(i)
			w.startFront(i)
		}
		w.callers.Wait()
		w.fates = map[string][]fate{}
		time.Sleep(3 * time.Second)
		w.overload(6*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		served, refused := w.check()
		t.Log(served, refused)
		assertOrdered(t, served, refused)
	})
}

// TestSharedQueueDrain drains an instance in which streams wait. They are placed or refused, and
// leave the queue.
func TestSharedQueueDrain(t *testing.T) {
	runQueue(t, 3, 3, func(w *queueWorld) {
		w.overload(4*time.Second, 40*time.Millisecond, 0, 1, 2)
		w.fronts[2].Drain()
		w.fronts[2] = nil
		served, refused := w.check()
		t.Log(served, refused)
		assertOrdered(t, served, refused)
		time.Sleep(time.Second)
		assert.Equal(t, w.queueOwner(), -1)
	})
}

// TestSharedQueueCallersGone: streams whose callers leave while they wait must not hold turns.
func TestSharedQueueCallersGone(t *testing.T) {
	runQueue(t, 3, 3, func(w *queueWorld) {
		w.overload(2*time.Second, 20*time.Millisecond, 0, 1, 2)
		ctx, leave := context.WithCancel(context.Background())
		for i := range 30 {
			w.sendStream(ctx, i%3, "/brief/left", deskKey)
		}
		time.Sleep(200 * time.Millisecond)
		leave()
		time.Sleep(100 * time.Millisecond)
		w.overload(3*time.Second, 40*time.Millisecond, 0, 1, 2)
		w.callers.Wait()
		delete(w.fates, "/brief/left")
		served, refused := w.check()
		t.Log(served, refused)
		assertOrdered(t, served, refused)
		time.Sleep(time.Second)
		assert.Equal(t, w.queueOwner(), -1)
	})
}

// TestSharedQueueWithoutStore: the queue works while the store does not answer.
func TestSharedQueueWithoutStore(t *testing.T) {
	runQueue(t, 4, 3, func(w *queueWorld) {
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		w.overload(3*time.Second, 40*time.Millisecond, 0, 1, 2, 3)
		assert.Assert(t, w.queueOwner() >= 0)
		w.store.SetFault(standin.Fault{})
		served, refused := w.check()
		t.Log(served, refused)
		assertOrdered(t, served, refused)
	})
}

// TestSharedQueueIsOffByDefault: without the setting no queue is shared, and no message about one is
// sent.
func TestSharedQueueIsOffByDefault(t *testing.T) {
	runQueue(t, 3, 3, func(w *queueWorld) {
		w.settings = ""
		for i := range w.fronts {
			w.killFront(i)
			w.startFront(i)
		}
		time.Sleep(3 * time.Second)
		w.overload(3*time.Second, 40*time.Millisecond, 0, 1, 2)
		assert.Equal(t, w.queueOwner(), -1)
		w.check()
		assert.Assert(t, !strings.Contains(w.logs.String(), "queue owner"))
		assert.Assert(t, !strings.Contains(w.logs.String(), "refused by the queue"))
	})
}
