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

// fault starts a fault. It returns a description and the function that ends it, which is nil if the
// fault ends by itself.
type fault func(w *environment, r *rand.Rand) (what string, end func())

// faults holds all faults by name.
var faults = map[string]fault{
	"new-key": newKey, "new-route": newRoute, "routes-in-a-row": routesInARow, "reread": reloadSettings, "bad-build": badBuild,
	"worker-link": workerLink, "worker-fails": workerFails, "crash": crash, "data-centre": crashDataCentre, "leave": leave,
	"answers-lost": loseAnswers, "used-again": reuseAddress, "fatal-request": fatalRequest, "fatal-part": fatalPart, "endless": endless,
	"pause": pause, "kill": kill, "kill-all": killAll, "stop": stop, "stop-in-a-row": stopInARow,
	"store-link": storeLink, "store-outage": storeOutage, "store-slow": storeSlow, "store-forgets": storeForgetsHistory,
	"store-loses": storeLosesAnswers, "key-goes-unheard": revokeKeyDuringOutage, "rate": stateRate, "fragile": fragileBurst, "cut-off": cutOff,
	"leave-in-answers": leaveInAnswers, "asks-for-pause": askForPauses,
	"store-returns": storeReturns, "endpoints-pause": pauseEndpoints, "instances-pause": pauseInstances, "timeout": changeTimeout, "idle-time": changeIdleTime, "weights": changeWeights,
	"refuse-most": refuseMost, cutLinksFault: refuseMostWhileCut, crowdFault: sendCrowd,
}

// Names of faults by what they disrupt. A name that is listed twice is drawn twice as often. The
// changes that an operator makes are added to each kind.
var (
	operatorChanges = []string{"new-key", "new-key", "new-route", "new-route", "routes-in-a-row", "reread", "bad-build", "bad-build"}
	endpointFaults  = []string{
		"worker-link", "worker-link", "worker-fails", "worker-fails", "crash", "crash", "data-centre", "leave", "leave",
		"answers-lost", "answers-lost", "used-again", "fatal-request", "fatal-request",
	}
	processFaults = []string{"pause", "kill", "kill-all", "stop", "stop", "stop-in-a-row"}
	storeFaults   = []string{
		"store-link", "store-outage", "store-slow", "store-forgets", "store-loses", "key-goes-unheard", "key-goes-unheard",
	}
	limitFaults  = []string{"rate", "rate", "rate", "fragile"}
	cutFaults    = []string{"cut-off", "cut-off", "crash", "worker-link"}
	wordFaults   = []string{"leave-in-answers", "leave-in-answers", "leave-in-answers", "leave-in-answers", "asks-for-pause", "asks-for-pause", "asks-for-pause", "leave"}
	returnFaults = []string{"store-returns", "store-returns", "leave", "kill"}
	partFaults   = []string{"fatal-part", "fatal-part", "endless", "endless", "kill", "stop", "crash"}
	// overloadFaults lose instances and engines, beside changes of the operator. Other faults would excuse or hide
	// what overload does.
	overloadFaults = []string{"kill", "crash", "data-centre", "stop", "reread", "new-key", "new-route", "routes-in-a-row"}
	crowdFaults    = []string{crowdFault, crowdFault, crowdFault, crowdFault, "kill", "stop", "store-outage", "crash"}
	pauseFaults    = []string{"endpoints-pause", "endpoints-pause", "endpoints-pause", "endpoints-pause", "instances-pause", "pause", "timeout", "idle-time", "weights"}
)

// Seeds from firstLimitSeed to lastSeed also draw limitFaults, those from firstCutSeed cutFaults,
// those from firstWordSeed wordFaults, those from firstReturnSeed returnFaults, those from firstPauseSeed
// pauseFaults, and those from firstPartSeed partFaults. Those from firstOverloadSeed draw overloadFaults only, beside
// a service that has more load than it can serve. Those from firstCrowdSeed to lastCrowdSeed draw crowdFaults beside
// the first kinds. The others keep the faults with which they have found something.
const (
	firstLimitSeed, firstCutSeed, firstWordSeed, firstReturnSeed, firstPauseSeed, firstPartSeed, firstOverloadSeed, lastSeed = 3000, 4000, 5000, 6000, 7000, 8000, 9000, 9999
	firstCrowdSeed, lastCrowdSeed                                                                                            = 10_000, 10_999
)

