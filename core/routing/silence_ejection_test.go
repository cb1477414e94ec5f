package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func viewOf(n int) *View {
	v := NewView(DefaultSettings())
	for i := range n {
		v.Upsert(Endpoint{ID: fmt.Sprint("e", i), Service: "s", Address: fmt.Sprint("a", i), Slots: 8, DataCentre: "dc"})
	}
	return v
}

// TestOneSilenceIsOneFailure guards against excluding an engine for fifteen seconds, and sending it one
// request at a time afterwards, since each of its streams counted the same silence.
func TestOneSilenceIsOneFailure(t *testing.T) {
	v := viewOf(12)
	counted := 0
	for i := range 8 {
		if v.Silent(epoch.Add(time.Duration(i)*time.Millisecond), "e0") {
			counted++
		}
	}
	assert.Equal(t, counted, 1)
	assert.Assert(t, v.Suspected(epoch.Add(900*time.Millisecond), "e0"), "it is suspected as soon as before")
	assert.Assert(t, !v.Suspected(epoch.Add(1100*time.Millisecond), "e0"))
	assert.Assert(t, !v.nodes["e0"].trust.OnTrial())
}

// TestLongSilenceIsSuspectedLonger guards against sending requests again and again to an engine that
// stays silent.
func TestLongSilenceIsSuspectedLonger(t *testing.T) {
	v := viewOf(12)
	v.Silent(epoch, "e0")
	v.Silent(epoch.Add(1500*time.Millisecond), "e0")
	assert.Assert(t, v.Suspected(epoch.Add(3400*time.Millisecond), "e0"))
	assert.Assert(t, v.nodes["e0"].trust.OnTrial())
	v.Answered(epoch.Add(3450*time.Millisecond), "e0")
	assert.Assert(t, !v.nodes["e0"].trust.OnTrial(), "a sign of life ends all of it")
}

// TestSignOfLifeEndsSilenceOnly guards against avoiding an engine that has gone on after a pause, and
// against using one whose connections failed.
func TestSignOfLifeEndsSilenceOnly(t *testing.T) {
	v := viewOf(12)
	for _, id := range []string{"e0", "e1", "e2"} {
		v.Silent(epoch, id)
	}
	v.Failed(epoch.Add(time.Millisecond), "e1")
	v.Failed(epoch, "e3")
	for i := range 4 {
		v.Answered(epoch.Add(2*time.Millisecond), fmt.Sprint("e", i))
	}
	assert.DeepEqual(t, v.Suspects(epoch.Add(3*time.Millisecond)), []string{"e1", "e3"})
}
