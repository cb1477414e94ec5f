package routing

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/health"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func testEndpoint(i int) Endpoint {
	return Endpoint{
		ID: fmt.Sprintf("e%03d", i), Address: fmt.Sprintf("10.0.0.%d:80", i), DataCentre: fmt.Sprint("dc", i%3),
		Service: "engines", Slots: 8, Models: []Model{{Name: "brief", Version: "1", Adapters: []string{"bank"}}},
	}
}

func newTestView(n int) *View {
	v := NewView(DefaultSettings())
	for i := range n {
		v.Upsert(testEndpoint(i))
	}
	return v
}

func testRand() *rand.Rand { return rand.New(rand.NewPCG(1, 2)) }

func testRequest() *Request {
	return &Request{Service: "engines", Model: "brief", DataCentre: "dc0", Weights: DefaultWeights()}
}

func TestPickFiltersEndpoints(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*View, *Request)
		want   error
	}{
		"eligible":        {func(*View, *Request) {}, nil},
		"adapter":         {func(_ *View, r *Request) { r.Adapter = "bank" }, nil},
		"other service":   {func(_ *View, r *Request) { r.Service = "x" }, ErrNoEndpoint},
		"other model":     {func(_ *View, r *Request) { r.Model = "x" }, ErrNoEndpoint},
		"other version":   {func(_ *View, r *Request) { r.Version = "2" }, ErrNoEndpoint},
		"other adapter":   {func(_ *View, r *Request) { r.Adapter = "x" }, ErrNoEndpoint},
		"to be avoided":   {func(_ *View, r *Request) { r.Avoid = []string{"e000"} }, ErrNoEndpoint},
		"leaving":         {func(v *View, _ *Request) { v.UpdateStatus("e000", 8, testEndpoint(0).Models, "", true) }, ErrNoEndpoint},
		"suspected":       {func(v *View, _ *Request) { v.Failed(epoch, "e000") }, ErrNoEndpoint},
		"cleared":         {func(v *View, _ *Request) { v.Failed(epoch, "e000"); v.Succeeded("e000") }, nil},
		"full":            {func(v *View, _ *Request) { v.Report(epoch, "e000", Load{Running: 10}) }, ErrFull},
		"full, recovery":  {func(v *View, r *Request) { v.Report(epoch, "e000", Load{Running: 10}); r.Recovery = true }, nil},
		"gone":            {func(v *View, _ *Request) { v.Retain(nil) }, ErrNoEndpoint},
		"leaving by list": {func(v *View, _ *Request) { e := testEndpoint(0); e.State = Leaving; v.Upsert(e) }, ErrNoEndpoint},
		"leaving, list lags": {func(v *View, _ *Request) {
			v.UpdateStatus("e000", 8, testEndpoint(0).Models, "", true)
			v.Upsert(testEndpoint(0))
		}, ErrNoEndpoint},
		"leaving by list, says nothing": {func(v *View, _ *Request) {
			e := testEndpoint(0)
			e.State = Leaving
			v.Upsert(e)
			v.UpdateStatus("e000", 8, e.Models, "", false)
		}, ErrNoEndpoint},
		"stays after all": {func(v *View, _ *Request) {
			v.UpdateStatus("e000", 8, testEndpoint(0).Models, "", true)
			v.UpdateStatus("e000", 8, testEndpoint(0).Models, "", false)
		}, nil},
		"replaced": {func(v *View, _ *Request) {
			v.UpdateStatus("e000", 8, testEndpoint(0).Models, "", true)
			v.Failed(epoch, "e000")
			v.Forget("e000")
		}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			v, r := newTestView(1), testRequest()
			c.change(v, r)
			_, err := v.Pick(epoch, r, testRand())
			assert.Assert(t, errors.Is(err, c.want), "%v", err)
		})
	}
}

func TestSuspicionExpiresAndDoubles(t *testing.T) {
	v := newTestView(1)
	v.Failed(epoch, "e000")
	assert.Assert(t, v.Suspected(epoch.Add(999*time.Millisecond), "e000"))
	assert.Assert(t, !v.Suspected(epoch.Add(time.Second), "e000"))
	v.Failed(epoch, "e000")
	assert.Assert(t, v.Suspected(epoch.Add(1999*time.Millisecond), "e000"))
}

