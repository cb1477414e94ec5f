package routing

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/health"
)

// plainRequest is a request to a plain service, ranked as the daemon does.
func plainRequest() *Request {
	return &Request{Service: "engines", Weights: Weights{Load: 1, Remote: 0.1, Health: 4}, DataCentre: "dc0"}
}

// load plays requests of 60 ms, some a second, and returns how many of them an endpoint failed, where fails tells
// whether it fails one.
func load(v *View, perSecond int, length time.Duration, fails func(id string, at time.Duration) bool) (asked, failed int) {
	const took = 60 * time.Millisecond
	type open struct {
		id   string
		ends time.Time
	}
	var running []open
	r := rnd()
	for at := time.Duration(0); at < length; at += time.Second / time.Duration(perSecond) {
		now := epoch.Add(at)
		for len(running) > 0 && !running[0].ends.After(now) {
			one := running[0]
			running = running[1:]
			v.Finished(now, one.id)
			if fails(one.id, at) {
				failed++
				v.Bad(now, one.id)
			} else {
				v.Good(now, one.id)
			}
		}
		d, err := v.Pick(now, plainRequest(), r)
		if err != nil {
			continue
		}
		asked++
		v.Sent(now, d.Endpoint.ID)
		running = append(running, open{d.Endpoint.ID, now.Add(took)})
	}
	return asked, failed
}

// TestGreyEndpoint: one of three endpoints fails four in ten of its requests, though it can be reached and says that
// it is well. Without judging by outcomes 13% of all requests fail.
func TestGreyEndpoint(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	grey := func(id string, _ time.Duration) bool { return id == "e000" && r.Float64() < 0.4 }
	asked, failed := load(view(3), 90, 30*time.Second, grey)
	assert.Assert(t, asked > 2600, "%d asked", asked)
	assert.Assert(t, failed < asked/30, "%d of %d failed", failed, asked)
}

// TestGreyEndpointReturns: when it is well again it gets its share within fifteen seconds.
func TestGreyEndpointReturns(t *testing.T) {
	v := view(3)
	r := rand.New(rand.NewPCG(5, 5))
	got := map[string]int{}
	_, _ = load(v, 90, 30*time.Second, func(id string, at time.Duration) bool {
		if at > 25*time.Second {
			got[id]++
		}
		return id == "e000" && at < 10*time.Second && r.Float64() < 0.4
	})
	assert.Assert(t, got["e000"] > 90, "%v", got)
}

// TestAllFailAlike: where requests fail by nature, no endpoint is left out for it.
func TestAllFailAlike(t *testing.T) {
	r := rand.New(rand.NewPCG(5, 5))
	got := map[string]int{}
	_, _ = load(view(3), 90, 20*time.Second, func(id string, _ time.Duration) bool {
		got[id]++
		return r.Float64() < 0.15
	})
	for id, n := range got {
		assert.Assert(t, n > 400, "%s got %d", id, n)
	}
}

// TestOthersOutcomesCount: what failed other instances is avoided before it fails this one, and one that fails this
// instance only, since the path to it is bad, is avoided here and not there.
func TestOthersOutcomesCount(t *testing.T) {
	v := view(3)
	v.SetPeer(epoch, "f2", Told{Outcomes: map[string]health.Counts{"e000": {Good: 10, Bad: 10}, "e001": {Good: 20, Bad: 1}}})
	for range 50 {
		d, err := v.Pick(epoch, plainRequest(), rnd())
		assert.NilError(t, err)
		assert.Assert(t, d.Endpoint.ID != "e000")
	}
	v.SetPeer(epoch, "f2", Told{})
	later := epoch.Add(time.Second)
	d, err := v.Pick(later, plainRequest(), rnd())
	assert.NilError(t, err)
	assert.Equal(t, d.Endpoint.DataCentre, "dc0") // e000, which is near
	for range 10 {
		v.Bad(later, "e000")
	}
	assert.DeepEqual(t, v.Outcomes(later), map[string]health.Counts{"e000": {Bad: 10}})
	d, err = v.Pick(later.Add(time.Second), plainRequest(), rnd())
	assert.NilError(t, err)
	assert.Assert(t, d.Endpoint.ID != "e000")
}

