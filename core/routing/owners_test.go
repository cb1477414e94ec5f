package routing

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/rendezvous"
)

// The load of a large fleet: 300 instances in front of 256 engines, and 77 streams a second with
// prompts of 8,000 tokens, which an engine prefills in a second. At any time a third of the engines
// are prefilling. A pick with full knowledge nearly always finds one that is not; a pick with
// little knowledge does not.
const (
	loadInstances, loadEngines = 300, 256
	loadStreamsPerSecond       = 77
	loadPromptTokens           = 8000
	loadTokensPerMS            = 8 // tokens prefilled a millisecond
	loadStreamDuration         = 5 * time.Second
	loadDuration               = 8 * time.Second
	loadStep                   = time.Millisecond
)

// prefillFleet is a set of instances that place streams at engines, each of which prefills one
// prompt after the other.
type prefillFleet struct {
	now          time.Time
	rnd          *rand.Rand
	views        []*View
	backlog      map[string]time.Time // when each engine will have prefilled all of its prompts
	prefillWaits []time.Duration      // time from the placement of each stream until its prompt was prefilled
	due          []event
}

type event struct {
	at time.Time
	do func()
}

func newPrefillFleet(instances int) *prefillFleet {
	f := &prefillFleet{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(7, 7)), backlog: map[string]time.Time{}}
	s := DefaultSettings()
	s.ByPrompt, s.Choices, s.FallBackToSuspected = true, 6, true
	for range instances {
		v := NewView(s)
		for e := range loadEngines {
			v.Upsert(Endpoint{ID: fmt.Sprint("e", e), Service: "s", DataCentre: fmt.Sprint("dc", e%5), Slots: 6, Memory: 88000})
		}
		f.views = append(f.views, v)
	}
	return f
}

func (f *prefillFleet) after(d time.Duration, do func()) {
	e := event{f.now.Add(d), do}
	at, _ := slices.BinarySearchFunc(f.due, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.due = slices.Insert(f.due, at, e)
}

// run simulates the load. update refreshes an instance's knowledge before a pick; report tells
// other instances of a change.
func (f *prefillFleet) run(update func(i int, r *Request), report func(i int, engine string)) {
	end := f.now.Add(loadDuration)
	arrivals := 0.0
	for ; f.now.Before(end); f.now = f.now.Add(loadStep) {
		for len(f.due) > 0 && !f.due[0].at.After(f.now) {
			do := f.due[0].do
			f.due = f.due[1:]
			do()
		}
		for arrivals += loadStreamsPerSecond * loadStep.Seconds() * 2 * f.rnd.Float64(); arrivals >= 1; arrivals-- {
			f.place(f.rnd.IntN(len(f.views)), update, report)
		}
	}
}

func (f *prefillFleet) place(i int, update func(i int, r *Request), report func(i int, engine string)) {
	v := f.views[i]
	r := &Request{
		Service: "s", DataCentre: fmt.Sprint("dc", i%5), Prefixes: []uint64{f.rnd.Uint64() | 1}, Tokens: loadPromptTokens + 1200, PromptTokens: loadPromptTokens,
		Weights: Weights{Remote: 0.02, PendingPrefill: 1, Running: 0.5, Memory: 0.3},
	}
	update(i, r)
	d, err := v.Pick(f.now, r, f.rnd)
	if err != nil {
		return
	}
	engine, placed := d.Endpoint.ID, Placed{Tokens: r.Tokens, PendingPrefill: r.PromptTokens}
	v.Sent(f.now, engine)
	v.Place(engine, placed)
	report(i, engine)
	begins := f.now
	if f.backlog[engine].After(begins) {
		begins = f.backlog[engine]
	}
	read := begins.Add(time.Duration(loadPromptTokens/loadTokensPerMS) * time.Millisecond)
	f.backlog[engine] = read
	f.prefillWaits = append(f.prefillWaits, read.Sub(f.now))
	f.after(read.Sub(f.now), func() {
		v.Release(engine, Placed{PendingPrefill: r.PromptTokens})
		report(i, engine)
	})
	f.after(read.Sub(f.now)+loadStreamDuration, func() {
		v.Finished(f.now, engine)
		v.Release(engine, Placed{Tokens: r.Tokens})
		report(i, engine)
	})
}

// lateShare returns the share of the streams whose prompt waited for others for longer than a
// quarter of its own prefill time.
func (f *prefillFleet) lateShare() float64 {
	n := 0
	for _, w := range f.prefillWaits {
		if w > time.Duration(1.25*loadPromptTokens/loadTokensPerMS)*time.Millisecond {
			n++
		}
	}
	return float64(n) / float64(len(f.prefillWaits))
}

func noUpdate(int, *Request) {}
func noReport(int, string)   {}

// ownerOf returns which instance receives all placements at an engine.
func ownerOf(engine string, instances int) int {
	return int(rendezvous.Weight(engine, "owner") % uint64(instances))
}

// TestOwnerSummariesNearlyMatchFullKnowledge compares picks with three kinds of knowledge: all
// placements; the summaries of the engines' owners, which have to be nearly as good; and reports
// that reach a fifth of the other instances once a second.
func TestOwnerSummariesNearlyMatchFullKnowledge(t *testing.T) {
	const roundTrip = 3 * time.Millisecond
	full := newPrefillFleet(1) // one instance that knows all placements
	full.run(noUpdate, noReport)

	owned := newPrefillFleet(loadInstances)
	for i, v := range owned.views {
		v.SetOwned(func(id string) bool { return ownerOf(id, loadInstances) == i })
	}
	owned.run(func(i int, r *Request) {
		for _, e := range owned.views[i].LikelyEndpoints(owned.now, r, 10) {
			if s, ok := owned.views[ownerOf(e.ID, loadInstances)].Summary(owned.now, e.ID, fmt.Sprint(i), r.Prefixes[0]); ok {
				owned.views[i].ApplySummary(owned.now, &s, r.Prefixes[0])
			}
		}
	}, func(i int, engine string) {
		v, owner := owned.views[i], owned.views[ownerOf(engine, loadInstances)]
		ownReport := PeerReport{Placed: v.OwnPlacements()}
		owned.after(roundTrip, func() {
			owner.SetPeerReport(owned.now, fmt.Sprint(i), ownReport.Filter(func(id string) bool { return ownerOf(id, loadInstances) == ownerOf(engine, loadInstances) }))
		})
	})

	const reportedTo, reportInterval = 64, time.Second
	partial := newPrefillFleet(loadInstances)
	var announce func(i int)
	announce = func(i int) {
		ownReport := PeerReport{Placed: partial.views[i].OwnPlacements()}
		for _, to := range partial.rnd.Perm(loadInstances)[:reportedTo] {
			if to != i {
				partial.views[to].SetPeerReport(partial.now, fmt.Sprint(i), ownReport)
			}
		}
		partial.after(reportInterval, func() { announce(i) })
	}
	for i := range loadInstances {
		partial.after(time.Duration(partial.rnd.Int64N(int64(reportInterval))), func() { announce(i) })
	}
	partial.run(noUpdate, noReport)

	t.Logf("share of late prompts: %.3f with full knowledge, %.3f with owner summaries, %.3f with reports to a fifth", full.lateShare(), owned.lateShare(), partial.lateShare())
	assert.Assert(t, owned.lateShare() <= full.lateShare()+0.02, "%.3f", owned.lateShare())
	assert.Assert(t, partial.lateShare() > 3*owned.lateShare()+0.05, "the test load does not tell summaries from partial reports: %.3f", partial.lateShare())
}
