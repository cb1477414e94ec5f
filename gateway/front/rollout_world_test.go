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
	rolloutDuration = 12 * time.Second
	// exposureShare, exposureReserve and maxRollBackDelay repeat the bounds of [rollouts] in
	// frontSettings.
	exposureShare, exposureReserve = 0.1, 50
	maxRollBackDelay               = 5 * time.Second
	// maxBad is the number of bad answers after which the target has to be left within
	// maxRollBackDelay.
	maxBad = 50
)

// rolloutWorld is a world in which a service moves to another build.
type rolloutWorld struct {
	*world
	service   string
	baseline  []*standin.Worker
	target    []*standin.Worker
	orderedAt time.Time

	mu                sync.Mutex
	answers           map[int]int // by status; 0 without an answer
	brokenOff         int
	late              int
	baselineStoppedAt time.Time
	loadDone          bool
}

// newBuild starts as many endpoints of a second build as there are of the first, with a fault. They
// are not listed yet.
func (w *world) newBuild(service string, f standin.WorkerFault) *rolloutWorld {
	m := &rolloutWorld{world: w, service: service, answers: map[int]int{}}
	m.baseline = w.plains
	if service == "engines" {
		m.baseline = w.engines
	}
	for i, o := range m.baseline {
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

// startRollout writes the order and lists the target's endpoints right after it.
func (m *rolloutWorld) startRollout() {
	m.orderedAt = time.Now()
	m.store.PutRollout(m.service, "v2", rolloutDuration)
	m.listTarget()
	go m.applyOutcome()
}

func (m *rolloutWorld) listTarget() {
	for _, t := range m.target {
		m.store.Put(platform.KindEndpoint, t.Config().ID, t.Registration("ready"))
	}
}

// applyOutcome acts as the platform does on the outcome: it stops the old endpoints at once when
// the rollout is completed, and leaves them in place when it is rolled back.
func (m *rolloutWorld) applyOutcome() {
	for {
		time.Sleep(5 * time.Millisecond)
		m.mu.Lock()
		over := m.loadDone
		m.mu.Unlock()
		state := m.store.RolloutState(m.service)
		if over || state == "rolled_back" {
			return
		}
		if state == "completed" {
			m.stopBaseline()
			return
		}
	}
}

func (m *rolloutWorld) stopBaseline() {
	m.mu.Lock()
	m.baselineStoppedAt = time.Now()
	m.mu.Unlock()
	for i, o := range m.baseline {
		m.fleet.Remove(o)
		name := "p"
		if m.service == "engines" {
			name = "e"
		}
		m.net.Crash(fmt.Sprint(name, i))
		m.store.Remove(platform.KindEndpoint, o.Config().ID)
	}
}

// sendLoad sends requests at a constant rate to all instances in turn for some time, and waits for
// the answers.
func (m *rolloutWorld) sendLoad(perSecond int, total time.Duration, next func(n int) standin.Request) {
	var wg sync.WaitGroup
	until := time.Now().Add(total)
	for n := 0; time.Now().Before(until); n++ {
		at := n % len(m.fronts)
		r := next(n)
		wg.Go(func() { m.sendCounted(at, r) })
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	wg.Wait()
	m.mu.Lock()
	m.loadDone = true
	m.mu.Unlock()
}

// sendLoadUntilRolledBack is sendLoad, and checks that the build was rolled back within its bounds.
func (m *rolloutWorld) sendLoadUntilRolledBack(perSecond int, total time.Duration, next func(n int) standin.Request) {
	m.sendLoad(perSecond, total, next)
	assert.Equal(m.t, m.store.RolloutState(m.service), "rolled_back")
	m.checkBadBuildBounds()
}

func (m *rolloutWorld) sendCounted(at int, r standin.Request) {
	if !m.isRunning(at) {
		at = (at + 1) % len(m.fronts)
	}
	a, err := m.send(at, r)
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case err != nil || a.Status == http.StatusOK && !a.Complete:
		m.brokenOff++
	case r.PromptID != "" && a.LongestGap() > 700*time.Millisecond:
		m.late++
	}
	m.answers[a.Status]++
}

// counts returns the number of requests that reached each build until the deadline, the number of
// bad answers of the target, and how long after the maxBad-th of them the last request was sent
// there.
func (m *rolloutWorld) counts() (baseline, target, bad int, late time.Duration) {
	deadline := m.orderedAt.Add(rolloutDuration)
	for _, o := range m.baseline {
		for _, r := range o.Runs() {
			if r.At.After(m.orderedAt) && r.At.Before(deadline) {
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

// checkBadBuildBounds checks the bounds on the exposure and on the roll-back of a bad build.
func (m *rolloutWorld) checkBadBuildBounds() {
	m.checkExposure()
	_, _, _, late := m.counts()
	assert.Check(m.t, late <= maxRollBackDelay, "%v", late)
}

// checkExposure checks the bound on the requests at the target. It holds for good builds too, since
// some bad ones look like good ones.
func (m *rolloutWorld) checkExposure() {
	baseline, target, bad, _ := m.counts()
	m.t.Logf("%d requests at the baseline, %d at the target, %d bad", baseline, target, bad)
	assert.Check(m.t, float64(target) <= exposureShare*float64(baseline+target)+exposureReserve, "%d of %d", target, baseline+target)
}

func pings(int) standin.Request { return pingRequest() }

func pingsAndLogs(n int) standin.Request {
	if n%2 == 0 {
		return pingRequest()
	}
	return logRequest()
}

func briefs(n int) standin.Request { return briefRequest(fmt.Sprintf("%x", n+1000)) }
