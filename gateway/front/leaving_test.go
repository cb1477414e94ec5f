package front_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// leavingBound is how long after an answer that says so an instance may still send requests to an
// endpoint that is leaving.
const leavingBound = 2 * time.Second

// openRequest is a request on a route that needs no key, so it is served however long the store is
// away.
func openRequest() standin.Request {
	return standin.Request{Method: http.MethodGet, Path: "/open/1", Timeout: 1500 * time.Millisecond}
}

// arrivalsByInstance returns the arrivals at a worker since a time, by the address of the instance.
func arrivalsByInstance(e *standin.Worker, since time.Time) map[string][]standin.Arrival {
	out := map[string][]standin.Arrival{}
	for _, a := range e.Arrivals() {
		if host, _, _ := net.SplitHostPort(a.From); !a.At.Before(since) {
			out[host] = append(out[host], a)
		}
	}
	return out
}

// lateArrivals returns the requests that reached a worker later than leavingBound after the first one
// that the same instance sent there since the worker began to say that it leaves.
func lateArrivals(e *standin.Worker, since time.Time, answerTime time.Duration) []standin.Arrival {
	var late []standin.Arrival
	for _, all := range arrivalsByInstance(e, since) {
		for _, a := range all {
			if a.At.Sub(all[0].At) > leavingBound+answerTime {
				late = append(late, a)
			}
		}
	}
	return late
}

// TestLeavingInAnswersHolds guards against requests to an endpoint that is leaving, at instances that
// learn of it from its answers only: the store is away, or the endpoint never writes that it leaves.
func TestLeavingInAnswersHolds(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"store away":               {Outage: standin.Silent},
		"store busy":               {Outage: standin.Busy},
		"store away for instances": {Outage: standin.Reset, Hosts: []string{frontIP(0), frontIP(1), frontIP(2), frontIP(3)}},
		"store slow":               {SlowMS: 900},
		"no entry says so":         {},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 3, func(w *world) {
				pick := func(i int) int { return i % 6 }
				w.load(60, time.Second, openRequest, pick)
				w.store.SetFault(fault)
				w.load(60, time.Second, openRequest, pick)
				began := time.Now()
				w.plains[0].SetLeaving(true)
				o := w.load(60, 12*time.Second, openRequest, pick)
				late := lateArrivals(w.plains[0], began, w.plainWork)
				assert.Check(t, len(late) == 0, "%d late requests, the last one %v after the answers began to say so", len(late), last(late).At.Sub(began))
				assert.Equal(t, o.served.Load(), o.sent.Load())
			})
		})
	}
}

func last(all []standin.Arrival) standin.Arrival {
	if len(all) == 0 {
		return standin.Arrival{}
	}
	return all[len(all)-1]
}

// TestLeavingEngines: an engine that says in its answers that it is leaving, and of which no entry says
// so, gets no new streams, resumed ones, copies, probes or searches. Streams that run there go on.
func TestLeavingEngines(t *testing.T) {
	run(t, 6, 8, 1, func(w *world) {
		leaving := w.engines[:3]
		began := time.Now().Add(3 * time.Second)
		time.AfterFunc(time.Until(began), func() {
			for _, e := range leaving {
				e.SetLeaving(true)
			}
		})
		time.AfterFunc(9*time.Second, func() { w.crashEngine(w.engines[5].Config().ID) })
		o := w.load(4, 14*time.Second, func() standin.Request { return briefRequest(w.newRequestID()) }, func(i int) int { return i % 6 })
		for _, e := range leaving {
			for _, a := range lateArrivals(e, began, 4*time.Second) {
				assert.Check(t, a.ConcernsMemory(), "%s got %s %v after", e.Config().ID, a.Target, a.At.Sub(began))
			}
			for _, other := range w.engines {
				for _, r := range other.Runs() {
					assert.Check(t, r.CopyTo != e.Config().Address || r.At.Before(began.Add(leavingBound+4*time.Second)), "a copy for a run of %v goes to %s", r.At.Sub(began), r.CopyTo)
				}
			}
		}
		assert.Equal(t, o.served.Load(), o.sent.Load())
	})
}

// TestAllLeaving: where all endpoints of a service are leaving, callers are refused at once and told
// when to come back, and an endpoint that starts then serves them.
func TestAllLeaving(t *testing.T) {
	run(t, 6, 1, 2, func(w *world) {
		for _, p := range w.plains {
			p.SetLeaving(true)
		}
		w.load(60, time.Second, pingRequest, func(i int) int { return i % 6 }) // all instances are told
		began := time.Now()
		o := w.load(20, 5*time.Second, pingRequest, func(i int) int { return i % 6 })
		assert.Equal(t, o.refused.Load(), o.sent.Load())
		assert.Check(t, o.slowest <= 20*time.Millisecond, "refused after %v", o.slowest)
		for _, p := range w.plains {
			assert.Equal(t, len(arrivalsByInstance(p, began)), 0)
		}
		w.plains = append(w.plains, w.newPlain(len(w.plains), ""))
		time.Sleep(time.Second)
		o = w.load(20, time.Second, pingRequest, func(i int) int { return i % 6 })
		assert.Equal(t, o.served.Load(), o.sent.Load())
	})
}

