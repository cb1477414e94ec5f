package front_test

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

const (
	// settleTime is how long the store has to be without a disruption, and an instance has to run, before
	// bounds of time hold.
	settleTime = 3 * time.Second
	randomDay  = 90 * time.Second
	// revokeBound is how long after the store took a configuration without a key requests with it may run.
	revokeBound = 5 * time.Second
	// askedPause is the pause that endpoints ask for, and refusingFor how long they refuse.
	askedPause, refusingFor = 3 * time.Second, 4 * time.Second
)

// day is a sequence of disruptions and changes in random order: the store is away, refuses, is slow, or returns
// from an older copy; instances end and start again; routes are added, and a key is taken away; endpoints leave,
// by their entries, their answers or both, come back, remove their entries, ask for pauses, or are stopped.
type day struct {
	*world
	rnd   *rand.Rand
	began time.Time

	mu    sync.Mutex
	story []string // what happened
	// disruptedUntil is when the last disruption of the store ends.
	disruptedUntil time.Time
	starts         map[string][]time.Time // of instances, by address
	routeAt        map[string]time.Time   // when routes were added
	revokedAt      time.Time              // when a key was taken away; zero before
	endpoints      map[*standin.Worker]*leavingEndpoint
	stopped        []stoppedTime
	streams        []dayStream
}

// leavingEndpoint is an endpoint that leaves.
type leavingEndpoint struct {
	since             time.Time
	byEntry, byAnswer bool
	// removed is set if it removed its entry. It does not come back.
	removed bool
	// settled is set if the store was without a disruption for settleTime when it took the entry.
	settled bool
}

// TestRandomDays guards against changes that are not in force in time or are undone, and against requests to
// endpoints that leave or pause, in orders of events that no other test plays. RANDOM_DAYS is the number of
// days, RANDOM_DAYS_FROM the seed of the first one, and RANDOM_DAYS_WITHOUT a mechanism that is switched off, to
// see whether the checks notice.
func TestRandomDays(t *testing.T) {
	var seeds []int
	first := 0
	if n, err := strconv.Atoi(os.Getenv("RANDOM_DAYS_FROM")); err == nil {
		first = n
	}
	if days, err := strconv.Atoi(os.Getenv("RANDOM_DAYS")); err == nil {
		for seed := first; seed < first+days; seed++ {
			seeds = append(seeds, seed)
		}
	} else {
		seeds = []int{first, first + 1, first + 2, first + 3, firstPauseDay}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			prepare := func(w *world) {
				if off := os.Getenv("RANDOM_DAYS_WITHOUT"); off != "" {
					w.settings = "\n[mechanisms]\n" + off + " = false\n"
				}
			}
			engines := 1
			if seed >= firstPauseDay {
				engines = 9
			}
			runWith(t, 6, engines, 6, prepare, func(w *world) { playDay(w, uint64(seed)) })
		})
	}
}

func playDay(w *world, seed uint64) {
	d := &day{
		world: w, rnd: rand.New(rand.NewPCG(seed, seed)), began: time.Now(), disruptedUntil: time.Now(),
		starts: map[string][]time.Time{}, routeAt: map[string]time.Time{}, endpoints: map[*standin.Worker]*leavingEndpoint{},
	}
	var load sync.WaitGroup
	load.Go(func() { w.load(40, randomDay, openRequest, d.running) })
	for _, e := range w.plains {
		load.Go(func() { d.sendHeartbeats(e) })
	}
	if seed >= firstPauseDay {
		load.Go(func() { d.playPauses(rand.New(rand.NewPCG(seed, 1))) })
		load.Go(func() { d.sendStreams(rand.New(rand.NewPCG(seed, 2))) })
	}
	for time.Since(d.began) < randomDay {
		time.Sleep(time.Duration(200+d.rnd.IntN(1200)) * time.Millisecond)
		d.act()
		d.checkRoutes()
		d.checkKey()
		d.checkLeaving()
	}
	load.Wait()
	d.checkPauses()
	d.checkStreams()
	if w.t.Failed() {
		for _, line := range d.story {
			w.t.Log(line)
		}
	}
}

// running returns an instance that runs.
func (d *day) running(i int) int {
	for !d.isRunning(i % len(d.fronts)) {
		i++
	}
	return i % len(d.fronts)
}

func (d *day) tell(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.story = append(d.story, fmt.Sprintf("%7.3f s  ", time.Since(d.began).Seconds())+fmt.Sprintf(format, args...))
}

func (d *day) fail(format string, args ...any) {
	d.tell("FINDING: "+format, args...)
	d.t.Errorf(format, args...)
}

