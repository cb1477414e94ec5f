package crashes

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/crashers"
	"github.com/agateway/agateway/core/revision"
	"github.com/agateway/agateway/gateway/pause"
	"github.com/agateway/agateway/platform"
)

// store is a platform store in memory, with the calls that a registry makes. It counts the calls
// and can be made unavailable.
type store struct {
	mu            sync.Mutex
	unavailable   bool
	objects       map[string]json.RawMessage
	reads, writes int
}

var errUnavailable = errors.New("unavailable")

func (s *store) List(context.Context, string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.unavailable {
		return platform.Page{}, errUnavailable
	}
	var p platform.Page
	for name, spec := range s.objects {
		p.Objects = append(p.Objects, platform.Object{Name: name, Spec: spec})
	}
	return p, nil
}

func (s *store) Create(ctx context.Context, kind, name string, spec json.RawMessage) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	switch {
	case s.unavailable:
		return platform.Object{}, errUnavailable
	case s.objects[name] != nil:
		return platform.Object{}, platform.ErrConflict.New("the object exists")
	}
	s.objects[name] = spec
	return platform.Object{Name: name, Spec: spec}, nil
}

func (s *store) Replace(_ context.Context, _, name string, spec json.RawMessage, _ revision.Position) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.objects[name] = spec
	return platform.Object{Name: name, Spec: spec}, nil
}

func (s *store) Delete(_ context.Context, _, name string, _ revision.Position) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	delete(s.objects, name)
	return nil
}

func (s *store) setUnavailable(unavailable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unavailable = unavailable
}

func (s *store) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

func (s *store) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// fleet holds registries that send facts to each other. Those in isolated neither send nor receive.
type fleet struct {
	*testing.T
	store      *store
	registries []*Registry
	cancels    []context.CancelFunc
	mu         sync.Mutex
	isolated   map[int]bool
	regained   pause.Signal
}

func runFleet(t *testing.T, n int, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fleet{T: t, store: &store{objects: map[string]json.RawMessage{}}, isolated: map[int]bool{}}
		for i := range n {
			w.start(i, n)
		}
		defer func() {
			for _, stop := range w.cancels {
				stop()
			}
			time.Sleep(time.Minute)
		}()
		time.Sleep(3 * time.Second)
		f(w)
	})
}