// leavingAt returns which instances count an endpoint as leaving.
func (w *world) leavingAt(id string) (out string) {
	for i, f := range w.fronts {
		for _, e := range f.State().Endpoints {
			if e.ID == id && e.Leaving {
				out += strconv.Itoa(i)
			}
		}
	}
	return out
}

// putEntry writes the entry of a worker to the store.
func (w *world) putEntry(e *standin.Worker, state string) {
	w.store.Put(platform.KindEndpoint, e.Config().ID, e.Registration(state))
}

// TestLeavingIsToldOn: one instance learns from an answer that an endpoint is leaving while the store is
// away. The others are told, and send nothing there that the endpoint would have to refuse or that
// would end with it. An instance that starts is told too.
func TestLeavingIsToldOn(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		w.store.SetFault(standin.Fault{Outage: standin.Silent})
		w.plains[0].SetLeaving(true)
		id := w.plains[0].Config().ID
		for w.leavingAt(id) == "" {
			_, err := w.send(0, openRequest())
			assert.NilError(t, err)
		}
		time.Sleep(500 * time.Millisecond)
		assert.Equal(t, w.leavingAt(id), "012345")
		began := time.Now()
		o := w.load(60, 3*time.Second, openRequest, func(i int) int { return i % 6 })
		assert.Equal(t, len(arrivalsByInstance(w.plains[0], began)), 0)
		assert.Equal(t, o.served.Load(), o.sent.Load())
		w.store.SetFault(standin.Fault{})
		w.killFront(3)
		w.startFront(3)
		time.Sleep(2 * time.Second)
		assert.Equal(t, w.leavingAt(id), "012345")
	})
}

// TestLeavingIsTakenBack: the entry of an endpoint that said in answers that it leaves says that it is
// ready again, after it said that it leaves or without that. Another endpoint that starts at its
// address, or under its name, is not leaving.
func TestLeavingIsTakenBack(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *world, e *standin.Worker) *standin.Worker
		within time.Duration
	}{
		"after an entry that leaves": {func(w *world, e *standin.Worker) *standin.Worker {
			w.putEntry(e, "draining")
			time.Sleep(time.Second)
			e.SetLeaving(false)
			w.putEntry(e, "ready")
			return e
		}, time.Second},
		"long after": {func(w *world, e *standin.Worker) *standin.Worker {
			e.SetLeaving(false)
			time.Sleep(time.Minute)
			e.Registration("draining") // an entry that no instance sees
			w.store.Put(platform.KindEndpoint, e.Config().ID, e.RegistrationAfterStart("ready", time.Millisecond))
			return e
		}, time.Second},
		"address used again": {func(w *world, e *standin.Worker) *standin.Worker {
			w.net.Crash("p0")
			w.store.Remove(platform.KindEndpoint, e.Config().ID)
			return w.newPlain(0, "-next")
		}, time.Second},
		"name used again": {func(w *world, e *standin.Worker) *standin.Worker {
			w.net.Crash("p0")
			cfg := e.Config()
			cfg.StartedUnixMS = time.Now().UnixMilli()
			return w.newWorker("p0", "", cfg)
		}, time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, 6, 1, 3, func(w *world) {
				w.plains[0].SetLeaving(true)
				w.load(60, time.Second, openRequest, func(i int) int { return i % 6 })
				e := c.change(w, w.plains[0])
				time.Sleep(c.within)
				assert.Equal(t, w.leavingAt(e.Config().ID), "")
				before := len(e.Arrivals())
				o := w.load(60, time.Second, openRequest, func(i int) int { return i % 6 })
				assert.Equal(t, o.served.Load(), o.sent.Load())
				assert.Check(t, len(e.Arrivals()) > before+10, "%d arrivals", len(e.Arrivals())-before)
			})
		})
	}
}

// TestOldEntryDoesNotTakeLeavingBack: an entry that an endpoint wrote before it began to leave reaches
// the instances after its answers.
func TestOldEntryDoesNotTakeLeavingBack(t *testing.T) {
	run(t, 6, 1, 3, func(w *world) {
		e := w.plains[0]
		w.store.SetFault(standin.Fault{SlowMS: 2000})
		w.putEntry(e, "draining")
		w.putEntry(e, "ready") // its last word in the store, before it leaves for good
		e.SetLeaving(true)
		w.load(60, time.Second, openRequest, func(i int) int { return i % 6 })
		w.store.SetFault(standin.Fault{})
		began := time.Now()
		w.load(60, 8*time.Second, openRequest, func(i int) int { return i % 6 })
		assert.Equal(t, len(arrivalsByInstance(e, began.Add(time.Second))), 0)
	})
}
