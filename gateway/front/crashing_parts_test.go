package front_test

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
	"github.com/agateway/agateway/platform/standin"
)

// fatalPart is the part of a prompt that crashes each engine that begins an answer on it.
const fatalPart = "bad"

// fatalPartTest describes requests whose prompts share a fatal part, beside sound requests of the same team.
type fatalPartTest struct {
	name            string
	fronts, engines int
	// afterEvents is the number of events that an engine sends before it crashes.
	afterEvents int
	// fatalParts are the shared parts of the fatal requests, soundParts those of the sound ones.
	fatalParts, soundParts []string
	// teams are the keys of the teams that send fatal requests in turn.
	teams []string
	// restartAfter is when all instances are killed, after the first fatal request; 0 for never.
	// restartAtCrash is the crash after which they are; 0 for none.
	restartAfter   time.Duration
	restartAtCrash int
	// disturb brings about another fault during the test; nil for none.
	disturb func(w *world)
	// duringPrefill makes engines crash before they begin the answer, silent makes them fall silent.
	duringPrefill, silent bool
	// once sends streams that may not be resumed. unframed makes engines answer without a length and chunks.
	once, unframed bool
}

func fatalPartTests() []fatalPartTest {
	one, parts := []string{deskKey}, []string{fatalPart}
	sound := []string{"ca"}
	return []fatalPartTest{
		{name: "alone", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one},
		{name: "after events", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, afterEvents: 5},
		{name: "between shared parts", fronts: 9, engines: 24, fatalParts: []string{"ca", fatalPart, "cb"}, soundParts: []string{"ca", "cb"}, teams: one},
		{name: "of two teams", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: []string{deskKey, fieldKey}},
		{name: "of eight teams", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: eightTeams()},
		{name: "restart of all", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, restartAfter: 8 * time.Second},
		{name: "restart at the third crash", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, restartAtCrash: 3},
		{name: "restart before the third crash", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, restartAtCrash: 2},
		{name: "store unavailable", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, disturb: (*world).loseStore},
		{name: "data centre cut off", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, disturb: (*world).cutOffDataCentre},
		{name: "drains in series", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, disturb: (*world).drainInSeries},
		{name: "engines fall silent", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, silent: true},
		{name: "during prefill", fronts: 9, engines: 24, fatalParts: parts, soundParts: sound, teams: one, duringPrefill: true},
		{name: "in the first part of a few", fronts: 6, engines: 12, fatalParts: []string{fatalPart, "ca", "cb"}, soundParts: []string{"ca", "cb"}, teams: one},
		{name: "many instances", fronts: 90, engines: 90, fatalParts: parts, soundParts: sound, teams: one},
	}
}

// Requests of a test of fatal parts, and what the instances have to hold.
const (
	fatalPartInterval = 350 * time.Millisecond
	fatalPartDuration = 28 * time.Second
	soundInterval     = 200 * time.Millisecond
	soundBefore       = 60
	soundDuring       = 150
	// countedCrashes is the number of crashes from which on sends are bounded, and maxLateSends is how many
	// fatal requests may reach engines later than detectionTime after it.
	countedCrashes = 5
	maxLateSends   = 3
)

// TestPromptPartThatCrashesEngines guards against requests with one part in their prompts that crash engine
// after engine, while each has its own content: records of crashes were kept by content alone, so each of
// the requests began without knowledge of the others, and the sound requests of their team were held back.
func TestPromptPartThatCrashesEngines(t *testing.T) {
	for _, c := range fatalPartTests() {
		t.Run(c.name, func(t *testing.T) {
			runWith(t, c.fronts, c.engines, 1, c.addTeams, c.check)
		})
	}
}

// eightTeams returns the keys of eight teams.
func eightTeams() []string {
	keys := []string{deskKey, fieldKey}
	for len(keys) < 8 {
		keys = append(keys, fmt.Sprint("key-of-team-", len(keys)))
	}
	return keys
}

// addTeams adds the teams to the configuration that it lacks.
func (c *fatalPartTest) addTeams(w *world) {
	for _, key := range c.teams {
		if !slices.ContainsFunc(w.config.Teams, func(t route.Team) bool { return slices.Contains(t.Keys, key) }) {
			w.config.Teams = append(w.config.Teams, route.Team{Name: key, Keys: []string{key}})
		}
	}
}

