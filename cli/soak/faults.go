package soak

import (
	"fmt"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/agateway/agateway/platform/standin"
)

// fault begins something, and returns what it is and how it ends; nil where it ends by itself.
type fault func(w *world, r *rand.Rand) (what string, end func())

// faults are all that can be brought about, at equal odds.
var faults = []fault{
	storeLink, workerLink, workerLink, pause, kill, stop, reread, storeOutage, storeSlow, storeForgets,
	storeLoses, workerFails, workerFails, crash, crash, dataCentre, leave, newKey, newKey,
	answersLost, answersLost, storeAwayWhileKeyGoes, storeAwayWhileKeyGoes,
}

var linkModes = []mode{delayed, reset, silent, oneWay}

// storeLink harms the connection of an instance to the store.
func storeLink(w *world, r *rand.Rand) (string, func()) {
	i, m := r.IntN(len(w.proxies)), linkModes[r.IntN(len(linkModes))]
	w.proxies[i].set(m)
	return fmt.Sprintf("the store's link to front-%d %v", i, m), func() { w.proxies[i].set(pass) }
}

// workerLink harms the connections to a worker.
func workerLink(w *world, r *rand.Rand) (string, func()) {
	k, m := w.workers[r.IntN(len(w.workers))], linkModes[r.IntN(len(linkModes))]
	k.proxy.set(m)
	return fmt.Sprintf("the link to %s %v", k.name, m), func() { k.proxy.set(pass) }
}

func anyProcess(w *world, r *rand.Rand) *process { return w.processes[r.IntN(len(w.processes))] }

func pause(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.signal(syscall.SIGSTOP)
	return p.name + " pauses", func() { p.signal(syscall.SIGCONT) }
}

func kill(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.signal(syscall.SIGKILL)
	return p.name + " is killed", nil
}

func stop(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.signal(syscall.SIGTERM)
	return p.name + " is stopped", nil
}

func reread(w *world, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.signal(syscall.SIGHUP)
	return p.name + " reads its settings", nil
}

func storeOutage(w *world, r *rand.Rand) (string, func()) {
	all := []standin.Outage{standin.Busy, standin.Many, standin.Reset, standin.Silent}
	o := all[r.IntN(len(all))]
	w.store.SetFault(standin.Fault{Outage: o})
	return "the store is away: " + string(o), func() { w.store.SetFault(standin.Fault{}) }
}

func storeSlow(w *world, r *rand.Rand) (string, func()) {
	w.store.SetFault(standin.Fault{SlowMS: 100 + r.IntN(300)})
	return "the store is slow", func() { w.store.SetFault(standin.Fault{}) }
}

func storeForgets(w *world, _ *rand.Rand) (string, func()) {
	w.store.Forget()
	return "the store forgets its history", nil
}

func storeLoses(w *world, r *rand.Rand) (string, func()) {
	w.store.SetFault(standin.Fault{LoseWrites: 1 + r.IntN(3), LateMS: r.IntN(1000)})
	return "the store loses answers", func() { w.store.SetFault(standin.Fault{}) }
}

func workerFails(w *world, r *rand.Rand) (string, func()) {
	all := map[string]standin.WorkerFault{
		"refuses": {Shed: true}, "fails": {Fail: true}, "loses answers": {LoseAnswer: true}, "breaks off": {Truncate: true},
		"sends more than was asked for": {Extra: true}, "hangs": {Hang: true},
	}
	names := []string{"refuses", "fails", "loses answers", "breaks off", "sends more than was asked for", "hangs"}
	k, how := w.workers[r.IntN(len(w.workers))], names[r.IntN(len(names))]
	k.setFault(all[how])
	return k.name + " " + how, func() { k.setFault(standin.WorkerFault{}) }
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
		if k.config.Zone == at && k.config.Prefill > 0 {
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
			if k.config.Prefill == 0 {
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
	w.store.SetFault(standin.Fault{Outage: standin.Reset})
	time.AfterFunc(500*time.Millisecond, w.newKey)
	time.AfterFunc(awayFor, func() { w.store.SetFault(standin.Fault{}) })
	return "the store is away while a key goes", nil
}
