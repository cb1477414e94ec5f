package fairqueue

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Twice the size that the system is designed for: 800 instances in front of 1,200 engines, with 9,000 requests a second
// of 19,000 teams. A service of 1,200 engines has 10 queues, each of which serves a tenth of the instances.
const (
	largestInstances = 800 / 10
	largestEngines   = 1200 / 10
	largestArrivals  = 9000 / 10 // a second, if all requests are streams
	largestTeams     = 19_000
	// largestPlacements is what the engines take at 2 generations among 22 requests, as at the design size.
	largestPlacements = 9000 / 10 * 2 / 22
)

// Load: all requests of a fleet of twice the design size are streams, 11 times what the engines take, and no engine takes
// any for 5 s. Guards against bounds for which teams lose their counters, callers who return their place, or urgent
// requests theirs.
func TestBoundsHoldTwiceTheDesignSize(t *testing.T) {
	const step, steps = 20 * time.Millisecond, 45 * 50
	type returning struct {
		at       int
		instance int
		r        Request
	}
	rng := rand.New(rand.NewPCG(1, 2))
	q := New(DefaultSettings())
	q.SetEngines(largestEngines)
	reporters := make([]*reporter, largestInstances)
	waiting := make([]map[uint64]Request, largestInstances)
	for i := range reporters {
		reporters[i], waiting[i] = newReporter(q, fmt.Sprint("i", i)), map[uint64]Request{}
	}
	lastUsed := map[string]int{}
	var returns []returning
	peakOfPlacing := 0 // before no engine takes any
	next, peakWaiting, peakTeams, peakPrompts, returned := uint64(0), 0, 0, 0, 0
	for s := range steps {
		now := time.Duration(s) * step
		reports := make([]Report, largestInstances)
		ask := func(i int, r Request) {
			next++
			r.ID, r.Since = next, at(now)
			within := 5 * time.Second
			if r.Level == 0 {
				within = 2 * time.Second
			}
			r.Latest = at(now + within)
			waiting[i][r.ID] = r
			reports[i].Waiting = append(reports[i].Waiting, r)
			lastUsed[r.Team] = s
		}
		for range largestArrivals / 50 {
			level := 2
			if rng.IntN(100) == 0 {
				level = 0
			}
			ask(rng.IntN(largestInstances), Request{Level: level, Team: fmt.Sprint("t", rng.IntN(largestTeams)), Tokens: 9000, Prompt: rng.Uint64()})
		}
		later := returns[:0]
		for _, r := range returns {
			if r.at > s {
				later = append(later, r)
				continue
			}
			_, known := q.refusedPrompts[promptKey{r.r.Team, r.r.Prompt}]
			assert.Assert(t, known, "a caller who returns is not known")
			returned++
			ask(r.instance, r.r)
		}
		returns = later
		for i := range reporters {
			for id := range waiting[i] {
				reports[i].Renewed = append(reports[i].Renewed, id)
			}
		}
		room := largestPlacements * (s + 1) / 50
		room -= largestPlacements * s / 50
		if s >= 20*50 && s < 25*50 {
			room = 0
		}
		for _, e := range q.order {
			if room == 0 || !e.turn {
				break
			}
			var i int
			_, err := fmt.Sscanf(e.instance, "i%d", &i)
			assert.NilError(t, err)
			reports[i].Placed = append(reports[i].Placed, e.ID)
			delete(waiting[i], e.ID)
			room--
		}
		for i, r := range reporters {
			r.report(now, reports[i])
		}
		peakWaiting = max(peakWaiting, q.Waiting())
		if s < 20*50 {
			peakOfPlacing = peakWaiting
		}
		q.Decide(at(now))
		for i := range reporters {
			for _, f := range q.State(at(now), fmt.Sprint("i", i)).Refused {
				r, ok := waiting[i][f.ID]
				delete(waiting[i], f.ID)
				if ok && r.Since.Equal(at(now)) || !ok {
					assert.Assert(t, f.Level != 0 || f.Position <= maxEntries, "an urgent request finds no place")
				}
				if rng.IntN(2) == 0 { // half of the callers return
					returns = append(returns, returning{s + 1 + int(f.RetryIn/step), rng.IntN(largestInstances), r})
				}
			}
		}
		peakTeams, peakPrompts = max(peakTeams, len(q.teams)), max(peakPrompts, len(q.refusedPrompts))
		if s%50 == 0 {
			for name, used := range lastUsed {
				if time.Duration(s-used)*step < forgetAfter && q.teams[name] == nil {
					t.Fatalf("team %s has lost its counter after %v", name, time.Duration(s-used)*step)
				}
			}
		}
	}
	assert.Assert(t, peakOfPlacing < maxEntries, "%d", peakOfPlacing)
	t.Logf("at the peak %d waiting requests (%d while engines take some), %d teams, %d refused prompts; %d callers returned", peakWaiting, peakOfPlacing, peakTeams, peakPrompts, returned)
	assert.Assert(t, returned > 1000)
}

// BenchmarkMemory reports the bytes of a waiting request, a team and a refused prompt, at the bounds of a queue.
func BenchmarkMemory(b *testing.B) {
	live := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	name := func(i int) string { return fmt.Sprintf("team-%012d", i) }
	for range b.N {
		before := live()
		q := New(DefaultSettings())
		for i := range maxTeams {
			q.teamNamed(at(0), name(i))
		}
		teams := live()
		for i := range uint64(maxRefusedPrompts) {
			q.rememberRefused(at(0), &entry{Request: Request{Team: q.teams[name(int(i)%maxTeams)].name, Prompt: i + 1}})
		}
		prompts := live()
		r := newReporter(q, "i")
		for i := range uint64(maxEntries) {
			r.wait(0, request(i, q.teams[name(int(i))].name, 2, 0))
		}
		q.Decide(at(0))
		entries := live()
		b.ReportMetric((teams-before)/maxTeams, "B/team")
		b.ReportMetric((prompts-teams)/maxRefusedPrompts, "B/prompt")
		b.ReportMetric((entries-prompts)/maxEntries, "B/entry")
		b.ReportMetric((entries-before)/1e6, "MB/queue")
		runtime.KeepAlive(q)
	}
}
