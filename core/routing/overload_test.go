package routing

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/limits"
)

// A fleet too large for all to tell all, before engines that hold eight streams each.
const (
	peakInstances, peakEngines, peakDataCentres = 69, 90, 5

	peakMemory             = 55000
	peakPrompt, peakTokens = 5000, 6200
	peakHolds              = peakMemory / peakTokens
)

type peakFleet struct {
	now   time.Time
	rnd   *rand.Rand
	views []*View
	held  map[string]int // tokens at each engine
}

func peakDataCentre(engine int) string { return fmt.Sprint("dc", engine%peakDataCentres) }

func newPeakFleet() *peakFleet {
	f := &peakFleet{now: time.Unix(0, 0), rnd: rand.New(rand.NewPCG(3, 3)), held: map[string]int{}}
	s := DefaultSettings()
	s.ByPrompt, s.Choices, s.LastResort = true, 6, true
	for i := range peakInstances {
		v := NewView(s)
		for e := range peakEngines {
			v.Upsert(Endpoint{ID: fmt.Sprint("e", e), Service: "s", DataCentre: peakDataCentre(e), Slots: 16, Memory: peakMemory})
		}
		v.SetOwned(func(id string) bool { return f.owner(id) == i })
		f.views = append(f.views, v)
	}
	return f
}

func (f *peakFleet) owner(engine string) int { return ownerOf(engine, peakInstances) }

// fill fills an engine but for less than a stream.
func (f *peakFleet) fill(engine string) {
	w := Placed{Open: peakHolds, Tokens: peakHolds * peakTokens}
	f.views[f.owner(engine)].Place(engine, w)
	f.held[engine] += w.Tokens
}

func (f *peakFleet) request() *Request {
	return &Request{
		Service: "s", DataCentre: peakDataCentre(f.rnd.IntN(peakDataCentres)), Prefixes: []uint64{f.rnd.Uint64() | 1},
		Tokens: peakTokens, Prompt: peakPrompt, Weights: Weights{Remote: 0.02, Unread: 1, Running: 0.5, Memory: 0.3},
	}
}

func (f *peakFleet) learn(i int, engine string, prompt uint64) {
	if s, ok := f.views[f.owner(engine)].Summary(f.now, engine, fmt.Sprint(i), prompt); ok {
		f.views[i].Learn(f.now, &s, prompt)
	}
}

// ask brings an instance's knowledge of some engines up to date, the n-th ten of those that rank highest for the prompt.
func (f *peakFleet) ask(i, n int, r *Request) {
	const most = 10
	likely := f.views[i].Likely(f.now, r, most*(n+1))
	for _, e := range likely[min(most*n, len(likely)):] {
		f.learn(i, e.ID, r.Prefixes[0])
	}
}

// place sends a stream to an engine, with or without a claim, and tells whether one had room. Owners do not hear of it yet.
func (f *peakFleet) place(i int, r *Request, claims bool) bool {
	const tries = 6
	r.Avoid = nil
	for range tries {
		d, err := f.views[i].Pick(f.now, r, f.rnd)
		if err != nil {
			return false
		}
		engine := d.Endpoint.ID
		if claims {
			granted, _ := f.views[f.owner(engine)].Claim(f.now, engine, fmt.Sprint(i), Claim{Tokens: r.Tokens, Unread: r.Prompt})
			if !granted {
				f.learn(i, engine, r.Prefixes[0])
				r.Avoid = append(r.Avoid, engine)
				continue
			}
		}
		f.views[i].Place(engine, Placed{Open: 1, Tokens: r.Tokens, Unread: r.Prompt})
		f.held[engine] += r.Tokens
		return true
	}
	return false
}

// TestEnginesThatComeBackAreNotOverfilled: the pattern is a data centre whose engines were lost under a peak and come back empty. All
// instances place the streams that wait at once, within the time that news of a placement takes.
func TestEnginesThatComeBackAreNotOverfilled(t *testing.T) {
	play := func(claims bool) (placed, most int) {
		f := newPeakFleet()
		for e := range peakEngines {
			if peakDataCentre(e) != "dc0" {
				f.fill(fmt.Sprint("e", e))
			}
		}
		waiting := make([]*Request, 2*peakInstances)
		for n := range waiting {
			waiting[n] = f.request()
		}
		for look := range peakEngines / 10 {
			for n, r := range waiting {
				if r == nil {
					continue
				}
				i := n % peakInstances
				f.ask(i, look, r)
				if f.place(i, r, claims) {
					waiting[n] = nil
					placed++
				}
			}
		}
		for _, tokens := range f.held {
			most = max(most, tokens)
		}
		return placed, most
	}
	const room = peakEngines / peakDataCentres * peakHolds
	placed, most := play(true)
	assert.Assert(t, most <= peakMemory, "%d tokens at one engine", most)
	assert.Assert(t, placed >= min(room, 2*peakInstances)*9/10, "%d of %d streams placed, %d places", placed, 2*peakInstances, room)
	_, most = play(false)
	assert.Assert(t, most > peakMemory*3/2, "the load tells the two apart: %d", most)
}

