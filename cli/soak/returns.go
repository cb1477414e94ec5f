package soak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/agateway/agateway/platform"
	"github.com/agateway/agateway/platform/standin"
)

// Times of a store that returns from a copy: how old the copy is at the most, how long the store is away,
// and how long after its return the operator writes its configuration again.
const (
	maxCopyAge    = 3 * time.Second
	maxReturnAway = 1200 * time.Millisecond
	maxRewriteLag = 1500 * time.Millisecond
	// lostWrites is how many other writes are lost with the copy.
	lostWrites = 30
)

// storeReturns makes the store go away and return from a copy that is some seconds old. Sometimes others
// write so much before the processes reach it that its revision passes the one that they know. Workers write
// their entries again with their heartbeats.
func storeReturns(w *environment, r *rand.Rand) (string, func()) {
	if !w.returning.CompareAndSwap(false, true) {
		return "the store is about to return from a copy", nil
	}
	from := w.store.Copy()
	age := time.Second + time.Duration(r.Int64N(int64(maxCopyAge-time.Second)))
	away := 200*time.Millisecond + time.Duration(r.Int64N(int64(maxReturnAway)))
	lag, writes := time.Duration(r.Int64N(int64(maxRewriteLag))), r.IntN(3)*lostWrites
	// What changes while the copy grows old is lost.
	w.replaceRoute()
	w.replaceKey()
	w.writeOthers(lostWrites)
	done := make(chan struct{})
	time.AfterFunc(age, func() {
		defer close(done)
		end := w.disruptStore(standin.Fault{Outage: standin.Silent})
		time.Sleep(away)
		w.returnStore(from)
		w.writeOthers(writes)
		end()
		time.Sleep(lag)
		w.rewrite()
		w.returning.Store(false)
	})
	return fmt.Sprintf("the store returns from a copy of now, in %v, after %v away, with %d other writes", age, away, writes), func() { <-done }
}

// returnUnnoticed makes the store return from a copy and count on, past the revision that the processes know,
// before they reach it. It returns the version of a configuration that is written in between. The copy is of
// before half of the processes had written their entries.
func (w *environment) returnUnnoticed() (version uint64) {
	var lost []string
	for i := 0; i < len(w.processes); i += 2 {
		lost = append(lost, w.processes[i].name)
	}
	from := w.store.Copy().Without(platform.KindInstance, lost...)
	w.writeOthers(lostWrites)
	w.replaceKey()
	time.Sleep(applyWithin)
	end := w.disruptStore(standin.Fault{Outage: standin.Silent})
	time.Sleep(maxReturnAway / 2)
	w.returnStore(from)
	version = w.replaceRoute()
	w.writeOthers(2 * lostWrites)
	end()
	w.rewrite()
	time.Sleep(settleTime)
	return version
}

// restoreWithin is how long after its return the store lacks what processes had written.
const restoreWithin = 12 * time.Second

// missingEntries returns the processes whose entries the store lacks. It waits until there are none, but at
// most for restoreWithin.
func (w *environment) missingEntries() []string {
	for until := time.Now().Add(restoreWithin); ; time.Sleep(readyPollInterval) {
		entries := w.store.Names(platform.KindInstance)
		var missing []string
		for _, p := range w.processes {
			if !slices.Contains(entries, p.name) {
				missing = append(missing, p.name)
			}
		}
		if len(missing) == 0 || time.Now().After(until) {
			return missing
		}
	}
}

// revocation is the write that revoked a key.
type revocation struct {
	// at is when the store had accepted it, and version the configuration that it wrote.
	at      time.Time
	version uint64
	// lost is set while the store does not hold it and no answer of the store ever has.
	lost bool
}

// returnStore makes the store return from a copy. A revocation that is lost before any process could read it
// counts from when it is written again.
func (w *environment) returnStore(from standin.Copy) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.store.Return(from)
	served := w.store.ServedConfiguration()
	for key, r := range w.revoked {
		r.lost = r.lost || r.version > served
		w.revoked[key] = r
	}
}

// putConfiguration writes the configuration. The caller holds mu.
func (w *environment) putConfiguration() {
	w.store.PutConfiguration(&w.config)
	now := time.Now()
	for key, r := range w.revoked {
		if r.lost {
			w.revoked[key] = revocation{at: now, version: r.version}
		}
	}
}

// writeOthers writes objects that no process reads.
func (w *environment) writeOthers(n int) {
	for i := range n {
		w.store.Put("others", fmt.Sprint("o", i), time.Now().UnixNano())
	}
}

// rewrite writes the newest configuration and the orders again, as an operator does that finds older ones.
func (w *environment) rewrite() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.putConfiguration()
	for _, o := range w.rollouts.orders {
		if o.ended.Load() {
			w.store.Remove(platform.KindRollout, rolloutService)
		} else {
			w.store.PutRollout(rolloutService, badBuildName, rolloutDuration)
		}
	}
}
