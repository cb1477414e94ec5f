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
	"github.com/agateway/agateway/platform"
)

// store is the platform's store, as far as stops are kept there.
type store struct {
	mu            sync.Mutex
	away          bool
	objects       map[string]json.RawMessage
	reads, writes int
}

var errAway = errors.New("away")

func (s *store) List(context.Context, string) (platform.Page, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reads++
	if s.away {
		return platform.Page{}, errAway
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
	case s.away:
		return platform.Object{}, errAway
	case s.objects[name] != nil:
		return platform.Object{}, platform.ErrConflict.New("it is there")
	}
	s.objects[name] = spec
	return platform.Object{Name: name, Spec: spec}, nil
}

func (s *store) Replace(_ context.Context, _, name string, spec json.RawMessage, _ uint64) (platform.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	s.objects[name] = spec
	return platform.Object{Name: name, Spec: spec}, nil
}

func (s *store) Delete(_ context.Context, _, name string, _ uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	delete(s.objects, name)
	return nil
}

func (s *store) kept() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.objects)
}

func (s *store) calls() (reads, writes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.reads, s.writes
}

// fleet is registers that tell each other.
type fleet struct {
	*testing.T
	store *store
	all   []*Register
	stops []context.CancelFunc
	mu    sync.Mutex
	mute  map[int]bool
}