// crowdFault is the name of a fault for which processes have limits of their own.
const crowdFault = "crowd"

// faultNamesForSeed returns the names from which the faults of a seed are drawn with equal
// probability. Odd seeds have all of them. Even seeds have those of one kind, because a guarantee
// with a time bound isn't checked while another kind of fault excuses its breach: instances learn
// in time that an endpoint is leaving only if the store answers.
func faultNamesForSeed(seed uint64) []string {
	if isOverloadSeed(seed) {
		return overloadFaults
	}
	kinds := [][]string{endpointFaults, processFaults, storeFaults}
	if seed >= firstLimitSeed && seed <= lastSeed {
		kinds = append(kinds, limitFaults)
	}
	if seed >= firstCutSeed && seed <= lastSeed {
		kinds = append(kinds, cutFaults)
	}
	if seed >= firstWordSeed && seed <= lastSeed {
		kinds = append(kinds, wordFaults)
	}
	if seed >= firstReturnSeed && seed <= lastSeed {
		kinds = append(kinds, returnFaults)
	}
	if seed >= firstPauseSeed && seed <= lastSeed {
		kinds = append(kinds, pauseFaults)
	}
	if seed >= firstPartSeed && seed <= lastSeed {
		kinds = append(kinds, partFaults)
	}
	if seed >= firstCrowdSeed && seed <= lastCrowdSeed {
		kinds = append(kinds, crowdFaults)
	}
	if seed%2 == 1 {
		return slices.Concat(append(kinds, operatorChanges)...)
	}
	return slices.Concat(kinds[seed/2%uint64(len(kinds))], operatorChanges)
}

// checkFaultNames returns an error for a name that no fault has.
func checkFaultNames(names []string) error {
	for _, n := range names {
		if faults[n] == nil {
			return fmt.Errorf("no fault %q; there are %s", n, strings.Join(slices.Sorted(maps.Keys(faults)), ", "))
		}
	}
	return nil
}

var linkModes = []mode{delayed, reset, silent, oneWay}

// storeLink disrupts the connections of an instance to the store.
func storeLink(w *environment, r *rand.Rand) (string, func()) {
	i, m := r.IntN(len(w.proxies)), linkModes[r.IntN(len(linkModes))]
	end := w.disruptions.start(w.processes[i].name)
	w.proxies[i].set(m)
	return fmt.Sprintf("the store's link to front-%d %v", i, m), func() { w.proxies[i].set(passThrough); end() }
}

// workerLink disrupts the connections to a worker.
func workerLink(w *environment, r *rand.Rand) (string, func()) {
	k, m := w.workers[r.IntN(len(w.workers))], linkModes[r.IntN(len(linkModes))]
	end := w.disruptions.start(k.name)
	k.proxy.set(m)
	return fmt.Sprintf("the link to %s %v", k.name, m), func() { k.proxy.set(passThrough); end() }
}

func anyProcess(w *environment, r *rand.Rand) *process { return w.processes[r.IntN(len(w.processes))] }

func pause(w *environment, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	return p.name + " pauses", w.pauseProcess(p)
}

func kill(w *environment, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.kill()
	return p.name + " is killed", nil
}

func stop(w *environment, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.terminate()
	return p.name + " is stopped", nil
}

func reloadSettings(w *environment, r *rand.Rand) (string, func()) {
	p := anyProcess(w, r)
	p.signal(syscall.SIGHUP)
	return p.name + " reads its settings", nil
}

func storeOutage(w *environment, r *rand.Rand) (string, func()) {
	all := []standin.Outage{standin.Busy, standin.TooMany, standin.Reset, standin.Silent}
	o := all[r.IntN(len(all))]
	return "the store is away: " + string(o), w.disruptStore(standin.Fault{Outage: o})
}

func storeSlow(w *environment, r *rand.Rand) (string, func()) {
	return "the store is slow", w.disruptStore(standin.Fault{SlowMS: 100 + r.IntN(300)})
}

func storeForgetsHistory(w *environment, _ *rand.Rand) (string, func()) {
	w.disruptions.recordInstant(storeSubject)
	w.store.ForgetHistory()
	return "the store forgets its history", nil
}

