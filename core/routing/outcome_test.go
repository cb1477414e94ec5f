package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/health"
)

// plainRequest returns a request to a plain service with the weights that the daemon uses.
func plainRequest() *Request {
	return &Request{Service: "engines", Weights: Weights{Load: 1, Remote: 0.1, Health: 4}, DataCentre: "dc0"}
}

// simulateRequests sends perSecond requests of 60 ms each for a time. shouldFail decides whether
// the endpoint fails a request. It returns how many requests were sent and how many of them failed.
func simulateRequests(v *View, perSecond int, length time.Duration, shouldFail func(id string, at time.Duration) bool) (sent, failed int) {
	const took = 60 * time.Millisecond
	type open struct {
		id   string
		ends time.Time
	}
	var running []open
	r := testRand()
	for at := time.Duration(0); at < length; at += time.Second / time.Duration(perSecond) {
		now := epoch.Add(at)
		for len(running) > 0 && !running[0].ends.After(now) {
			first := running[0]
			running = running[1:]
			v.Finished(now, first.id)
			if shouldFail(first.id, at) {
				failed++
				v.CountFailure(now, first.id)
			} else {
				v.CountSuccess(now, first.id)
			}
		}
		d, err := v.Pick(now, plainRequest(), r)
		if err != nil {
			continue
		}
		sent++
		v.Sent(now, d.Endpoint.ID)
		running = append(running, open{d.Endpoint.ID, now.Add(took)})
	}
	return sent, failed
}

// TestPartlyFailingEndpointGetsFewRequests: one of three endpoints fails four in ten of its
// requests, though it is reachable and reports itself healthy. Without ranking by outcomes 13% of
// all requests fail.
func TestPartlyFailingEndpointGetsFewRequests(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	shouldFail := func(id string, _ time.Duration) bool { return id == "e000" && r.Float64() < 0.4 }
	sent, failed := simulateRequests(newTestView(3), 90, 30*time.Second, shouldFail)
	assert.Assert(t, sent > 2600, "%d asked", sent)
	assert.Assert(t, failed < sent/30, "%d of %d failed", failed, sent)
}

// TestRecoveredEndpointGetsItsShare: an endpoint that no longer fails gets its share again within
// fifteen seconds.
func TestRecoveredEndpointGetsItsShare(t *testing.T) {
	v := newTestView(3)
	r := rand.New(rand.NewPCG(5, 5))
	got := map[string]int{}
	_, _ = simulateRequests(v, 90, 30*time.Second, func(id string, at time.Duration) bool {
		if at > 25*time.Second {
			got[id]++
		}
		return id == "e000" && at < 10*time.Second && r.Float64() < 0.4
	})
	assert.Assert(t, got["e000"] > 90, "%v", got)
}

// TestUniformFailuresExcludeNoEndpoint: where requests fail equally often at all endpoints, none is
// excluded for it.
func TestUniformFailuresExcludeNoEndpoint(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	got := map[string]int{}
	_, _ = simulateRequests(newTestView(3), 90, 20*time.Second, func(id string, _ time.Duration) bool {
		got[id]++
		return r.Float64() < 0.15
	})
	for id, n := range got {
		assert.Assert(t, n > 400, "%s got %d", id, n)
	}
}

// TestPeerOutcomesAffectRanking: an endpoint that failed other instances is avoided before it fails
// this one. An endpoint that fails only this instance, because the path to it is bad, is avoided
// here, and the failures are reported as this instance's own.
func TestPeerOutcomesAffectRanking(t *testing.T) {
	v := newTestView(3)
	v.SetPeerReport(epoch, "f2", PeerReport{Outcomes: map[string]health.Counts{"e000": {Good: 10, Bad: 10}, "e001": {Good: 20, Bad: 1}}})
	for range 50 {
		d, err := v.Pick(epoch, plainRequest(), testRand())
		assert.NilError(t, err)
		assert.Assert(t, d.Endpoint.ID != "e000")
	}
	v.SetPeerReport(epoch, "f2", PeerReport{})
	later := epoch.Add(time.Second)
	d, err := v.Pick(later, plainRequest(), testRand())
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.DataCentre, "dc0") // e000 is the only endpoint in dc0
	for range 10 {
		v.CountFailure(later, "e000")
	}
	assert.DeepEqual(t, v.Outcomes(later), map[string]health.Counts{"e000": {Bad: 10}})
	d, err = v.Pick(later.Add(time.Second), plainRequest(), testRand())
	assert.NilError(t, err)
	assert.Assert(t, d.Endpoint.ID != "e000")
}