// storeStableFor returns for how long the store has been without a disruption; negative during one.
func (d *day) storeStableFor() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.disruptedUntil)
}

// startedAfter reports whether an instance has started after a time, by its address.
func (d *day) startedAfter(address string, at time.Time) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		host = address
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	starts := d.starts[host]
	return len(starts) > 0 && starts[len(starts)-1].After(at)
}

// sendHeartbeats lets an endpoint write its entry each second, unless the store is away.
func (d *day) sendHeartbeats(e *standin.Worker) {
	for time.Since(d.began) < randomDay {
		time.Sleep(time.Second)
		if d.storeStableFor() >= 0 {
			d.writeEntry(e)
		}
	}
}

func (d *day) writeEntry(e *standin.Worker) {
	d.mu.Lock()
	l := d.endpoints[e]
	d.mu.Unlock()
	switch {
	case l != nil && l.removed:
		d.store.Remove(platform.KindEndpoint, e.Config().ID)
	case l != nil && l.byEntry:
		d.putEntry(e, "draining")
	default:
		d.putEntry(e, "ready")
	}
}

// act lets one thing happen.
func (d *day) act() {
	actions := []func(){d.addRoute, d.addRoute, d.changeLeaving, d.changeLeaving, d.remove, d.revoke, d.pause, d.restart, d.outage, d.returnFromCopy, d.returnFromCopy}
	actions[d.rnd.IntN(len(actions))]()
}

func (d *day) addRoute() {
	if d.storeStableFor() < 0 {
		return
	}
	path := d.publish()
	d.mu.Lock()
	d.routeAt[path] = time.Now()
	d.mu.Unlock()
	d.tell("route %s is added", path)
}

// changeLeaving lets an endpoint leave or, some time after its entry has said so, come back.
func (d *day) changeLeaving() {
	e := d.plains[d.rnd.IntN(len(d.plains))]
	d.mu.Lock()
	l, count := d.endpoints[e], len(d.endpoints)
	d.mu.Unlock()
	stable := d.storeStableFor()
	switch {
	case l != nil && l.byEntry && !l.removed && stable >= settleTime && time.Since(l.since) >= 2*settleTime:
		d.mu.Lock()
		delete(d.endpoints, e)
		d.mu.Unlock()
		e.SetLeaving(false)
		d.writeEntry(e)
		d.tell("%s is back", e.Config().ID)
	case l == nil && count < 2:
		d.leave(e, stable)
	}
}

// remove lets an endpoint remove its entry, and go on for the rest of the day.
func (d *day) remove() {
	e, stable := d.plains[0], d.storeStableFor()
	if stable < 0 || d.rnd.IntN(4) > 0 {
		return
	}
	d.mu.Lock()
	if l := d.endpoints[e]; l == nil || !l.removed {
		d.endpoints[e] = &leavingEndpoint{since: time.Now(), byEntry: true, removed: true, settled: stable >= settleTime}
	}
	d.mu.Unlock()
	d.writeEntry(e)
	d.tell("%s removes its entry", e.Config().ID)
}

// revoke takes a key away.
func (d *day) revoke() {
	if d.storeStableFor() < 0 || !d.revokedAt.IsZero() {
		return
	}
	d.config.Version++
	d.config.Teams = []route.Team{{Name: "desk", Keys: []string{deskKey}}}
	d.store.PutConfiguration(&d.config)
	d.revokedAt = time.Now()
	d.tell("a key is taken away")
}

// checkKey checks that the key that was taken away is not served.
func (d *day) checkKey() {
	if d.revokedAt.IsZero() || time.Since(d.revokedAt) < revokeBound {
		return
	}
	for i := range d.fronts {
		a, err := d.send(i, standin.Request{Method: http.MethodGet, Path: "/ping/1", Key: fieldKey, Timeout: time.Second})
		if err == nil && a.Status == http.StatusOK {
			d.fail("f%d serves a key, %v after it was taken away", i, time.Since(d.revokedAt))
		}
	}
}

func (d *day) leave(e *standin.Worker, stable time.Duration) {
	l := &leavingEndpoint{since: time.Now(), byAnswer: d.rnd.IntN(2) == 0, settled: stable >= settleTime}
	l.byEntry = stable >= 0 && (!l.byAnswer || d.rnd.IntN(2) == 0)
	if !l.byEntry && !l.byAnswer {
		return
	}
	d.mu.Lock()
	d.endpoints[e] = l
	d.mu.Unlock()
	e.SetLeaving(l.byAnswer)
	if l.byEntry {
		d.writeEntry(e)
	}
	d.tell("%s leaves, by its entry: %v, by its answers: %v", e.Config().ID, l.byEntry, l.byAnswer)
}