func TestStaleLoadReportIsCorrectedBySentRequests(t *testing.T) {
	v := newTestView(1)
	at := func(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }
	for ms := range 5 {
		v.Sent(at(ms), "e000")
	}
	v.Report(at(10), "e000", Load{Running: 2, Age: 8 * time.Millisecond}) // taken at 2 ms
	n := v.nodes["e000"]
	assert.Equal(t, n.estimate(epoch, reportTTL), 5) // 2 reported and 2 sent since, but 5 of this instance are there
	v.Report(at(20), "e000", Load{Running: 7, Age: time.Millisecond})
	assert.Equal(t, n.estimate(epoch, reportTTL), 7)
	v.Report(at(21), "e000", Load{Running: 0, Age: 15 * time.Millisecond}) // older than the last report
	assert.Equal(t, n.estimate(epoch, reportTTL), 7)
	v.Finished(at(22), "e000")
	assert.Equal(t, n.estimate(epoch, reportTTL), 6)
}

func TestLoadSpreadsWhileReportsLag(t *testing.T) {
	const endpoints, requests = 36, 36 * 8
	v, r := newTestView(endpoints), testRand()
	for range requests {
		d, err := v.Pick(epoch, testRequest(), r)
		assert.NilError(t, err)
		v.Sent(epoch, d.Endpoint.ID)
	}
	for _, s := range v.List(epoch) {
		assert.Assert(t, s.Estimate <= 10, "%s has %d", s.ID, s.Estimate)
	}
}

func TestCachedPrefixIsPreferredUntilEndpointIsLoaded(t *testing.T) {
	v, req := newTestView(12), testRequest()
	req.Prefixes = []uint64{1, 2, 3}
	v.CacheStored(epoch, "e007", 1)
	v.CacheStored(epoch, "e007", 2)
	d, err := v.Pick(epoch, req, testRand())
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.ID, "e007")
	for range 6 {
		v.Sent(epoch, "e007")
	}
	d, _ = v.Pick(epoch, req, testRand())
	assert.Assert(t, d.Endpoint.ID != "e007", "the cached prefix does not outweigh the load")
}

func TestCacheEntriesExpireAndAreRemoved(t *testing.T) {
	v := newTestView(3)
	v.CacheStored(epoch, "e001", 1)
	assert.Equal(t, v.cachedShare(epoch, "e001", []uint64{1}), 1.0)
	assert.Equal(t, v.cachedShare(epoch.Add(time.Minute), "e001", []uint64{1}), 0.0)
	v.CacheStored(epoch, "e001", 1)
	v.CacheEvicted("e001", 1)
	assert.Equal(t, v.cachedShare(epoch, "e001", []uint64{1}), 0.0)
	v.CacheStored(epoch, "e001", 1)
	v.CacheCleared("e001")
	assert.Equal(t, v.cachedShare(epoch, "e001", []uint64{1}), 0.0)
}

func TestCacheMemoryIsBounded(t *testing.T) {
	set := DefaultSettings()
	set.CacheEntries = 100
	v := NewView(set)
	for p := range uint64(1000) {
		v.CacheStored(epoch, "e", p)
	}
	assert.Equal(t, len(v.cache.entries), 100)
	assert.Assert(t, v.endpointHolds(epoch, "e", 999))
	assert.Assert(t, !v.endpointHolds(epoch, "e", 10))
}

func TestOwnDataCentreIsPreferred(t *testing.T) {
	v, r, near := newTestView(36), testRand(), 0
	const picks = 300
	for range picks {
		d, err := v.Pick(epoch, testRequest(), r)
		assert.NilError(t, err)
		if d.Endpoint.DataCentre == "dc0" {
			near++
		}
	}
	assert.Assert(t, near > picks*3/4, "%d of %d", near, picks)
}

func TestGroupsFollowChanges(t *testing.T) {
	v := newTestView(3)
	e := testEndpoint(1)
	e.Service = "others"
	v.Upsert(e)
	assert.Equal(t, len(v.groups[groupKey{"engines", ""}]), 2)
	assert.Equal(t, v.Slots(epoch, "engines"), 16)
	v.Retain(map[string]bool{"e001": true})
	assert.Equal(t, len(v.groups[groupKey{"engines", ""}]), 0)
	d, err := v.Pick(epoch, &Request{Service: "others"}, testRand())
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.ID, "e001")
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{36, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			v, r, req := newTestView(n), testRand(), testRequest()
			req.Prefixes = []uint64{1, 2, 3, 4}
			v.CacheStored(epoch, "e007", 2)
			b.ReportAllocs()
			for b.Loop() {
				d, err := v.Pick(epoch, req, r)
				if err != nil {
					b.Fatal(err)
				}
				v.Sent(epoch, d.Endpoint.ID)
				v.Finished(epoch, d.Endpoint.ID)
			}
		})
	}
}