// check sends fatal and sound requests, and checks how many of them reach engines and are served.
func (c *fatalPartTest) check(w *world) {
	t := w.t
	if c.unframed {
		for _, e := range w.engines {
			e.SetFault(standin.WorkerFault{Unframed: true})
		}
	}
	before := c.sendSound(w, soundBefore, 0)
	assert.Equal(t, countServed(before()), soundBefore)
	w.withFatalRequests(c.fatal(), func(o *crashWorld) {
		o.unframed = c.unframed
		sound := c.sendSound(w, soundDuring, soundBefore)
		if c.restartAfter > 0 {
			time.AfterFunc(c.restartAfter, func() { w.restartAll(500 * time.Millisecond) })
		}
		o.silent = c.silent
		if c.restartAtCrash > 0 {
			go o.restartAllAtCrash(c.restartAtCrash)
		}
		if c.disturb != nil {
			c.disturb(w)
		}
		c.sendFatal(o)
		served := countServed(sound())
		late := o.fatalPartSends(countedCrashes, detectionTime)
		t.Logf("%d engines ended, %d sends too late, %d of %d sound requests complete at the first attempt", len(o.crashes()), late, served, soundDuring)
		assert.Check(t, late <= maxLateSends, "%d fatal requests reached engines after the detection time", late)
		assert.Check(t, 2*served >= soundDuring, "%d of %d sound requests", served, soundDuring)
	})
}

func (c *fatalPartTest) fatal() standin.FatalRequest {
	return standin.FatalRequest{AfterEvents: c.afterEvents, DuringPrefill: c.duringPrefill, Matches: hasFatalPart}
}

func hasFatalPart(r *standin.Run) bool { return slices.Contains(r.PromptParts, fatalPart) }

// sendSound sends n sound requests at a fixed interval in the background, each once and with content of its
// own. The function that it returns waits for all answers.
func (c *fatalPartTest) sendSound(w *world, n, first int) (wait func() []standin.Answer) {
	answers := make([]standin.Answer, n)
	var work sync.WaitGroup
	work.Go(func() {
		for i := range answers {
			work.Go(func() {
				r := briefRequest(fmt.Sprintf("%x", 0xc0000+first+i))
				r.Body, r.PromptTokens, r.SharedParts = fmt.Sprint("sound ", first+i), 2000, c.soundParts
				if c.once {
					r = onceOnly(r)
				}
				answers[i] = w.answer(i%len(w.fronts), r)
			})
			time.Sleep(soundInterval)
		}
	})
	return func() []standin.Answer {
		work.Wait()
		return answers
	}
}

// sendFatal sends fatal requests to all instances in turn, each with content of its own and with one retry.
func (c *fatalPartTest) sendFatal(o *crashWorld) {
	var work sync.WaitGroup
	for i := range int(fatalPartDuration / fatalPartInterval) {
		work.Go(func() {
			r := briefRequest(fmt.Sprintf("%x", 0xf0000+i))
			r.Key, r.Body, r.SharedParts = c.teams[i%len(c.teams)], fmt.Sprint("fatal ", i), c.fatalParts
			if c.once {
				r = onceOnly(r)
			}
			for again := range 2 {
				if a := o.answer((i*5+again)%len(o.fronts), r); a.Status == http.StatusOK && a.Complete {
					return
				}
			}
		})
		time.Sleep(fatalPartInterval)
	}
	work.Wait()
}

// fatalPartSends returns how many requests with the fatal part reached engines more than delay after a
// crash, counted from 1.
func (o *crashWorld) fatalPartSends(crash int, delay time.Duration) int {
	crashes := o.crashes()
	if len(crashes) < crash {
		return 0
	}
	n := 0
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, w := range o.workers {
		for _, r := range w.Runs() {
			if hasFatalPart(&r) && r.At.Sub(crashes[crash-1]) > delay {
				n++
			}
		}
	}
	return n
}

// loseStore makes the store unavailable for a while.
func (w *world) loseStore() {
	w.store.SetFault(standin.Fault{Outage: standin.Silent})
	time.AfterFunc(6*time.Second, func() { w.store.SetFault(standin.Fault{}) })
}

