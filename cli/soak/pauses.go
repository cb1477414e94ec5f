package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

// Bounds of what is drawn. A series has pauses of shortPause at most, others of longPause.
const (
	minPause, shortPause, longPause = 300 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second
	maxPausesInSeries               = 4
	minPauseGap, maxPauseGap        = 200 * time.Millisecond, 1200 * time.Millisecond
	// crowd is how many additional callers come before a part of the pauses.
	crowd = 60
)

// enginePause is a time in which some endpoints of a service were paused.
type enginePause struct {
	incarnations map[*standin.Worker]bool
	service      string
	share        float64 // of the service's endpoints
	lone         bool    // nothing else is disrupted meanwhile
	from, until  time.Time
}

// processPause is a time in which an instance was paused.
type processPause struct {
	process     string
	from, until time.Time
}

// pauses holds the pauses of endpoints and instances. It is safe for concurrent use; the zero value is
// empty.
type pauses struct {
	mu        sync.Mutex
	endpoints []enginePause
	processes []processPause
	// plannedUntil is when the last pause of endpoints that was drawn ends.
	plannedUntil time.Time
}

// plan records that endpoints will be paused until a time.
func (p *pauses) plan(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if until.After(p.plannedUntil) {
		p.plannedUntil = until
	}
}

func (p *pauses) lastEnd() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.plannedUntil
}

// overlap reports whether an incarnation was paused between two times, or read then what had come in a
// pause.
func (p *pauses) overlap(incarnation *standin.Worker, from, to time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.ContainsFunc(p.endpoints, func(e enginePause) bool {
		return e.incarnations[incarnation] && e.from.Before(to) && e.until.Add(timingMargin).After(from)
	})
}

// recordProcess records a pause of an instance that ends now.
func (p *pauses) recordProcess(name string, from time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes = append(p.processes, processPause{name, from, time.Now()})
}

// pauseProcess pauses an instance and returns the function that lets it go on.
func (w *environment) pauseProcess(p *process) (resume func()) {
	end, from := w.disruptions.start(p.name), time.Now()
	p.signal(syscall.SIGSTOP)
	return func() {
		p.signal(syscall.SIGCONT)
		end()
		w.pauses.recordProcess(p.name, from)
	}
}

// pauseInstances pauses a random share of the instances at once.
func pauseInstances(w *environment, r *rand.Rand) (string, func()) {
	n, d := 1+r.IntN(len(w.processes)), randomBetween(r, minPause, shortPause)
	for _, i := range r.Perm(len(w.processes))[:n] {
		time.AfterFunc(d, w.pauseProcess(w.processes[i]))
	}
	return fmt.Sprintf("%d instances pause for %v", n, d), nil
}

// Pauses while nothing else is disrupted: of loneShare of the engines, then of all instances.
const (
	loneEnginePauses, loneInstancePauses = 4, 2
	loneShare                            = 0.7
	minLonePause                         = 800 * time.Millisecond
)

// pauseAlone pauses many engines at once, and then all instances at once, a few times each.
func (w *environment) pauseAlone(r *rand.Rand) {
	for range loneEnginePauses {
		d := randomBetween(r, minLonePause, shortPause)
		w.pauseAll(w.drawShare(r, "engines", loneShare), "engines", d, false)
		w.pauses.markLone()
		time.Sleep(d + minLonePause)
	}
	for range loneInstancePauses {
		d := randomBetween(r, minLonePause, shortPause)
		for _, p := range w.processes {
			time.AfterFunc(d, w.pauseProcess(p))
		}
		time.Sleep(d + minLonePause)
	}
}

// markLone records that nothing else is disrupted during the last pause of endpoints.
func (p *pauses) markLone() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endpoints[len(p.endpoints)-1].lone = true
}

// companion is a fault or change that happens while endpoints are paused.
type companion struct {
	name  string
	start fault
}

var companions = []companion{
	{}, {}, {}, {}, {"a change of the timeout", changeTimeout}, {"a change of the idle time", changeIdleTime}, {"a change of the weights", changeWeights},
	{"a new key", newKey}, {"a crash", crash}, {"a lost link", workerLink}, {"a cut", cutOff}, {"a SIGTERM", stop}, {"a pause of an instance", pause},
}

