package routing

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/health"
)

const usualPerToken = 125 * time.Microsecond

// newSpeedView returns a view of engines with measured speeds, and a usual time that is known.
func newSpeedView(engines int) *View {
	s := DefaultSettings()
	s.Speeds = true
	v := NewView(s)
	for i := range engines {
		e := testEndpoint(i)
		e.Memory, e.Slots = 88000, 8
		v.Upsert(e)
	}
	v.usualPrefillOf("engines").ObservePerUnit(epoch, float64(usualPerToken), 1)
	return v
}

func speedOf(factor, weight float64) health.SpeedEstimate {
	return health.SpeedEstimate{LogPerUnit: math.Log(factor * float64(usualPerToken)), Weight: weight}
}

func speedReport(id string, e health.SpeedEstimate) PeerReport {
	return PeerReport{Speeds: map[string]health.SpeedEstimate{id: e}}
}

// TestSpeedOfManyInstances: observations of instances that each used an engine once must give its
// speed. A repeated announcement must not count twice.
func TestSpeedOfManyInstances(t *testing.T) {
	v := newSpeedView(1)
	for round := range 5 {
		for i := range 2 {
			v.SetPeerReport(epoch, fmt.Sprint("f", i), speedReport("e000", speedOf(1.7, 1)))
		}
		_, known := v.Speed(epoch, "e000")
		assert.Assert(t, !known, "round %d", round)
	}
	v.SetPeerReport(epoch, "f3", speedReport("e000", speedOf(1.7, 1)))
	f, known := v.Speed(epoch, "e000")
	assert.Assert(t, known && f > 1.3 && f < 1.75, "%.2f", f) // the usual time has moved by three steps
}

// TestSpeedOutlivesItsAnnouncement: an instance announces an observation only for some seconds. It
// must count until it has decayed, and not longer.
func TestSpeedOutlivesItsAnnouncement(t *testing.T) {
	v := newSpeedView(1)
	for i := range 6 {
		v.SetPeerReport(epoch, fmt.Sprint("f", i), speedReport("e000", speedOf(1.7, 1)))
	}
	for i := range 6 {
		v.SetPeerReport(epoch, fmt.Sprint("f", i), PeerReport{})
	}
	assert.Equal(t, v.nodes["e000"].peerSpeed, speedSum{})
	_, known := v.Speed(epoch.Add(5*time.Second), "e000")
	assert.Assert(t, known)
	later := epoch.Add(time.Minute)
	_, known = v.Speed(later, "e000")
	assert.Assert(t, !known)
	for i := range 6 {
		later = epoch.Add(time.Hour + time.Duration(i)*sweepInterval)
		v.Sweep(later)
	}
	assert.Equal(t, len(v.observed), 0, "the observations must be dropped")
}

// TestLostOwnerKeepsSpeed: all instances announce to both owners of an engine, so the second one must
// answer as the first one did. The asking instance's own observations must not count twice.
func TestLostOwnerKeepsSpeed(t *testing.T) {
	owners := []*View{newSpeedView(1), newSpeedView(1)}
	asking := newSpeedView(1)
	asking.SetOwned(func(string) bool { return false })
	for range 2 {
		asking.ObserveSpeed(epoch, "e000", 8000, 1, 8000*usualPerToken*17/10)
	}
	for _, o := range owners {
		for i := range 4 {
			o.SetPeerReport(epoch, fmt.Sprint("f", i), speedReport("e000", speedOf(1.7, 1)))
		}
		o.SetPeerReport(epoch, "asking", PeerReport{Speeds: asking.Speeds(epoch)})
		s, ok := o.Summary(epoch, "e000", "asking", 0)
		assert.Assert(t, ok && math.Abs(s.Speed.Weight-4) < 0.01, "%+v", s.Speed)
	}
	s, _ := owners[1].Summary(epoch, "e000", "asking", 0)
	asking.ApplySummary(epoch, &s, 0)
	f, known := asking.Speed(epoch, "e000")
	assert.Assert(t, known && f > 1.5, "%.2f", f)
	_, known = asking.Speed(epoch.Add(summaryTTL), "e000")
	assert.Assert(t, !known, "an old summary must not be used")
}

