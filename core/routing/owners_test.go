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

// The load of a large fleet: 300 instances before 256 engines, 77 streams a second with prompts of 8,000 tokens, which an
// engine reads in a second. A third of the engines read at any time, so a choice that knows all nearly always finds one
// that reads nothing, and one that knows little does not.
const (
	loadInstances, loadEngines = 300, 256
	loadStreams                = 77 // a second
	loadSlots                  = 6
	loadPrompt                 = 8000
	loadPerMS                  = 8 // tokens read a millisecond
	loadLasts                  = 5 * time.Second
	loadFor                    = 8 * time.Second
	loadStep                   = time.Millisecond
)

// readingFleet is instances that place streams at engines which read one prompt after the other.
type readingFleet struct {
	now     time.Time
	rnd     *rand.Rand
	views   []*View
	streams float64              // a second
	backlog map[string]time.Time // until when an engine reads what it has
	running map[string]int
	waits   []time.Duration // of each stream until its prompt was read
	over    int             // streams placed at an engine that held as many as it may
	refused int             // streams for which no room was found
	due     []event
}

type event struct {
	at time.Time
	do func()
}

func newReadingFleet(instances int) *readingFleet {
	f := &readingFleet{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(7, 7)), streams: loadStreams, backlog: map[string]time.Time{}, running: map[string]int{}}
	s := DefaultSettings()
	s.ByPrompt, s.Choices, s.LastResort = true, 6, true
	for range instances {
		v := NewView(s)
		for e := range loadEngines {
			v.Upsert(Endpoint{ID: fmt.Sprint("e", e), Service: "s", DataCentre: fmt.Sprint("dc", e%5), Slots: loadSlots, Memory: 88000})
		}
		f.views = append(f.views, v)
	}
	return f
}

func (f *readingFleet) after(d time.Duration, do func()) {
	e := event{f.now.Add(d), do}
	at, _ := slices.BinarySearchFunc(f.due, e, func(a, b event) int { return cmp.Or(a.at.Compare(b.at), -1) })
	f.due = slices.Insert(f.due, at, e)
}

// run plays the load. know brings an instance's knowledge up to date before a choice, and tells whether to choose at all; tell
// tells others of a change.
func (f *readingFleet) run(know func(i int, r *Request) bool, tell func(i int, engine string)) {
	end := f.now.Add(loadFor)
	arrivals := 0.0
	for ; f.now.Before(end); f.now = f.now.Add(loadStep) {
		for len(f.due) > 0 && !f.due[0].at.After(f.now) {
			do := f.due[0].do
			f.due = f.due[1:]
			do()
		}
		for arrivals += f.streams * loadStep.Seconds() * 2 * f.rnd.Float64(); arrivals >= 1; arrivals-- {
			f.place(f.rnd.IntN(len(f.views)), know, tell)
		}
	}
}

func (f *readingFleet) place(i int, know func(i int, r *Request) bool, tell func(i int, engine string)) {
	v := f.views[i]
	r := &Request{
		Service: "s", DataCentre: fmt.Sprint("dc", i%5), Prefixes: []uint64{f.rnd.Uint64() | 1}, Tokens: loadPrompt + 1200, Prompt: loadPrompt,
		Weights: Weights{Remote: 0.02, Unread: 1, Running: 0.5, Memory: 0.3},
	}
	if !know(i, r) {
		f.refused++
		return
	}
	d, err := v.Pick(f.now, r, f.rnd)
	if err != nil {
		f.refused++
		return
	}
	if float64(f.running[d.Endpoint.ID]) >= v.set.QueueFactor*loadSlots {
		f.over++
	}
	engine, placed := d.Endpoint.ID, Placed{Tokens: r.Tokens, Unread: r.Prompt}
	v.Sent(f.now, engine)
	v.Place(engine, placed)
	f.running[engine]++
	tell(i, engine)
	begins := f.now
	if f.backlog[engine].After(begins) {
		begins = f.backlog[engine]
	}
	read := begins.Add(time.Duration(loadPrompt/loadPerMS) * time.Millisecond)
	f.backlog[engine] = read
	f.waits = append(f.waits, read.Sub(f.now))
	f.after(read.Sub(f.now), func() {
		v.Release(engine, Placed{Unread: r.Prompt})
		tell(i, engine)
	})
	f.after(read.Sub(f.now)+loadLasts, func() {
		v.Finished(f.now, engine)
		v.Release(engine, Placed{Tokens: r.Tokens})
		f.running[engine]--
		tell(i, engine)
	})
}

// late returns the share of the streams whose prompt waited for another one for longer than a quarter of its own
// reading.
func (f *readingFleet) late() float64 {
	n := 0
	for _, w := range f.waits {
		if w > time.Duration(1.25*loadPrompt/loadPerMS)*time.Millisecond {
			n++
		}
	}
	return float64(n) / float64(len(f.waits))
}