// TestWidelyHeldPrefixGivesNoPreference guards against work that piles up at a few endpoints. A
// preamble that all prompts share is cached everywhere, but the index tracks only a few holders of
// a prefix. When these were preferred, the first token of one answer in a hundred came after 3.7 s
// instead of 67 ms.
func TestWidelyHeldPrefixGivesNoPreference(t *testing.T) {
	v, req, r := newTestView(24), testRequest(), testRand()
	req.Prefixes, req.Weights.Remote = []uint64{1}, 0
	for i := range 24 {
		v.CacheStored(epoch, testEndpoint(i).ID, 1)
	}
	hits := map[string]int{}
	for i := range 2400 {
		req.Key = fmt.Sprint(i)
		d, err := v.Pick(epoch, req, r)
		assert.NilError(t, err)
		hits[d.Endpoint.ID]++
	}
	for id, n := range hits {
		assert.Assert(t, n < 200, "%s got %d of 2400", id, n)
	}
	assert.Equal(t, len(hits), 24)
}

// TestSuspectedEndpointsAreUsedWhenNoOthersAreLeft: if all endpoints failed recently, a suspected
// one is still used, but not one that is leaving. Otherwise a service whose three endpoints lose 3
// answers in 100 refuses requests.
func TestSuspectedEndpointsAreUsedWhenNoOthersAreLeft(t *testing.T) {
	set := DefaultSettings()
	set.FallBackToSuspected = true
	v := NewView(set)
	v.Upsert(testEndpoint(0))
	v.Upsert(testEndpoint(3))
	v.Failed(epoch, "e000")
	for range 10 {
		d, err := v.Pick(epoch, testRequest(), testRand())
		assert.NilError(t, err)
		assert.Equal(t, d.Endpoint.ID, "e003")
	}
	v.Failed(epoch, "e003")
	_, err := v.Pick(epoch, testRequest(), testRand())
	assert.NilError(t, err)
	v.UpdateStatus("e000", 8, testEndpoint(0).Models, "", true)
	v.UpdateStatus("e003", 8, testEndpoint(3).Models, "", true)
	_, err = v.Pick(epoch, testRequest(), testRand())
	assert.Assert(t, errors.Is(err, ErrNoEndpoint))
}

func TestOneLostAnswerIsNoFailure(t *testing.T) {
	v := newTestView(1)
	v.AnswerLost(epoch, "e000")
	assert.Assert(t, !v.Suspected(epoch, "e000"))
	v.Succeeded("e000")
	v.AnswerLost(epoch, "e000")
	assert.Assert(t, !v.Suspected(epoch, "e000"))
	v.AnswerLost(epoch, "e000")
	assert.Assert(t, v.Suspected(epoch, "e000"))
}

// TestEndpointsOfDegradedDataCentreAreAvoided: if a quarter of the endpoints of a data centre fail,
// the others there are avoided too. Failures that another instance reports count like the
// instance's own.
func TestEndpointsOfDegradedDataCentreAreAvoided(t *testing.T) {
	for name, fail := range map[string]func(*View){
		"own":   func(v *View) { v.Failed(epoch, "e000"); v.Failed(epoch, "e003") },
		"peers": func(v *View) { v.SetPeerReport(epoch, "f2", PeerReport{Suspects: []string{"e000", "e003"}}) },
	} {
		t.Run(name, func(t *testing.T) {
			v, r := newTestView(24), testRand()
			fail(v)
			for range 200 {
				d, err := v.Pick(epoch, testRequest(), r)
				assert.NilError(t, err)
				assert.Assert(t, d.Endpoint.DataCentre != "dc0", d.Endpoint.ID)
			}
			v.Succeeded("e000")
			v.Succeeded("e003")
			v.SetPeerReport(epoch, "f2", PeerReport{})
			near := 0
			for range 200 {
				d, _ := v.Pick(epoch, testRequest(), r)
				if d.Endpoint.DataCentre == "dc0" {
					near++
				}
			}
			assert.Assert(t, near > 100)
		})
	}
}

// TestEngineMemoryLimitsPlacements: the memory of an engine with 24 slots holds nine requests of
// 9,400 tokens. The placements of other instances count like the instance's own.
func TestEngineMemoryLimitsPlacements(t *testing.T) {
	v := NewView(DefaultSettings())
	e := testEndpoint(0)
	e.Slots, e.Memory = 24, 88000
	v.Upsert(e)
	r := testRequest()
	r.Tokens, r.PromptTokens = 9400, 8400
	placed := 0
	for ; placed < 30; placed++ {
		if placed == 4 {
			v.SetPeerReport(epoch, "f2", PeerReport{Placed: map[string]Placed{"e000": {Open: 2, Tokens: 18800}}})
		}
		if _, err := v.Pick(epoch, r, testRand()); err != nil {
			break
		}
		v.Sent(epoch, "e000")
		v.Place("e000", Placed{Tokens: r.Tokens})
	}
	assert.Equal(t, placed, 7)
	v.SetPeerReport(epoch, "f2", PeerReport{})
	_, err := v.Pick(epoch, r, testRand())
	assert.NilError(t, err)
}