func runFleet(t *testing.T, n int, f func(*fleet)) {
	synctest.Test(t, func(t *testing.T) {
		w := &fleet{T: t, store: &store{objects: map[string]json.RawMessage{}}, mute: map[int]bool{}}
		for i := range n {
			w.start(i, n)
		}
		defer func() {
			for _, stop := range w.stops {
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
		Settings: crashers.DefaultSettings(), Self: fmt.Sprint("f", i), Store: w.store, Met: func() <-chan struct{} { return met },
		Instances: func() (int, int) {
			w.mu.Lock()
			defer w.mu.Unlock()
			if w.mute[i] {
				return 1, n
			}
			return n, n
		},
		Tell: func(facts []crashers.Fact, complete bool) {
			w.mu.Lock()
			defer w.mu.Unlock()
			for j, other := range w.all {
				if j != i && !w.mute[i] && !w.mute[j] {
					go other.Heard(fmt.Sprint("f", i), facts, complete)
				}
			}
		},
		Stopped: func(crashers.Request) {}, Log: logrus.NewEntry(log), Scope: tally.NoopScope,
	})
	ctx, cancel := context.WithCancel(context.Background())
	w.mu.Lock()
	defer w.mu.Unlock()
	if i < len(w.all) {
		w.all[i], w.stops[i] = r, cancel
	} else {
		w.all, w.stops = append(w.all, r), append(w.stops, cancel)
	}
	go r.Run(ctx)
}

var harmful = crashers.Request{Team: "desk", Content: crashers.ContentHash{7}}

// harm ends three endpoints under a request, at some instances in turn.
func (w *fleet) harm(at ...int) {
	for n, i := range at {
		sent := time.Now()
		time.Sleep(time.Second)
		w.all[i].Ended(harmful, crashers.Crash{Endpoint: fmt.Sprint("e", n), Service: "engines", Phase: crashers.Begun, Sent: sent, At: time.Now()}, nil)
	}
}

func (w *fleet) verdicts(want crashers.Verdict) {
	w.Helper()
	for i, r := range w.all {
		v, _ := r.Verdict(harmful, "engines")
		assert.Equal(w, v, want, "f%d", i)
	}
}

// TestOneReadsAndOneWrites: calls to the store are paid for, so a fleet that starts reads it a few times, and a stop is written
// once.
func TestOneReadsAndOneWrites(t *testing.T) {
	const size = 90
	runFleet(t, size, func(w *fleet) {
		reads, writes := w.store.calls()
		assert.Assert(w, reads <= 3, "%d", reads)
		assert.Equal(w, writes, 0)
		w.harm(1, 2, 3)
		time.Sleep(3 * tellGap)
		w.verdicts(crashers.Stopped)
		time.Sleep(time.Minute)
		_, writes = w.store.calls()
		assert.Equal(w, writes, 1)
	})
}

// TestTheWriterDies: the instance that decided a stop dies before it has written it; another one does.
func TestTheWriterDies(t *testing.T) {
	runFleet(t, 9, func(w *fleet) {
		w.store.mu.Lock()
		w.store.away = true
		w.store.mu.Unlock()
		w.harm(1, 2, 3)
		time.Sleep(3 * tellGap)
		w.stops[3]()
		w.store.mu.Lock()
		w.store.away = false
		w.store.mu.Unlock()
		time.Sleep(2*writeLate + time.Second)
		_, writes := w.store.calls()
		assert.Assert(w, writes >= 1 && writes <= 3, "%d", writes)
		assert.Equal(w, w.store.kept(), 1)
		for i := range w.all {
			w.stops[i]()
			w.start(i, len(w.all))
		}
		time.Sleep(readSpread + 100*time.Millisecond)
		w.verdicts(crashers.Stopped)
	})
}

// TestAnInstanceThatHearsNobody: the store answers an instance that is cut off from all others. It learns there of a stop as soon
// as one endpoint has ended under the request here.
func TestAnInstanceThatHearsNobody(t *testing.T) {
	runFleet(t, 9, func(w *fleet) {
		w.mu.Lock()
		w.mute[4] = true
		w.mu.Unlock()
		w.harm(1, 2, 3)
		time.Sleep(time.Second)
		reads, _ := w.store.calls()
		v, _ := w.all[4].Verdict(harmful, "engines")
		assert.Equal(w, v, crashers.Free)
		w.harm(4)
		time.Sleep(100 * time.Millisecond)
		v, _ = w.all[4].Verdict(harmful, "engines")
		assert.Equal(w, v, crashers.Stopped)
		time.Sleep(time.Minute)
		after, _ := w.store.calls()
		assert.Equal(w, after-reads, 1)
	})
}

// TestOldStopsAreSwept: whoever reads a stop that has been over for a day takes it out of the store.
func TestOldStopsAreSwept(t *testing.T) {
	runFleet(t, 3, func(w *fleet) {
		w.harm(0, 1, 2)
		time.Sleep(time.Second)
		assert.Equal(w, w.store.kept(), 1)
		restart := func() {
			for i := range w.all {
				w.stops[i]()
				w.start(i, len(w.all))
			}
			time.Sleep(2 * readSpread)
		}
		restart()
		assert.Equal(w, w.store.kept(), 1)
		w.verdicts(crashers.Stopped)
		time.Sleep(crashers.DefaultSettings().MinStop + sweepAfter)
		restart()
		assert.Equal(w, w.store.kept(), 0)
	})
}

// TestReleasedEverywhere: what was let go is let go at all instances, and stays so after their loss.
func TestReleasedEverywhere(t *testing.T) {
	runFleet(t, 9, func(w *fleet) {
		w.harm(1, 2, 3)
		time.Sleep(time.Second)
		assert.Assert(w, w.all[5].Release(harmful))
		assert.Assert(w, !w.all[5].Release(harmful))
		time.Sleep(time.Second)
		w.verdicts(crashers.Free)
		assert.Equal(w, w.store.kept(), 0)
		assert.Equal(w, len(w.all[0].State()), 0)
	})
}

// TestWhatCanNotBeRead: an object that is no stop, or one of a time far away, does no harm.
func TestWhatCanNotBeRead(t *testing.T) {
	runFleet(t, 1, func(w *fleet) {
		r := w.all[0]
		far := time.Now().Add(1000 * time.Hour)
		spec, err := json.Marshal(stopEntry{Team: "desk", Times: 1, At: far, Until: far})
		assert.NilError(w, err)
		name := fmt.Sprintf("%x", harmful.Content[:])
		facts := r.decode([]platform.Object{{Name: "no content", Spec: spec}, {Name: name, Spec: []byte("{")}, {Name: name, Spec: spec}})
		assert.Equal(w, len(facts), 1)
		r.Heard("the store", facts, true)
		_, left := r.Verdict(harmful, "engines")
		assert.Assert(w, left <= crashers.DefaultSettings().MinStop, "%v", left)
	})
}
