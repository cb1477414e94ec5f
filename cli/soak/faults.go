package soak

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// fault begins something, and returns what it is and how it ends; nil where it ends by itself.
type fault func(w *world, r *rand.Rand) (what string, end func())

// faults are all faults by their names.
var faults = map[string]fault{
	"new-key": newKey, "new-route": newRoute, "routes-in-a-row": routesInARow, "reread": reread, "bad-build": badBuild,
	"worker-link": workerLink, "worker-fails": workerFails, "crash": crash, "data-centre": dataCentre, "leave": leave,
	"answers-lost": answersLost, "used-again": usedAgain, "fatal-request": fatalRequest,
	"pause": pause, "kill": kill, "kill-all": killAll, "stop": stop, "stop-in-a-row": stopInARow,
	"store-link": storeLink, "store-outage": storeOutage, "store-slow": storeSlow, "store-forgets": storeForgets,
	"store-loses": storeLoses, "key-goes-unheard": storeAwayWhileKeyGoes,
}

// Names of faults by what they harm; one that is named twice is twice as frequent. Changes that the operator makes belong to all.
var (
	changes        = []string{"new-key", "new-key", "new-route", "new-route", "routes-in-a-row", "reread", "bad-build", "bad-build"}
	endpointFaults = []string{
		"worker-link", "worker-link", "worker-fails", "worker-fails", "crash", "crash", "data-centre", "leave", "leave",
		"answers-lost", "answers-lost", "used-again", "fatal-request", "fatal-request",
	}
	processFaults = []string{"pause", "kill", "kill-all", "stop", "stop", "stop-in-a-row"}
	storeFaults   = []string{
		"store-link", "store-outage", "store-slow", "store-forgets", "store-loses", "key-goes-unheard", "key-goes-unheard",
	}
)

// faultsOf returns the names of the faults of a seed, at equal odds. Every second seed has all of them. The others have those of
// one kind, so that promises with a time bound are checked that the other kinds excuse: a leaving endpoint is known
// in time only where the store answers.
func faultsOf(seed uint64) []string {
	kinds := [][]string{endpointFaults, processFaults, storeFaults}
	if seed%2 == 1 {
		return slices.Concat(append(kinds, changes)...)
	}
	return slices.Concat(kinds[seed/2%uint64(len(kinds))], changes)
}