func (w *fleet) start(i, n int) {
	met := make(chan struct{})
	close(met)
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := New(Options{
		Settings: crashers.DefaultSettings(), Self: fmt.Sprint("f", i), Store: w.store, Discovered: func() <-chan struct{} { return met },
		Instances: func() (int, int) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.isolated[i] {
				return 1, n
			}
			return n, n
		},
		Broadcast: func(facts []crashers.Fact, complete bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for j, other := range w.registries {
				if j != i && !w.isolated[i] && !w.isolated[j] {
					go other.Heard(fmt.Sprint("f", i), facts, complete)
				}
			}
		},
		OnStopped: func(crashers.Subject) {}, Log: logrus.NewEntry(log), Scope: tally.NoopScope, Regained: &w.regained,
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	if i < len(w.registries) {
		w.registries[i], w.cancels[i] = r, cancel
	} else {
		w.registries, w.cancels = append(w.registries, r), append(w.cancels, cancel)
	}
	go r.Run(ctx)
}

var harmful = crashers.Subject{Team: "desk", Content: crashers.ContentHash{7}}

// crashEndpoints records one crash of an endpoint at each of the given instances, in turn, for the
// same request.
func (w *fleet) crashEndpoints(at ...int) {
	for n, i := range at {
		sent := time.Now()
		time.Sleep(time.Second)
		w.registries[i].RecordCrash(crashers.Request{Whole: harmful}, crashers.Crash{Endpoint: fmt.Sprint("e", n), Service: "engines", Phase: crashers.Begun, Sent: sent, At: time.Now()}, nil)
	}
}

func (w *fleet) assertVerdicts(want crashers.Verdict) {
	w.Helper()
	for i, r := range w.registries {
		v := r.Decide(crashers.Request{Whole: harmful}, "engines").Verdict
		assert.Equal(w, v, want, "f%d", i)
	}
}

// TestFleetSharesStoreCalls guards against store calls that grow with the fleet. Calls are billed,
// so a fleet that starts reads the store a few times, and a stop is written once.
func TestFleetSharesStoreCalls(t *testing.T) {
	const size = 90
	runFleet(t, size, func(w *fleet) {
		reads, writes := w.store.calls()
		assert.Assert(w, reads <= 3, "%d", reads)
		assert.Equal(w, writes, 0)
		w.crashEndpoints(1, 2, 3)
		time.Sleep(3 * broadcastGap)
		w.assertVerdicts(crashers.Stopped)
		time.Sleep(time.Minute)
		_, writes = w.store.calls()
		assert.Equal(w, writes, 1)
	})
}

// TestStopIsWrittenAfterWriterDies guards against a stop that is lost because the instance that
// decided it dies before it has written it. Another instance writes it, and the others don't: of the
// two calls one is that of the instance that died.
func TestStopIsWrittenAfterWriterDies(t *testing.T) {
	for _, size := range []int{9, 90} {
		for range 10 {
			runFleet(t, size, testWriterDies)
		}
	}
}

func testWriterDies(w *fleet) {
	w.store.setUnavailable(true)
	w.crashEndpoints(1, 2, 3)
	time.Sleep(3 * broadcastGap)
	w.cancels[3]()
	w.store.setUnavailable(false)
	time.Sleep(backupWriteDelay + max(backupWriteDelay, backupWriteSpread*time.Duration(len(w.registries))) + time.Second)
	_, writes := w.store.calls()
	assert.Equal(w, writes, 2)
	assert.Equal(w, w.store.count(), 1)
	for i := range w.registries {
		w.cancels[i]()
		w.start(i, len(w.registries))
	}
	time.Sleep(readJitter + 100*time.Millisecond)
	w.assertVerdicts(crashers.Stopped)
}

// TestIsolatedInstanceReadsStopFromStore covers an instance that reaches the store and no other
// instance. It learns of a stop from the store as soon as one endpoint has crashed while it had the
// request from this instance.
func TestIsolatedInstanceReadsStopFromStore(t *testing.T) {
	runFleet(t, 9, func(w *fleet) {
		w.mu.Lock()
		w.isolated[4] = true
		w.mu.Unlock()
		w.crashEndpoints(1, 2, 3)
		time.Sleep(time.Second)
		reads, _ := w.store.calls()
		v := w.registries[4].Decide(crashers.Request{Whole: harmful}, "engines").Verdict
		assert.Equal(w, v, crashers.Free)
		w.crashEndpoints(4)
		time.Sleep(100 * time.Millisecond)
		v = w.registries[4].Decide(crashers.Request{Whole: harmful}, "engines").Verdict
		assert.Equal(w, v, crashers.Stopped)
		time.Sleep(time.Minute)
		after, _ := w.store.calls()
		assert.Equal(w, after-reads, 1)
	})
}

// TestStopsAreReadOnceTheStoreAnswers guards against instances that send a stopped request to endpoints for seconds after
// an outage of the store in which all of them started: they know the store only, and try it again after a long pause.
// Those of a large fleet must not all read it.
func TestStopsAreReadOnceTheStoreAnswers(t *testing.T) {
	for _, c := range []struct {
		size     int
		isolated bool
		reads    int
	}{{5, true, 5}, {90, false, 4}} {
		runFleet(t, c.size, func(w *fleet) {
			w.crashEndpoints(1, 2, 3)
			time.Sleep(time.Minute)
			w.store.setUnavailable(true)
			for i := range w.registries {
				w.cancels[i]()
				w.mu.Lock()
				w.isolated[i] = c.isolated
				w.mu.Unlock()
				w.start(i, c.size)
			}
			time.Sleep(3 * time.Second)
			w.store.setUnavailable(false)
			before, _ := w.store.calls()
			w.regained.Notify()
			time.Sleep(regainedJitter + 10*time.Millisecond)
			w.assertVerdicts(crashers.Stopped)
			time.Sleep(10 * time.Second)
			after, _ := w.store.calls()
			assert.Assert(w, after-before <= c.reads, "%d reads of %d instances", after-before, c.size)
		})
	}
}

// TestOldStopsAreDeleted checks that an instance that reads a stop deletes it from the store once
// the stop has been over for deleteAfter, and not before.
func TestOldStopsAreDeleted(t *testing.T) {
	runFleet(t, 3, func(w *fleet) {
		w.crashEndpoints(0, 1, 2)
		time.Sleep(time.Second)
		assert.Equal(w, w.store.count(), 1)
		restart := func() {
			for i := range w.registries {
				w.cancels[i]()
				w.start(i, len(w.registries))
			}
			time.Sleep(2 * readJitter)
		}
		restart()
		assert.Equal(w, w.store.count(), 1)
		w.assertVerdicts(crashers.Stopped)
		time.Sleep(crashers.DefaultSettings().MinStop + deleteAfter)
		restart()
		assert.Equal(w, w.store.count(), 0)
	})
}

// TestReleaseReachesAllInstances checks that a released request is released at all instances and
// deleted from the store, so that a restart does not stop it again.
func TestReleaseReachesAllInstances(t *testing.T) {
	runFleet(t, 9, func(w *fleet) {
		w.crashEndpoints(1, 2, 3)
		time.Sleep(time.Second)
		assert.Assert(w, w.registries[5].Release(harmful))
		assert.Assert(w, !w.registries[5].Release(harmful))
		time.Sleep(time.Second)
		w.assertVerdicts(crashers.Free)
		assert.Equal(w, w.store.count(), 0)
		assert.Equal(w, len(w.registries[0].State()), 0)
	})
}

// TestInvalidStoredStops checks that an object that can't be decoded is left out, and that a stop
// with a time far in the future does not stop the request for long.
func TestInvalidStoredStops(t *testing.T) {
	runFleet(t, 1, func(w *fleet) {
		r := w.registries[0]
		far := time.Now().Add(1000 * time.Hour)
		spec, err := json.Marshal(stopEntry{Team: "desk", Times: 1, At: far, Until: far})
		assert.NilError(w, err)
		name := fmt.Sprintf("%x", harmful.Content[:])
		facts := r.decode([]platform.Object{{Name: "no content", Spec: spec}, {Name: name, Spec: []byte("{")}, {Name: name, Spec: spec}})
		assert.Equal(w, len(facts), 1)
		r.Heard("the store", facts, true)
		left := r.Decide(crashers.Request{Whole: harmful}, "engines").Remaining
		assert.Assert(w, left <= crashers.DefaultSettings().MinStop, "%v", left)
	})
}