// TestImplausibleSpeedsAreBounded: wrong numbers of a peer must not exclude an engine, nor leave an
// error in the sums when they are replaced.
func TestImplausibleSpeedsAreBounded(t *testing.T) {
	for name, e := range map[string]health.SpeedEstimate{
		"huge": {LogPerUnit: 700, Weight: 1e9}, "overflow": {LogPerUnit: 1e9, Weight: 1}, "not a number": {LogPerUnit: math.NaN(), Weight: 1},
		"negative weight": {LogPerUnit: 1, Weight: -5}, "weight not a number": {LogPerUnit: 1, Weight: math.NaN()}, "tiny": {LogPerUnit: -1e9, Weight: 1},
	} {
		t.Run(name, func(t *testing.T) {
			v := newSpeedView(1)
			v.SetPeerReport(epoch, "f1", speedReport("e000", e))
			v.SetPeerReport(epoch, "f1", speedReport("not listed yet", e))
			f, _ := v.Speed(epoch, "e000")
			assert.Assert(t, f >= health.MinSpeedFactor && f <= health.MaxSpeedFactor, "%v", f)
			v.SetPeerReport(epoch, "f1", PeerReport{})
			assert.Equal(t, v.nodes["e000"].peerSpeed, speedSum{})
			v.ApplySummary(epoch, &Summary{Endpoint: "e000", Speed: e}, 0)
			f, _ = v.Speed(epoch, "e000")
			assert.Assert(t, f >= health.MinSpeedFactor && f <= health.MaxSpeedFactor, "%v", f)
		})
	}
}

// TestSpeedOfEngineListedLater: what is announced of an engine before it is listed must count.
func TestSpeedOfEngineListedLater(t *testing.T) {
	v := newSpeedView(1)
	v.SetPeerReport(epoch, "f1", speedReport("e001", speedOf(1.7, 5)))
	v.Upsert(testEndpoint(1))
	f, known := v.Speed(epoch, "e001")
	assert.Assert(t, known && f > 1.5, "%.2f", f)
	v.SetPeerReport(epoch, "f1", PeerReport{})
	assert.Equal(t, v.nodes["e001"].peerSpeed, speedSum{})
}

// TestSpeedsAreOffByDefault: without the setting, neither own observations nor those of others may
// change anything.
func TestSpeedsAreOffByDefault(t *testing.T) {
	v := newTestView(1)
	v.usualPrefillOf("engines").ObservePerUnit(epoch, float64(usualPerToken), 1)
	for range 5 {
		v.ObserveSpeed(epoch, "e000", 8000, 1, time.Minute)
	}
	v.SetPeerReport(epoch, "f1", speedReport("e000", speedOf(1.7, 5)))
	v.ApplySummary(epoch, &Summary{Endpoint: "e000", Speed: speedOf(1.7, 5)}, 0)
	f, known := v.Speed(epoch, "e000")
	assert.Assert(t, !known && f == 1)
	assert.Equal(t, len(v.Speeds(epoch)), 0)
	s, _ := v.Summary(epoch, "e000", "f2", 0)
	assert.Equal(t, s.Speed, health.SpeedEstimate{})
}

// TestInstancesWithDifferentUsualTimes: an instance that has met only slow engines takes them for
// usual ones. Announcements of others must correct that, and its own must mean the same there.
func TestInstancesWithDifferentUsualTimes(t *testing.T) {
	v := newSpeedView(30)
	v.usualPrefill["engines"] = &health.Baseline{}
	v.ObservePrefill(epoch, "e002", 8000, 8000*usualPerToken*17/10)
	for i := range 30 {
		speed := []float64{0.7, 0.7, 1.7}[i%3]
		v.SetPeerReport(epoch, fmt.Sprint("f", i), speedReport(fmt.Sprintf("e%03d", i), speedOf(speed, 4)))
	}
	slow, _ := v.Speed(epoch, "e002")
	fast, _ := v.Speed(epoch, "e000")
	assert.Assert(t, slow/fast > 2 && fast < 1.3, "slow %.2f, fast %.2f", slow, fast)
}

// TestFastEngineIsFilledFirst: a fast engine gets more requests than a usual one, but a usual one with
// free slots must get those for which the fast one has none.
func TestFastEngineIsFilledFirst(t *testing.T) {
	v := newSpeedView(2)
	v.settings.QueueFactor, v.settings.MemoryFactor = 3, 10
	v.SetPeerReport(epoch, "f1", PeerReport{Speeds: map[string]health.SpeedEstimate{"e000": speedOf(0.7, 6), "e001": speedOf(1.0, 6)}})
	r := &Request{Service: "engines", DataCentre: "dc0", PromptTokens: 8000, Tokens: 9000, Weights: Weights{PendingPrefill: 1, Running: 0.5, Memory: 0.3, Pace: 1}}
	got := map[string]int{}
	for range 16 {
		d, err := v.Pick(epoch, r, testRand())
		assert.NilError(t, err)
		v.Sent(epoch, d.Endpoint.ID)
		got[d.Endpoint.ID]++
		assert.Assert(t, got["e000"] <= 8, "%v", got)
		if got["e000"]+got["e001"] == 10 {
			assert.Assert(t, got["e000"] > got["e001"], "%v", got)
		}
	}
}