// cutOffDataCentre cuts the instances of a data centre off from the other instances for a while.
func (w *world) cutOffDataCentre() {
	away := func(node string) bool { return node == "f1" || node == "f4" || node == "f7" }
	w.net.SetCut(func(a, b string) bool {
		return away(a) && strings.HasPrefix(b, "f") && !away(b) || away(b) && strings.HasPrefix(a, "f") && !away(a)
	})
	time.AfterFunc(5*time.Second, func() { w.net.SetCut(func(string, string) bool { return false }) })
}

// drainInSeries drains some instances, one after the other, and starts each again.
func (w *world) drainInSeries() {
	const drained = 3 // a drain takes as long as callers keep addresses
	go func() {
		for i := range drained {
			w.fronts[i].Drain()
			w.net.Crash(fmt.Sprint("f", i))
			w.startFront(i)
		}
	}()
}

// restartAllAtCrash kills all instances right after a crash, counted from 1, and starts them again.
func (o *crashWorld) restartAllAtCrash(crash int) {
	for len(o.crashes()) < crash {
		time.Sleep(10 * time.Millisecond)
	}
	o.restartAll(500 * time.Millisecond)
}

// TestNoPartIsStoppedWithoutCause crashes engines one by one or three at a time, with all streams that run there,
// and under a fatal request that has parts in common with all others. No part of prompts is stopped, and what
// the request alone is to blame for is not put on its parts.
func TestNoPartIsStoppedWithoutCause(t *testing.T) {
	for _, together := range []int{1, 3} {
		t.Run(fmt.Sprint(together), func(t *testing.T) {
			run(t, 9, 24, 1, func(w *world) {
				w.withFatalRequests(standin.FatalRequest{}, func(o *crashWorld) {
					c := fatalPartTest{soundParts: []string{"ca", "cb"}}
					sound := c.sendSound(w, soundDuring, 0)
					o.crashEngines(&c, together)
					if served := countServed(sound()); together == 1 {
						assert.Equal(t, served, soundDuring)
					}
					assert.Equal(t, w.countPartStops(), 0)
				})
			})
		})
	}
}

// crashEngines crashes engines each second, and sends a fatal request with the parts of the sound ones at times.
func (o *crashWorld) crashEngines(c *fatalPartTest, together int) {
	const rounds, stride = 20, 7 // a stride without a common divisor with the number of engines
	for n := range rounds {
		time.Sleep(time.Second)
		for i := range together {
			o.crashWorker(o.workerAt((n*together + i) * stride % len(o.engines)))
		}
		if n%5 == 0 {
			go func() {
				r := fatalBrief()
				r.SharedParts = c.soundParts
				_, _ = o.send(n%len(o.fronts), r)
			}()
		}
	}
}

// workerAt returns the incarnation that was started last at the address of an engine.
func (o *crashWorld) workerAt(i int) *standin.Worker {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.latest[o.engines[i].Config().Address]
}

// TestManyFatalPartsOfOneTeam lets a team send requests that each have another fatal part, beside sound ones. The
// sound requests are served, and the team's fatal ones are tried one at a time.
func TestManyFatalPartsOfOneTeam(t *testing.T) {
	const different = 100
	run(t, 9, 24, 1, func(w *world) {
		c := fatalPartTest{soundParts: []string{"ca"}}
		assert.Equal(t, countServed(c.sendSound(w, soundBefore, 0)()), soundBefore)
		fatal := standin.FatalRequest{Matches: func(r *standin.Run) bool { return strings.HasPrefix(r.Body, fatalBody) }}
		w.withFatalRequests(fatal, func(o *crashWorld) {
			sound := c.sendSound(w, soundDuring, soundBefore)
			var work sync.WaitGroup
			for n := range different {
				time.Sleep(300 * time.Millisecond)
				work.Go(func() {
					r := fatalBrief()
					r.Body, r.PromptID, r.SharedParts = fmt.Sprint(fatalBody, n), fmt.Sprintf("%x", 0xd0000+n), []string{fmt.Sprintf("%x", 0xe0000+n)}
					_, _ = o.send(n%len(w.fronts), r)
				})
			}
			work.Wait()
			served := countServed(sound())
			t.Logf("%d engines ended, %d of %d sound requests served", len(o.crashes()), served, soundDuring)
			assert.Assert(t, 2*served >= soundDuring, "%d", served)
			assert.Assert(t, len(o.crashes()) < different/2, "%d", len(o.crashes()))
		})
	})
}