// TestFullEnginesAreNotPassedOverForUnknownOnes: the pattern is a peak that has filled all engines. Those asked about are full, and of
// the others nothing is known; they are as full.
func TestFullEnginesAreNotPassedOverForUnknownOnes(t *testing.T) {
	f := newPeakFleet()
	for e := range peakEngines {
		f.fill(fmt.Sprint("e", e))
	}
	for range 200 {
		i, r := f.rnd.IntN(peakInstances), f.request()
		f.ask(i, 0, r)
		assert.Assert(t, !f.place(i, r, false))
	}
	// Where owners do not answer, nothing is known of any engine, and streams go on.
	f = newPeakFleet()
	f.views[0].SetOwned(func(string) bool { return false })
	assert.Assert(t, f.place(0, f.request(), false))
}

// TestPromptIsNotReadAgainForWantOfNews: the pattern is the return of a fleet that was killed. The engine that keeps the prompt was found,
// and its owners have not answered yet; that nothing is known of it does not make another one better.
func TestPromptIsNotReadAgainForWantOfNews(t *testing.T) {
	f := newPeakFleet()
	const i = 0
	r := f.request()
	r.Weights.Cache = 2
	holder := ""
	for e := range peakEngines {
		if id := fmt.Sprint("e", e); f.owner(id) != i && holder == "" {
			holder = id
		} else {
			f.learn(i, id, r.Prefixes[0])
		}
	}
	f.views[i].CacheStored(f.now, holder, r.Prefixes[0])
	d, err := f.views[i].Pick(f.now, r, f.rnd)
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.ID, holder)
}

// TestLostDataCentreIsNotRoom: the pattern is a data centre that is lost under a peak. Its engines hold nothing, as it seems, and all
// others are full: streams wait for these.
func TestLostDataCentreIsNotRoom(t *testing.T) {
	f := newPeakFleet()
	const i = 0
	for e := range peakEngines {
		if peakDataCentre(e) != "dc0" {
			f.fill(fmt.Sprint("e", e))
		}
	}
	failed := 0
	for e := range peakEngines {
		if peakDataCentre(e) == "dc0" && failed < peakEngines/peakDataCentres*2/3 {
			f.views[i].Failed(f.now, fmt.Sprint("e", e))
			failed++
		}
	}
	for range 50 {
		r := f.request()
		for n := range peakEngines / 10 {
			f.ask(i, n, r)
		}
		assert.Assert(t, !f.place(i, r, false))
	}
}

// TestCopiesLeaveRoom: the pattern is a peak in which streams wait. Copies of running streams go anywhere in calm times, also to engines
// of which nothing is known; while streams wait they take less, and only where there is known to be room.
func TestCopiesLeaveRoom(t *testing.T) {
	f := newPeakFleet()
	for e := range peakEngines {
		f.views[f.owner(fmt.Sprint("e", e))].Place(fmt.Sprint("e", e), Placed{Open: 3, Tokens: 3 * peakTokens})
	}
	for _, c := range []struct{ asked, short, placed bool }{{false, false, true}, {true, false, true}, {true, true, false}, {false, true, false}} {
		i, r := f.rnd.IntN(peakInstances), f.request()
		if c.asked {
			f.ask(i, 0, r)
		}
		r.Copy, r.Short = true, c.short
		assert.Equal(t, f.place(i, r, false), c.placed, "%+v", c)
		f.now = f.now.Add(summaryTTL)
	}
}

// Engines of the curve of offered load: they read one prompt after the other, at 5 tokens a ms.
const (
	curveEngines = 30
	curveReads   = peakPrompt / 5 * time.Millisecond
	curveLasts   = 4 * time.Second // from the first event on
	curveAim     = 4500 * time.Millisecond
	curveStep    = 10 * time.Millisecond
	curveFor     = 20 * time.Second
)

