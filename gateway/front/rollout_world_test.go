package front_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

const (
	rolloutWithin = 12 * time.Second
	// exposeShare, exposeReserve and rollBackWithin are the bounds of the test's settings.
	exposeShare, exposeReserve = 0.1, 50
	rollBackWithin             = 5 * time.Second
	// maxBad is how many bad answers begin the time within which a target has to be left.
	maxBad = 50
)

// moving is a service that moves to another build in a world.
type moving struct {
	*world
	service string
	old     []*standin.Worker
	target  []*standin.Worker
	ordered time.Time

	mu       sync.Mutex
	answers  map[int]int // by status, 0 for none
	broken   int
	late     int
	stopped  time.Time
	finished bool
}

// newBuild starts as many endpoints of a second build as there are of the first, with a fault.
func (w *world) newBuild(service string, f standin.WorkerFault) *moving {
	m := &moving{world: w, service: service, answers: map[int]int{}}
	m.old = w.plains
	if service == "engines" {
		m.old = w.engines
	}
	for i, o := range m.old {
		cfg := o.Config()
		cfg.ID, cfg.Build = "v2-"+cfg.ID, "v2"
		cfg.Address = fmt.Sprintf("10.3.%d.%d:80", len(service), i+1)
		worker := w.fleet.NewWorker(cfg)
		l, err := w.net.Node("v2-" + service + fmt.Sprint(i)).Listen(cfg.Address)
		assert.NilError(w.t, err)
		w.stops = append(w.stops, standin.Serve(l, worker))
		worker.SetFault(f)
		m.target = append(m.target, worker)
	}
	return m
}

// order gives the order, and lists the target's endpoints right after it.
func (m *moving) order() {
	m.ordered = time.Now()
	m.store.PutRollout(m.service, "v2", rolloutWithin)
	m.list()
	go m.obey()
}

func (m *moving) list() {
	for _, t := range m.target {
		m.store.Put(platform.KindEndpoint, t.Config().ID, t.Registration("ready"))
	}
}

// obey does what the platform does with an outcome: it stops the old endpoints at once, or drains the new ones.
func (m *moving) obey() {
	for {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		over := m.finished
		m.mu.Unlock()
		state := m.store.RolloutState(m.service)
		if over || state == "rolled_back" {
			return
		}
		if state == "completed" {
			m.stopOld()
			return
		}
	}
}

func (m *moving) stopOld() {
	m.mu.Lock()
	m.stopped = time.Now()
	m.mu.Unlock()
	for i, o := range m.old {
		m.fleet.Remove(o)
		name := "p"
		if m.service == "engines" {
			name = "e"
		}
		m.net.Crash(fmt.Sprint(name, i))
		m.store.Remove(platform.KindEndpoint, o.Config().ID)
	}
}

// load sends requests at an even pace to all instances, for some time.
func (m *moving) load(perSecond int, total time.Duration, next func(n int) standin.Request) {
	var wg sync.WaitGroup
	until := time.Now().Add(total)
	for n := 0; time.Now().Before(until); n++ {
		at := n % len(m.fronts)
		r := next(n)
		wg.Go(func() { m.ask(at, r) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	m.mu.Lock()
	m.finished = true
	m.mu.Unlock()
}

// loadUntilRolledBack sends requests likewise, and checks that the build was rolled back within its bounds.
func (m *moving) loadUntilRolledBack(perSecond int, total time.Duration, next func(n int) standin.Request) {
	m.load(perSecond, total, next)
	assert.Equal(m.t, m.store.RolloutState(m.service), "rolled_back")
	m.bounded()
}

func (m *moving) ask(at int, r standin.Request) {
	if !m.isUp(at) {
		at = (at + 1) % len(m.fronts)
	}
	a, err := m.do(at, r)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil || a.Status == http.StatusOK && !a.Complete:
		m.broken++
	case r.PromptID != "" && a.LongestGap() > 700*time.Millisecond:
		m.late++
	}
	m.answers[a.Status]++
}

// counts returns the requests that reached each build until the deadline, the bad answers of the target, and how long after the
// maxBad-th of them the last request was sent there.
func (m *moving) counts() (baseline, target, bad int, late time.Duration) {
	deadline := m.ordered.Add(rolloutWithin)
	for _, o := range m.old {
		for _, r := range o.Runs() {
			if r.At.After(m.ordered) && r.At.Before(deadline) {
				baseline++
			}
		}
	}
	var badAt []time.Time
	var last time.Time
	for _, w := range m.target {
		for _, r := range w.Runs() {
			if r.At.Before(deadline) {
				target++
			}
			if r.At.After(last) {
				last = r.At
			}
			if r.Bad {
				badAt = append(badAt, r.EndedAt)
			}
		}
	}
	if len(badAt) >= maxBad {
		slices.SortFunc(badAt, time.Time.Compare)
		late = last.Sub(badAt[maxBad-1])
	}
	return baseline, target, len(badAt), late
}

// bounded checks what always holds for a bad build.
func (m *moving) bounded() {
	m.boundedExposure()
	_, _, _, late := m.counts()
	assert.Check(m.t, late <= rollBackWithin, "%v", late)
}

// boundedExposure checks what holds for any build, since some bad ones look like good ones.
func (m *moving) boundedExposure() {
	baseline, target, bad, _ := m.counts()
	m.t.Logf("%d requests at the baseline, %d at the target, %d bad", baseline, target, bad)
	assert.Check(m.t, float64(target) <= exposeShare*float64(baseline+target)+exposeReserve, "%d of %d", target, baseline+target)
}

func pings(int) standin.Request { return ping() }

func logs(n int) standin.Request {
	if n%2 == 0 {
		return ping()
	}
	return logLift()
}

func briefs(n int) standin.Request { return brief(fmt.Sprintf("%x", n+1000)) }