// ownedFleet is one in which each engine has an owner, which hears what is placed there and is asked before a choice.
type ownedFleet struct{ *readingFleet }

func newOwnedFleet() *ownedFleet {
	f := &ownedFleet{newReadingFleet(loadInstances)}
	for i, v := range f.views {
		v.SetOwned(func(id string) bool { return ownersOf(id) == i })
	}
	return f
}

// askedAtOnce is how many engines are asked about in one round.
const askedAtOnce = 10

func (f *ownedFleet) askLikely(i int, r *Request) bool {
	f.ask(i, r, f.views[i].Likely(f.now, r, askedAtOnce))
	return true
}

func (f *ownedFleet) ask(i int, r *Request, engines []Endpoint) {
	for _, e := range engines {
		if s, ok := f.views[ownersOf(e.ID)].Summary(f.now, e.ID, fmt.Sprint(i), r.Prefixes[0]); ok {
			f.views[i].Learn(f.now, &s, r.Prefixes[0])
		}
	}
}

// askUntilKnown asks about more engines as long as the best one is not known. If that remains so, all are taken to be full.
func (f *ownedFleet) askUntilKnown(i int, r *Request) bool {
	f.askLikely(i, r)
	for range 4 {
		d, err := f.views[i].Pick(f.now, r, f.rnd)
		if err != nil || d.Known {
			return err == nil
		}
		f.ask(i, r, f.views[i].Unknown(f.now, r, askedAtOnce))
	}
	return false
}

func (f *ownedFleet) tellOwner(i int, engine string) {
	const roundTrip = 3 * time.Millisecond
	told := Told{Placed: f.views[i].Own()}
	owner := ownersOf(engine)
	f.after(roundTrip, func() {
		f.views[owner].SetPeer(f.now, fmt.Sprint(i), told.Only(func(id string) bool { return ownersOf(id) == owner }))
	})
}

func nothing(int, *Request) bool { return true }
func nobody(int, string)         {}
func ownersOf(engine string) int { return int(rendezvous.Weight(engine, "owner") % loadInstances) }

// TestChoicesKnowTheEngines compares what an instance knows when it chooses: what all others placed, nearly as the owners of
// the engines tell it, or what a fifth of the others told within the last second.
func TestChoicesKnowTheEngines(t *testing.T) {
	all := newReadingFleet(1) // one that knows all
	all.run(nothing, nobody)

	owned := newOwnedFleet()
	owned.run(owned.askLikely, owned.tellOwner)

	const toldOf, each = 64, time.Second
	some := newReadingFleet(loadInstances)
	var announce func(i int)
	announce = func(i int) {
		told := Told{Placed: some.views[i].Own()}
		for _, to := range some.rnd.Perm(loadInstances)[:toldOf] {
			if to != i {
				some.views[to].SetPeer(some.now, fmt.Sprint(i), told)
			}
		}
		some.after(each, func() { announce(i) })
	}
	for i := range loadInstances {
		some.after(time.Duration(some.rnd.Int64N(int64(each))), func() { announce(i) })
	}
	some.run(nothing, nobody)

	t.Logf("prompts that waited for another one: %.3f of one that knows all, %.3f asking owners, %.3f told by a fifth", all.late(), owned.late(), some.late())
	assert.Assert(t, owned.late() <= all.late()+0.02, "%.3f", owned.late())
	assert.Assert(t, some.late() > 3*owned.late()+0.05, "the load tells the two apart: %.3f", some.late())
}

// TestFullEnginesAreKnown: nearly all engines are full, as in a burst, so the few that an instance asked about have no room. A
// choice among those that it knows nothing of met full ones, which refuse, or take the stream and drop another one: in
// fleets of 87 instances twice as many prompts were read in vain. Asked about more of them, few are met.
func TestFullEnginesAreKnown(t *testing.T) {
	const burst = 360 // streams a second, of 6 s each: 2,160 for 2,048 places
	once := newOwnedFleet()
	once.streams = burst
	once.run(once.askLikely, once.tellOwner)
	until := newOwnedFleet()
	until.streams = burst
	until.run(until.askUntilKnown, until.tellOwner)
	t.Logf("placed at full engines: %d asked once, %d asked until one is known; refused: %d, %d", once.over, until.over, once.refused, until.refused)
	assert.Assert(t, once.over > 100, "the load tells the two apart: %d", once.over)
	assert.Assert(t, until.over*5 < once.over, "%d", until.over)
	assert.Assert(t, until.refused < 2*once.over, "no more are refused than there is no place for: %d", until.refused)
}