func (d *day) restart() {
	i := d.rnd.IntN(len(d.fronts))
	d.killFront(i)
	time.Sleep(100 * time.Millisecond)
	d.startFront(i)
	d.mu.Lock()
	d.starts[frontIP(i)] = append(d.starts[frontIP(i)], time.Now())
	d.mu.Unlock()
	d.tell("f%d has started again", i)
}

// disrupt disrupts the store for a time.
func (d *day) disrupt(f standin.Fault, length time.Duration) {
	d.mu.Lock()
	d.disruptedUntil = time.Now().Add(length)
	d.mu.Unlock()
	d.store.SetFault(f)
}

func (d *day) outage() {
	if d.storeStableFor() < 0 {
		return
	}
	faults := []standin.Fault{{Outage: standin.Silent}, {Outage: standin.Busy}, {Outage: standin.Reset}, {SlowMS: 300}, {Outage: standin.Silent, Hosts: []string{frontIP(0), frontIP(1)}}}
	f, length := faults[d.rnd.IntN(len(faults))], time.Duration(300+d.rnd.IntN(5000))*time.Millisecond
	d.disrupt(f, length)
	time.AfterFunc(length, func() { d.store.SetFault(standin.Fault{}) })
	d.tell("the store is disrupted for %v: %+v", length, f)
}

// returnFromCopy makes the store return, after a time away, from a copy that is some seconds old by then.
// The operator writes the newest configuration again, and the endpoints their entries.
func (d *day) returnFromCopy() {
	if d.storeStableFor() < 0 {
		return
	}
	from, copied := d.store.Copy(), time.Now()
	for age := time.Duration(d.rnd.IntN(4000)) * time.Millisecond; time.Since(copied) < age; time.Sleep(700 * time.Millisecond) {
		[]func(){d.addRoute, d.changeLeaving}[d.rnd.IntN(2)]()
	}
	away, lag := time.Duration(300+d.rnd.IntN(2500))*time.Millisecond, time.Duration(200+d.rnd.IntN(1300))*time.Millisecond
	others := d.rnd.IntN(3) * 20
	d.tell("the store goes away for %v and returns from a copy that is %v old, with %d other writes", away, time.Since(copied), others)
	d.disrupt(standin.Fault{Outage: standin.Silent}, away+lag)
	time.Sleep(away)
	d.store.Return(from)
	for i := range others {
		d.store.Put("others", fmt.Sprint("o", i), time.Now().UnixNano())
	}
	d.store.SetFault(standin.Fault{})
	time.Sleep(lag)
	d.store.PutConfiguration(&d.config)
}

// checkRoutes checks that all instances that have settled serve the newest route that they have to know.
func (d *day) checkRoutes() {
	if d.storeStableFor() < settleTime {
		return
	}
	now, newest := time.Now(), ""
	d.mu.Lock()
	for path, at := range d.routeAt {
		if now.Sub(at) >= applyBound && (newest == "" || at.After(d.routeAt[newest])) {
			newest = path
		}
	}
	d.mu.Unlock()
	if newest == "" {
		return
	}
	for i := range d.fronts {
		if d.startedAfter(frontIP(i), now.Add(-settleTime)) {
			continue
		}
		// The endpoints may all pause or leave, so only the instance's own answers that there is no such route count.
		a, err := d.send(i, standin.Request{Method: http.MethodGet, Path: newest + "1", Timeout: time.Second})
		if err != nil || a.Status == http.StatusNotFound {
			d.fail("f%d does not know %s: status %d, %v", i, newest, a.Status, err)
		}
	}
}

// checkLeaving checks that the endpoints that leave get nothing from instances that know it long enough.
func (d *day) checkLeaving() {
	d.mu.Lock()
	leaving := map[*standin.Worker]leavingEndpoint{}
	for e, l := range d.endpoints {
		leaving[e] = *l
	}
	d.mu.Unlock()
	for e, l := range leaving {
		var late []standin.Arrival
		if l.byAnswer {
			late = lateArrivals(e, l.since, d.plainWork)
		}
		if l.byEntry && l.settled {
			for _, all := range arrivalsByInstance(e, l.since.Add(leavingBound)) {
				late = append(late, all...)
			}
		}
		for _, a := range late {
			if !d.startedAfter(a.From, l.since) && !d.stoppedBetween(e, l.since, a.At) {
				d.fail("%s got %s from %s, %v after it began to leave, at %v", e.Config().ID, a.Target, a.From, a.At.Sub(l.since), a.At.Sub(d.began))
			}
		}
	}
}