// TestPrefillsAreSpreadOverEngines: an engine does not get a second prompt while another engine has
// none to prefill.
func TestPrefillsAreSpreadOverEngines(t *testing.T) {
	v, rnd := NewView(DefaultSettings()), testRand()
	for i := range 6 {
		e := testEndpoint(i)
		e.Memory = 88000
		v.Upsert(e)
	}
	r := testRequest()
	r.Tokens, r.PromptTokens, r.Weights = 9400, 8400, Weights{Load: 1, PendingPrefill: 1, Memory: 0.3}
	seen := map[string]bool{}
	for range 6 {
		d, err := v.Pick(epoch, r, rnd)
		assert.NilError(t, err)
		seen[d.Endpoint.ID] = true
		v.Sent(epoch, d.Endpoint.ID)
		v.Place(d.Endpoint.ID, Placed{Tokens: r.Tokens, PendingPrefill: r.PromptTokens})
	}
	assert.Assert(t, len(seen) >= 5, "%v", seen)
}

// TestLoadReportExpires: an endpoint that reported itself full gets no work and so sends no newer
// report. Its old report must not exclude it for ever. Placements that are known still count.
func TestLoadReportExpires(t *testing.T) {
	v := newTestView(1)
	v.Report(epoch, "e000", Load{Running: 8, Queued: 40})
	_, err := v.Pick(epoch.Add(time.Second), testRequest(), testRand())
	assert.Equal(t, err, ErrFull)
	_, err = v.Pick(epoch.Add(2*time.Second), testRequest(), testRand())
	assert.NilError(t, err)
	v.SetPeerReport(epoch, "other", PeerReport{Placed: map[string]Placed{"e000": {Open: 10}}})
	_, err = v.Pick(epoch.Add(2*time.Second), testRequest(), testRand())
	assert.Equal(t, err, ErrFull)
}

// TestRefusingEndpointIsNotRetriedAtOnce: an endpoint that refused a request is not tried again at
// once, whatever its estimated load. Another one is tried; if none is left, the request waits.
func TestRefusingEndpointIsNotRetriedAtOnce(t *testing.T) {
	v := newTestView(2)
	v.Refused(epoch, "e000")
	d, err := v.Pick(epoch, testRequest(), testRand())
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.ID, "e001")
	v.Refused(epoch, "e001")
	_, err = v.Pick(epoch.Add(100*time.Millisecond), testRequest(), testRand())
	assert.Equal(t, err, ErrFull)
	_, err = v.Pick(epoch.Add(250*time.Millisecond), testRequest(), testRand())
	assert.NilError(t, err)
}

// TestReportsOfFormerIncarnationAreIgnored: neither the reports of other instances about a former
// incarnation of an endpoint nor this instance's own knowledge of it apply to the new incarnation.
func TestReportsOfFormerIncarnationAreIgnored(t *testing.T) {
	v, now := NewView(DefaultSettings()), time.Unix(0, 0)
	v.Upsert(Endpoint{ID: "a@1", Name: "a", Service: "s"})
	v.CacheStored(now, "a@1", 7)
	v.Failed(now, "a@1")
	v.Place("a@1", Placed{Tokens: 5, PendingPrefill: 5})
	v.Upsert(Endpoint{ID: "a@2", Name: "a", Service: "s"})
	v.Retain(map[string]bool{"a@2": true})
	v.SetPeerReport(now, "p", PeerReport{
		Placed: map[string]Placed{"a@1": {Tokens: 9, PendingPrefill: 9}}, Suspects: []string{"a@1"}, Ended: []string{"a@1"},
		Outcomes: map[string]health.Counts{"a@1": {Bad: 3}}, Paces: map[string]float64{"a@1": 4}, Prefilled: []PrefilledPrompt{{"a@1", 8}},
	})
	n := v.nodes["a@2"]
	assert.Equal(t, n.usedMemory(now)+n.pendingPrefill(now)+n.suspectedBy, 0)
	assert.Assert(t, v.Usable(now, "a@2") && !v.HoldsPrefix(now, 7) && !v.HoldsPrefix(now, 8))
	assert.Equal(t, n.counts(now), health.Counts{})
	assert.Equal(t, n.effectivePace(now), 1.0)
}
