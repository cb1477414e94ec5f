package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSharedSilence guards against endpoints that are suspected since many fell silent together, and
// against one that is silent by itself and is not suspected.
func TestSharedSilence(t *testing.T) {
	const (
		endpoints = 12
		timeout   = 400 * time.Millisecond
		pace      = 100 * time.Millisecond
		work      = 20 * time.Millisecond
		// fellSilent is when the silent endpoints stop to answer.
		fellSilent = time.Second
	)
	sent := func(at time.Duration) bool { return at >= 0 && at%pace == 0 }
	for name, c := range map[string]struct {
		silent    int
		suspected bool
	}{
		"one": {1, true}, "two": {2, true}, "a third": {4, false}, "half": {6, false}, "all": {12, false},
	} {
		t.Run(name, func(t *testing.T) {
			v := newTestView(endpoints)
			suspected := map[string]bool{}
			for at := time.Duration(0); at < 5*time.Second; at += work {
				now := epoch.Add(at)
				for i := range endpoints {
					id := fmt.Sprintf("e%03d", i)
					answered, timedOut := at-work, at-timeout
					silent := i < c.silent
					if sent(answered) && (!silent || answered+work < fellSilent) {
						v.Served(now, id)
						v.Succeeded(id)
						v.AnswerEnded(id)
					}
					if sent(timedOut) && silent && timedOut+work >= fellSilent {
						v.AnswerTimedOut(now, id, epoch.Add(timedOut))
						v.AnswerEnded(id)
					}
					if sent(at) {
						v.AwaitAnswer(now, id)
					}
					if v.Suspected(now, id) {
						suspected[id] = true
					}
				}
			}
			want := 0
			if c.suspected {
				want = c.silent
			}
			assert.Equal(t, len(suspected), want, "%v", suspected)
		})
	}
}

// TestSlowRequestIsNoSilence guards against an endpoint that counts as silent since one request takes long
// there, while it answers others.
func TestSlowRequestIsNoSilence(t *testing.T) {
	v := newTestView(2)
	v.Served(epoch.Add(900*time.Millisecond), "e000")
	assert.Assert(t, !v.TimedOut(epoch.Add(time.Second), "e000", epoch))
	assert.Assert(t, !v.nodes["e000"].silence.timedOutLately(epoch.Add(time.Second)))
	v.TimedOut(epoch.Add(2*time.Second), "e000", epoch.Add(time.Second))
	assert.Assert(t, v.nodes["e000"].silence.timedOutLately(epoch.Add(2*time.Second)))
}

// TestSilentEndpointIsPickedLast guards against requests that go on to an endpoint that does not answer, but
// is not suspected, while others of its service do.
func TestSilentEndpointIsPickedLast(t *testing.T) {
	v := newTestView(4)
	for _, id := range []string{"e000", "e001"} {
		v.TimedOut(epoch, id, epoch.Add(-time.Second))
	}
	rnd := testRand()
	for range 20 {
		d, err := v.Pick(epoch, testRequest(), rnd)
		assert.NilError(t, err)
		assert.Assert(t, d.Endpoint.ID == "e002" || d.Endpoint.ID == "e003", d.Endpoint.ID)
	}
}

// TestSilenceEnds checks that an old timeout does not make a later silence a shared one.
func TestSilenceEnds(t *testing.T) {
	v := newTestView(3)
	for _, id := range []string{"e000", "e001"} {
		v.TimedOut(epoch, id, epoch.Add(-time.Second))
	}
	later := epoch.Add(silenceTTL + time.Second)
	v.Served(later, "e001")
	assert.Assert(t, !v.TimedOut(later.Add(time.Second), "e002", later))
	assert.Assert(t, v.TimedOut(later.Add(time.Second), "e000", later))
	v.Served(later.Add(time.Second), "e002")
	assert.Assert(t, !v.AnswerTimedOut(later.Add(2*time.Second), "e000", later.Add(time.Second)))
}

// TestOpenStreamsAreNoSilence guards against engines that seem silent since they run streams, whose events
// the view is not told of. One that is silent by itself was not suspected then.
func TestOpenStreamsAreNoSilence(t *testing.T) {
	v := newTestView(4)
	for _, id := range []string{"e000", "e001", "e002", "e003"} {
		v.Sent(epoch, id)
	}
	asked := epoch.Add(time.Second)
	v.Served(asked, "e001")
	assert.Assert(t, !v.TimedOut(asked.Add(200*time.Millisecond), "e000", asked))
}