// TestPrefillTokens: an observation behind other prompts, or at an engine without a free slot, must
// weigh less than an undisturbed one.
func TestPrefillTokens(t *testing.T) {
	v := newSpeedView(1)
	tokens, weight := v.PrefillTokens(epoch, "e000", 8000, testRequest().Priority)
	assert.Assert(t, tokens == 8000 && weight == 1)
	v.Place("e000", Placed{PendingPrefill: 8000})
	tokens, weight = v.PrefillTokens(epoch, "e000", 8000, testRequest().Priority)
	assert.Assert(t, tokens == 16000 && weight == 0.75)
	for range 8 {
		v.Sent(epoch, "e000")
	}
	_, weight = v.PrefillTokens(epoch, "e000", 8000, testRequest().Priority)
	assert.Assert(t, weight == 0.375)
}

// BenchmarkSetPeerReportWithSpeeds measures what an owner does for an announcement of 12 speeds.
func BenchmarkSetPeerReportWithSpeeds(b *testing.B) {
	for _, speeds := range []bool{false, true} {
		b.Run(fmt.Sprint(speeds), func(b *testing.B) {
			v := newSpeedView(12)
			v.settings.Speeds = speeds
			r := PeerReport{Placed: map[string]Placed{}, Speeds: map[string]health.SpeedEstimate{}}
			for i := range 12 {
				id := fmt.Sprintf("e%03d", i)
				r.Placed[id], r.Speeds[id] = Placed{Open: 1, Tokens: 9000}, speedOf(1, 1)
			}
			for b.Loop() {
				v.SetPeerReport(epoch, "f1", r)
			}
		})
	}
}

// TestSpeedChangeSeenByManyInstances: an engine takes 2.5 times as long for 5 s, and gets two prompts
// a second, each of another instance. Its speed must follow in that time, and must return.
func TestSpeedChangeSeenByManyInstances(t *testing.T) {
	const instances, interval = 62, 500 * time.Millisecond
	v, rnd := newSpeedView(1), testRand()
	var peers [instances]health.Speed
	now := epoch
	observe := func(n int, factor float64) float64 {
		for range n {
			now = now.Add(interval)
			for range 10 { // other engines
				v.usualPrefillOf("engines").ObservePerUnit(epoch, float64(usualPerToken), 1)
			}
			peers[rnd.IntN(instances)].Observe(now, factor*float64(usualPerToken), 1)
			for i := range peers {
				report := PeerReport{}
				if e := peers[i].Estimate(now); now.Sub(peers[i].ObservedAt()) < speedReportedFor {
					report = speedReport("e000", e)
				}
				v.SetPeerReport(now, fmt.Sprint("f", i), report)
			}
		}
		f, _ := v.Speed(now, "e000")
		return f
	}
	observe(100, 1)
	slow := observe(10, 2.5)
	back := observe(30, 1)
	t.Logf("%.2f after 5 s at 2.5, %.2f after 15 s at 1", slow, back)
	assert.Assert(t, slow > 1.2)
	assert.Assert(t, back < 1.2)
}

// TestOwnSpeedCountsOnce: an owner keeps an instance's observation after the instance has ceased to
// announce it. Together with the instance's own record it must not count as two.
func TestOwnSpeedCountsOnce(t *testing.T) {
	owner, v := newSpeedView(1), newSpeedView(1)
	v.SetOwned(func(string) bool { return false })
	v.ObserveSpeed(epoch, "e000", 8000, 1, 8000*usualPerToken)
	for now := epoch; now.Before(epoch.Add(2 * speedReportedFor)); now = now.Add(time.Second) {
		owner.SetPeerReport(now, "f1", PeerReport{Speeds: v.Speeds(now)})
		s, _ := owner.Summary(now, "e000", "f1", 0)
		v.ApplySummary(now, &s, 0)
		weight := v.nodes["e000"].combinedSpeed(now).Weight
		assert.Assert(t, weight > 0.5 && weight < 1.01, "%.2f after %v", weight, now.Sub(epoch))
	}
}

// TestRepeatedSummariesDoNotMoveUsualTime guards against a usual time that follows the engines which are
// asked about most: a waiting request gets the summaries of the same engines ten times a second.
func TestRepeatedSummariesDoNotMoveUsualTime(t *testing.T) {
	v := newSpeedView(1)
	for range 20 {
		v.ObservePrefill(epoch, "e000", 8000, time.Second)
	}
	fast := health.SpeedEstimate{LogPerUnit: math.Log(float64(60 * time.Microsecond)), Weight: 3}
	before, _ := v.ExpectedPrefillTime("engines", 8000)
	for range 40 {
		v.ApplySummary(epoch, &Summary{Endpoint: "e000", Speed: fast}, 0)
	}
	after, known := v.ExpectedPrefillTime("engines", 8000)
	assert.Assert(t, known && after > before*9/10, "%v before, %v after", before, after)
}