func storeLosesAnswers(w *environment, r *rand.Rand) (string, func()) {
	return "the store loses answers", w.disruptStore(standin.Fault{LoseWrites: 1 + r.IntN(3), LostWriteDelayMS: r.IntN(1000)})
}

func workerFails(w *environment, r *rand.Rand) (string, func()) {
	all := map[string]standin.WorkerFault{
		"refuses": {RefuseAll: true}, "fails": {FailAll: true}, "loses answers": {LoseAnswer: true}, "breaks off": {Truncate: true},
		"sends more than was asked for": {ExtraAnswer: true}, "hangs": {Hang: true},
	}
	names := []string{"refuses", "fails", "loses answers", "breaks off", "sends more than was asked for", "hangs"}
	k, how := w.workers[r.IntN(len(w.workers))], names[r.IntN(len(names))]
	end := w.disruptions.start(k.name)
	k.setFault(all[how])
	return k.name + " " + how, func() { k.setFault(standin.WorkerFault{}); end() }
}

func crash(w *environment, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	k.crash(time.Duration(200+r.IntN(1500)) * time.Millisecond)
	return k.name + " crashes", nil
}

// crashDataCentre crashes all engines of a data centre at once.
func crashDataCentre(w *environment, r *rand.Rand) (string, func()) {
	at := dataCentreName(r.IntN(dataCentres))
	down := time.Duration(500+r.IntN(1000)) * time.Millisecond
	for _, k := range w.workers {
		if k.config.DataCentre == at && k.config.PrefillTokensPerMS > 0 {
			k.crash(down)
		}
	}
	return "the engines of " + at + " crash", nil
}

func leave(w *environment, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	k.leave()
	return k.name + " leaves", nil
}

func newKey(w *environment, _ *rand.Rand) (string, func()) {
	w.replaceKey()
	key, _ := w.latestKeys()
	return key + " replaces the key before", nil
}

// loseAnswers makes all plain endpoints run requests and lose their answers. An instance that sends
// such a request again runs it twice.
func loseAnswers(w *environment, _ *rand.Rand) (string, func()) {
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

// revocationOutage is how long the store is unavailable around the revocation of a key: longer than
// a revoked key may still be served.
const revocationOutage = revokeBound + 2*time.Second

// revokeKeyDuringOutage revokes a key while the store is unavailable and no instance can learn of
// it.
func revokeKeyDuringOutage(w *environment, _ *rand.Rand) (string, func()) {
	end := w.disruptStore(standin.Fault{Outage: standin.Reset})
	time.AfterFunc(500*time.Millisecond, w.replaceKey)
	time.AfterFunc(revocationOutage, end)
	return "the store is away while a key goes", nil
}

// newRoute publishes a configuration with a new route that replaces the one of an earlier version.
func newRoute(w *environment, _ *rand.Rand) (string, func()) {
	return fmt.Sprintf("version %d brings a route and takes one away", w.replaceRoute()), nil
}

// routesInARow publishes configurations in quick succession.
func routesInARow(w *environment, r *rand.Rand) (string, func()) {
	n := 3 + r.IntN(5)
	for range n {
		w.replaceRoute()
		time.Sleep(time.Duration(r.IntN(60)) * time.Millisecond)
	}
	return fmt.Sprintf("%d configurations in a row", n), nil
}

// stopInARow stops half of the processes one after the other, 800 ms apart, so that shutdowns can
// overlap.
func stopInARow(w *environment, _ *rand.Rand) (string, func()) {
	for i, p := range w.processes {
		if i%2 == 0 {
			time.AfterFunc(time.Duration(i)*400*time.Millisecond, p.terminate)
		}
	}
	return "half of the processes are stopped in a row", nil
}

// killAll kills all processes at once.
func killAll(w *environment, _ *rand.Rand) (string, func()) {
	for _, p := range w.processes {
		p.kill()
	}
	return "all processes are killed", nil
}

// reuseAddress crashes a worker and gives its address to a worker of another service.
func reuseAddress(w *environment, r *rand.Rand) (string, func()) {
	k := w.workers[r.IntN(len(w.workers))]
	if !k.replaceWithForeign(time.Duration(800+r.IntN(1500)) * time.Millisecond) {
		return k.name + " stays", nil
	}
	return "the address of " + k.name + " is used by another service", nil
}