// pauseEndpoints pauses a share of the endpoints of a service, once or in a series.
func pauseEndpoints(w *environment, r *rand.Rand) (string, func()) {
	service := "engines"
	if r.IntN(6) == 0 {
		service = "plain"
	}
	count, longest := 1, longPause
	if r.IntN(3) == 0 {
		count, longest = 2+r.IntN(maxPausesInSeries-1), shortPause
	}
	share, first, c := 0.1+0.9*r.Float64(), randomBetween(r, minPause, longest), companions[r.IntN(len(companions))]
	crowded, withEntries := r.IntN(3) == 0, r.IntN(4) == 0
	delay, length := time.Duration(0), first
	for i := range count {
		if i > 0 {
			length = randomBetween(r, minPause, longest)
		}
		chosen, d := w.drawShare(r, service, share), length
		time.AfterFunc(delay, func() { w.pauseAll(chosen, service, d, withEntries) })
		delay += length + randomBetween(r, minPauseGap, maxPauseGap)
	}
	w.pauses.plan(time.Now().Add(delay))
	if crowded {
		ctx, stop := context.WithCancel(context.Background())
		w.burst(ctx, crowd)
		time.AfterFunc(delay, stop)
	}
	w.accompany(r, &c, first)
	return fmt.Sprintf("%.0f in 100 of the %s pause %d times, at first for %v, with their entries: %v, more callers: %v, beside %q", 100*share, service, count, first, withEntries, crowded, c.name), nil
}

func randomBetween(r *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(r.Int64N(int64(high-low)))
}

// drawShare returns a random share of the workers of a service, at least one. Once in three times they
// are those of as few data centres as possible.
func (w *environment) drawShare(r *rand.Rand, service string, share float64) []*worker {
	var all []*worker
	for _, i := range r.Perm(len(w.workers)) {
		if k := w.workers[i]; k.config.Service == service {
			all = append(all, k)
		}
	}
	if r.IntN(3) == 0 {
		slices.SortStableFunc(all, func(a, b *worker) int { return strings.Compare(a.config.DataCentre, b.config.DataCentre) })
	}
	return all[:max(int(share*float64(len(all))), 1)]
}

// pauseAll pauses the incarnations of workers that run now. Without their entries, they go on to
// register themselves.
func (w *environment) pauseAll(chosen []*worker, service string, d time.Duration, withEntries bool) {
	now, all := time.Now(), 0
	p := enginePause{incarnations: map[*standin.Worker]bool{}, service: service, from: now, until: now.Add(d)}
	for _, k := range w.workers {
		if k.config.Service == service {
			all++
		}
	}
	for _, k := range chosen {
		k.mu.Lock()
		if k.state != "" {
			k.current.Pause(d)
			p.incarnations[k.current] = true
			if withEntries {
				k.unregisteredUntil = p.until
			}
		}
		k.mu.Unlock()
	}
	p.share = float64(len(p.incarnations)) / float64(all)
	w.pauses.mu.Lock()
	defer w.pauses.mu.Unlock()
	w.pauses.endpoints = append(w.pauses.endpoints, p)
}

// accompany starts a fault at a random time within a pause. It ends it with the pause if it has an end.
func (w *environment) accompany(r *rand.Rand, c *companion, within time.Duration) {
	if c.start == nil {
		return
	}
	own, delay := rand.New(rand.NewPCG(r.Uint64(), 0)), randomBetween(r, 0, within)
	time.AfterFunc(delay, func() {
		if _, end := c.start(w, own); end != nil {
			time.AfterFunc(within-delay, end)
		}
	})
}

// changeConfiguration publishes a changed copy of the configuration.
func (w *environment) changeConfiguration(change func(*route.Configuration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.config.Version++
	w.config.Routes = slices.Clone(w.config.Routes)
	change(&w.config)
	w.putConfiguration()
}

// changeTimeout changes the timeout of streams. It stays longer than callers wait.
func changeTimeout(w *environment, r *rand.Rand) (string, func()) {
	t := randomBetween(r, streamWait, 2*streamWait)
	w.changeConfiguration(func(c *route.Configuration) { c.Routes[0].Timeout = t })
	return fmt.Sprintf("streams may take %v", t), nil
}

func changeIdleTime(w *environment, r *rand.Rand) (string, func()) {
	t := randomBetween(r, longPause, 6*longPause)
	w.changeConfiguration(func(c *route.Configuration) { c.Limits.IdleTimeout = t })
	return fmt.Sprintf("connections may be idle for %v", t), nil
}

func changeWeights(w *environment, r *rand.Rand) (string, func()) {
	n := 1 + r.IntN(9)
	w.changeConfiguration(func(c *route.Configuration) {
		for i := range c.Routes {
			c.Routes[i].Targets = []route.Target{{Service: c.Routes[i].Targets[0].Service, Weight: n}}
		}
	})
	return fmt.Sprintf("all targets have the weight %d", n), nil
}