// TestSlowEngine: an engine that takes four times as long to read gets no prompt while others are idle, is told to
// the others, and gets prompts again some time after.
func TestSlowEngine(t *testing.T) {
	v := view(3)
	for _, n := range v.nodes {
		n.Memory = 88000
	}
	for range 5 {
		v.Read(epoch, "e001", 8000, time.Second)
	}
	v.Read(epoch, "e000", 8000, 4*time.Second)
	ask := &Request{Service: "engines", DataCentre: "dc0", Prompt: 8000, Tokens: 9000, Weights: Weights{Unread: 1, Remote: 0.02, Pace: 1}}
	gets := func(v *View, at time.Time) bool {
		for range 30 {
			d, err := v.Pick(at, ask, rnd())
			assert.NilError(t, err)
			if d.Endpoint.ID == "e000" {
				return true
			}
		}
		return false
	}
	assert.Assert(t, !gets(v, epoch))
	paces := v.Paces(epoch)
	assert.Equal(t, len(paces), 1)
	assert.Assert(t, gets(v, epoch.Add(time.Minute)))
	other := view(3)
	for _, n := range other.nodes {
		n.Memory = 88000
	}
	assert.Assert(t, gets(other, epoch))
	other.SetPeer(epoch, "f1", Told{Paces: paces})
	assert.Assert(t, !gets(other, epoch))
	other.SetPeer(epoch, "f1", Told{})
	assert.Assert(t, gets(other, epoch))
}

// TestSlowEngineIsKnownBeforeItsFirstEvent: it has not read a prompt after three times the usual time.
func TestSlowEngineIsKnownBeforeItsFirstEvent(t *testing.T) {
	v := view(2)
	v.Reading(epoch, "e000", 8000, time.Minute)
	assert.Equal(t, len(v.Paces(epoch)), 0, "nothing to compare it with")
	v.Read(epoch, "e001", 8000, time.Second)
	v.Reading(epoch, "e000", 8000, 1500*time.Millisecond)
	assert.Equal(t, len(v.Paces(epoch)), 0)
	v.Reading(epoch, "e000", 8000, 3*time.Second)
	assert.Equal(t, len(v.Paces(epoch)), 1)
}

// TestTrialIsOneRequest: an endpoint that failed twice gets one request at a time when its pause is over, until one
// succeeds.
func TestTrialIsOneRequest(t *testing.T) {
	v := view(1)
	v.Failed(epoch, "e000")
	v.Failed(epoch, "e000")
	later := epoch.Add(2 * time.Second)
	_, err := v.Pick(later, request(), rnd())
	assert.NilError(t, err)
	v.Sent(later, "e000")
	_, err = v.Pick(later, request(), rnd())
	assert.Equal(t, err, ErrFull)
	v.Succeeded("e000")
	_, err = v.Pick(later, request(), rnd())
	assert.NilError(t, err)
}

// TestTrialLeavesWhatRuns: requests that an endpoint had when it failed another one do not keep it from being tried.
func TestTrialLeavesWhatRuns(t *testing.T) {
	v := view(1)
	v.Sent(epoch, "e000")
	v.Sent(epoch, "e000")
	v.Failed(epoch, "e000")
	v.Failed(epoch, "e000")
	later := epoch.Add(2 * time.Second)
	_, err := v.Pick(later, request(), rnd())
	assert.NilError(t, err)
	v.Sent(later, "e000")
	_, err = v.Pick(later, request(), rnd())
	assert.Equal(t, err, ErrFull)
	v.Finished(later, "e000") // one that ran before
	_, err = v.Pick(later, request(), rnd())
	assert.Equal(t, err, ErrFull)
}