// checkNames reports a name that no fault has.
func checkNames(names []string) error {
	for _, n := range names {
		if faults[n] == nil {
			return fmt.Errorf("no fault %q; there are %s", n, strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
		}
	}
	return nil
}

var linkModes = []mode{delayed, reset, silent, oneWay}

// storeLink harms the connection of an instance to the store.
func storeLink(w *world, r *rand.Rand) (string, func()) {
	i, m := r.IntN(len(w.proxies)), linkModes[r.IntN(len(linkModes))]
	end := w.harms.begin(w.processes[i].name)
	w.proxies[i].set(m)
	return fmt.Sprintf("the store's link to front-%d %v", i, m), func() { w.proxies[i].set(pass); end() }
}

// workerLink harms the connections to a worker.
func workerLink(w *world, r *rand.Rand) (string, func()) {
	k, m := w.workers[r.IntN(len(w.workers))], linkModes[r.IntN(len(linkModes))]
	end := w.harms.begin(k.name)
	k.proxy.set(m)
	return fmt.Sprintf("the link to %s %v", k.name, m), func() { k.proxy.set(pass); end() }
}

func anyProcess(w *world, r *rand.Rand) *process { return w.processes[r.IntN(len(w.processes))] }

func pause(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	end := w.harms.begin(p.name)
	p.signal(syscall.SIGSTOP)
	return p.name + " pauses", func() { p.signal(syscall.SIGCONT); end() }
}

func kill(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.kill()
	return p.name + " is killed", nil
}

func stop(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.terminate()
	return p.name + " is stopped", nil
}

func reread(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.signal(syscall.SIGHUP)
	return p.name + " reads its settings", nil
}

func storeOutage(w *world, r *rand.Rand) (string, func()) {
	all := []standin.Outage{standin.Busy, standin.TooMany, standin.Reset, standin.Silent}
	o := all[r.IntN(len(all))]
	return "the store is away: " + string(o), w.harmStore(standin.Fault{Outage: o})
}

func storeSlow(w *world, r *rand.Rand) (string, func()) {
	return "the store is slow", w.harmStore(standin.Fault{SlowMS: 100 + r.IntN(300)})
}

func storeForgets(w *world, _ *rand.Rand) (string, func()) {
	w.harms.moment(theStore)
	w.store.ForgetHistory()
	return "the store forgets its history", nil
}

func storeLoses(w *world, r *rand.Rand) (string, func()) {
	return "the store loses answers", w.harmStore(standin.Fault{LoseWrites: 1 + r.IntN(3), LostWriteDelayMS: r.IntN(1000)})
}

func workerFails(w *world, r *rand.Rand) (string, func()) {
	all := map[string]standin.WorkerFault{
		"refuses": {RefuseAll: true}, "fails": {FailAll: true}, "loses answers": {LoseAnswer: true}, "breaks off": {Truncate: true},
		"sends more than was asked for": {ExtraAnswer: true}, "hangs": {Hang: true},
	}
	names := []string{"refuses", "fails", "loses answers", "breaks off", "sends more than was asked for", "hangs"}
	k, how := w.workers[r.IntN(len(w.workers))], names[r.IntN(len(names))]
	end := w.harms.begin(k.name)
	k.setFault(all[how])
	return k.name + " " + how, func() { k.setFault(standin.WorkerFault{}); end() }
}

func crash(w *world, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	k.crash(time.Duration(200+r.IntN(1500)) * time.Millisecond)
	return k.name + " crashes", nil
}

// dataCentre loses all engines of a data centre at once.
func dataCentre(w *world, r *rand.Rand) (string, func()) {
	at := zone(r.IntN(dataCentres))
	down := time.Duration(500+r.IntN(1000)) * time.Millisecond
	for _, k := range w.workers {
		if k.config.DataCentre == at && k.config.PrefillTokensPerMS > 0 {
			k.crash(down)
		}
	}
	return "the engines of " + at + " crash", nil
}

func leave(w *world, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	k.leave()
	return k.name + " leaves", nil
}

func newKey(w *world, _ *rand.Rand) (string, func()) {
	w.newKey()
	now, _ := w.lastKeys()
	return now + " replaces the key before", nil
}

// answersLost makes all plain endpoints run requests and lose their answers: who sends one again runs it
// twice.
func answersLost(w *world, _ *rand.Rand) (string, func()) {
	set := func(f standin.WorkerFault) {
		for _, k := range w.workers {
			if k.config.PrefillTokensPerMS == 0 {
				k.setFault(f)
			}
		}
	}
	set(standin.WorkerFault{LoseAnswer: true})
	return "all plain endpoints lose answers", func() { set(standin.WorkerFault{}) }
}

// awayFor is how long the store is away around a key that is taken away: longer than a key may be served.
const awayFor = revokeBound + 2*time.Second

// storeAwayWhileKeyGoes takes a key away while no instance can hear of it.
func storeAwayWhileKeyGoes(w *world, _ *rand.Rand) (string, func()) {
	end := w.harmStore(standin.Fault{Outage: standin.Reset})
	time.AfterFunc(500*time.Millisecond, w.newKey)
	time.AfterFunc(awayFor, end)
	return "the store is away while a key goes", nil
}

// newRoute sends a configuration with a route that the one before did not have, in place of the route that it had.
func newRoute(w *world, _ *rand.Rand) (string, func()) {
	return fmt.Sprintf("version %d brings a route and takes one away", w.newRoute()), nil
}

// routesInARow sends configurations in quick succession.
func routesInARow(w *world, r *rand.Rand) (string, func()) {
	n := 3 + r.IntN(5)
	for range n {
		w.newRoute()
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
	return fmt.Sprintf("%d configurations in a row", n), nil
}

// stopInARow stops half of the processes one after the other, each while the one before still ends.
func stopInARow(w *world, _ *rand.Rand) (string, func()) {
	for i, p := range w.processes {
		if i%2 == 0 {
			time.AfterFunc(time.Duration(i)*400*time.Millisecond, p.terminate)
		}
	}
	return "half of the processes are stopped in a row", nil
}

// killAll kills all processes at the same moment.
func killAll(w *world, _ *rand.Rand) (string, func()) {
	for _, p := range w.processes {
		p.kill()
	}
	return "all processes are killed", nil
}

// usedAgain lets a worker crash, and its address be used by a worker of another service.
func usedAgain(w *world, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	if !k.replace(time.Duration(800+r.IntN(1500)) * time.Millisecond) {
		return k.name + " stays", nil
	}
	return "the address of " + k.name + " is used by another service", nil
}