// TestSlowEngineIsAvoided: an engine that prefills four times as slowly as usual gets no prompt
// while others are idle. It is reported to other instances, and gets prompts again after some time.
func TestSlowEngineIsAvoided(t *testing.T) {
	v := newTestView(3)
	for _, n := range v.nodes {
		n.Memory = 88000
	}
	for range 5 {
		v.ObservePrefill(epoch, "e001", 8000, time.Second)
	}
	v.ObservePrefill(epoch, "e000", 8000, 4*time.Second)
	req := &Request{Service: "engines", DataCentre: "dc0", PromptTokens: 8000, Tokens: 9000, Weights: Weights{PendingPrefill: 1, Remote: 0.02, Pace: 1}}
	isPicked := func(v *View, at time.Time) bool {
		for range 30 {
			d, err := v.Pick(at, req, testRand())
			assert.NilError(t, err)
			if d.Endpoint.ID == "e000" {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !isPicked(v, epoch))
	paces := v.Paces(epoch)
	assert.Equal(t, len(paces), 1)
	assert.Assert(t, isPicked(v, epoch.Add(time.Minute)))
	other := newTestView(3)
	for _, n := range other.nodes {
		n.Memory = 88000
	}
	assert.Assert(t, isPicked(other, epoch))
	other.SetPeerReport(epoch, "f1", PeerReport{Paces: paces})
	assert.Assert(t, !isPicked(other, epoch))
	other.SetPeerReport(epoch, "f1", PeerReport{})
	assert.Assert(t, isPicked(other, epoch))
}

// TestSlowPrefillIsDetectedBeforeItEnds: an engine counts as slow once a prefill has taken three
// times as long as usual, before its first event arrives.
func TestSlowPrefillIsDetectedBeforeItEnds(t *testing.T) {
	v := newTestView(2)
	v.ObserveOngoingPrefill(epoch, "e000", 8000, time.Minute)
	assert.Equal(t, len(v.Paces(epoch)), 0, "the usual time is not known yet")
	v.ObservePrefill(epoch, "e001", 8000, time.Second)
	v.ObserveOngoingPrefill(epoch, "e000", 8000, 1500*time.Millisecond)
	assert.Equal(t, len(v.Paces(epoch)), 0)
	v.ObserveOngoingPrefill(epoch, "e000", 8000, 3*time.Second)
	assert.Equal(t, len(v.Paces(epoch)), 1)
}

// TestTrialAdmitsOneRequest: an endpoint that failed twice gets one request at a time after its
// suspicion has ended, until one succeeds.
func TestTrialAdmitsOneRequest(t *testing.T) {
	v := newTestView(1)
	v.Failed(epoch, "e000")
	v.Failed(epoch, "e000")
	later := epoch.Add(2 * time.Second)
	_, err := v.Pick(later, testRequest(), testRand())
	assert.NilError(t, err)
	v.Sent(later, "e000")
	_, err = v.Pick(later, testRequest(), testRand())
	assert.Equal(t, err, ErrFull)
	v.Succeeded("e000")
	_, err = v.Pick(later, testRequest(), testRand())
	assert.NilError(t, err)
}

// TestTrialIgnoresEarlierRequests: requests that an endpoint already had when it failed do not keep
// it from being tried.
func TestTrialIgnoresEarlierRequests(t *testing.T) {
	v := newTestView(1)
	v.Sent(epoch, "e000")
	v.Sent(epoch, "e000")
	v.Failed(epoch, "e000")
	v.Failed(epoch, "e000")
	later := epoch.Add(2 * time.Second)
	_, err := v.Pick(later, testRequest(), testRand())
	assert.NilError(t, err)
	v.Sent(later, "e000")
	_, err = v.Pick(later, testRequest(), testRand())
	assert.Equal(t, err, ErrFull)
	v.Finished(later, "e000") // one that was there before the failure
	_, err = v.Pick(later, testRequest(), testRand())
	assert.Equal(t, err, ErrFull)
}