// curve offers streams to engines for a while, and returns how many had their first event in time, a second. within is the part of
// the time left in which an engine has to have read a prompt; 0 for any.
func curve(perSecond, within float64) float64 {
	s := DefaultSettings()
	s.ByPrompt, s.Choices = true, 6
	v, rnd, line := NewView(s), rand.New(rand.NewPCG(5, 5)), limits.WaitQueue{}
	for e := range curveEngines {
		v.Upsert(Endpoint{ID: fmt.Sprint("e", e), Service: "s", Slots: 16, Memory: 2 * peakMemory})
	}
	type stream struct {
		r       *Request
		arrived time.Time
	}
	type finish struct {
		engine string
		placed Placed
		ended  bool
	}
	now := time.Unix(0, 0)
	waiting, due := map[uint64]stream{}, map[time.Time][]finish{}
	backlog := map[string]time.Time{}
	inTime, next, offered := 0, uint64(0), 0.0
	send := func(w stream) bool {
		w.r.Within = time.Duration(within * float64(curveAim-now.Sub(w.arrived)))
		d, err := v.Pick(now, w.r, rnd)
		if err != nil {
			return false
		}
		engine := d.Endpoint.ID
		read := now
		if backlog[engine].After(read) {
			read = backlog[engine]
		}
		read = read.Add(curveReads)
		backlog[engine] = read
		if read.Sub(w.arrived) <= curveAim {
			inTime++
		}
		v.Sent(now, engine)
		v.Place(engine, Placed{Tokens: peakTokens, Unread: peakPrompt})
		v.Read(now, engine, peakPrompt, curveReads)
		due[read] = append(due[read], finish{engine, Placed{Unread: peakPrompt}, false})
		due[read.Add(curveLasts)] = append(due[read.Add(curveLasts)], finish{engine, Placed{Tokens: peakTokens}, true})
		return true
	}
	for end := now.Add(curveFor); now.Before(end); now = now.Add(curveStep) {
		for _, f := range due[now] {
			v.Release(f.engine, f.placed)
			if f.ended {
				v.Finished(now, f.engine)
			}
		}
		for _, id := range slices.Sorted(maps.Keys(waiting)) {
			w := waiting[id]
			if line.IsFirst(id) {
				if send(w) {
					line.RecordAdmission(now)
				} else if line.RecordFull(now); now.Sub(w.arrived) < curveAim/2 {
					continue
				}
				line.Leave(id)
				delete(waiting, id)
			} else if now.Sub(w.arrived) >= curveAim/2 {
				line.Leave(id)
				delete(waiting, id)
			}
		}
		for offered += perSecond * curveStep.Seconds(); offered >= 1; offered-- {
			next++
			w := stream{&Request{Service: "s", Prefixes: []uint64{rnd.Uint64() | 1}, Tokens: peakTokens, Prompt: peakPrompt,
				Weights: Weights{Unread: 1, Running: 0.5, Memory: 0.3}}, now}
			if waits, _ := line.Join(now, next, 0, now.Add(curveAim/2)); waits {
				waiting[next] = w
			}
		}
	}
	return float64(inTime) / curveFor.Seconds()
}

// TestNoCollapseUnderOverload: the pattern is an offered load of up to four times what engines can read. What is served in time stays
// at nine tenths or more of its peak, since no engine gets more prompts than it can read in time.
func TestNoCollapseUnderOverload(t *testing.T) {
	const capacity = curveEngines * float64(time.Second) / float64(curveReads)
	for _, within := range []float64{0, 0.75} {
		peak, least := 0.0, 0.0
		for _, m := range []float64{0.5, 0.75, 1, 1.5, 2, 2.5, 3, 4} {
			served := curve(m*capacity, within)
			t.Logf("within %.2f of what is left: %.1f offered, %.1f in time a second", within, m*capacity, served)
			if served > peak {
				peak, least = served, served
			}
			least = min(least, served)
		}
		if within > 0 {
			assert.Assert(t, least >= 0.9*peak, "%.1f of %.1f", least, peak)
			assert.Assert(t, peak >= 0.9*capacity, "%.1f of %.1f", peak, capacity)
		} else {
			assert.Assert(t, least < 0.9*peak, "the load tells the two apart: %.1f of %.1f", least, peak)
		}
	}
}

// TestCopiesThatMoveTakeRoomOfRequests: the pattern is a service that moves to other engines. Its streams will run where their copies are,
// so the copies may fill the engines as the streams would; those that found no room read their prompts again when the old engines stopped.
func TestCopiesThatMoveTakeRoomOfRequests(t *testing.T) {
	place := func(used int, short, moves bool) error {
		now := time.Unix(0, 0)
		v := NewView(DefaultSettings())
		v.Upsert(Endpoint{ID: "e", Service: "s", Slots: 16, Memory: 100})
		v.Place("e", Placed{Tokens: used})
		_, err := v.Pick(now, &Request{Service: "s", Tokens: 10, Copy: true, Short: short, Moves: moves}, rand.New(rand.NewPCG(1, 1)))
		return err
	}
	for _, short := range []bool{false, true} {
		assert.NilError(t, place(30, short, false))
		assert.ErrorIs(t, place(60, short, false), ErrFull)
		assert.NilError(t, place(60, short, true))
		assert.NilError(t, place(90, short, true))
		assert.ErrorIs(t, place(91, short, true), ErrFull)
	}
}
