package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// typicalStreams returns the times of an instance that has served some streams: prefill takes a
// millisecond for 5 prompt tokens, an event of 9 tokens takes 30 ms, and one stream in eight is
// slower.
func typicalStreams() *StreamTimes {
	t := &StreamTimes{}
	for i := range 40 {
		slower := time.Duration(1)
		if i%8 == 0 {
			slower = 2
		}
		t.ObservePrefill(5000, slower*time.Second)
		t.ObserveStream(1260, 140, 139, 139*slower*30*time.Millisecond)
	}
	return t
}

// TestMinDuration covers callers that waited on silent connections after all their instances lost
// power, and that return with a part of their time left. Some prompts are no longer cached.
func TestMinDuration(t *testing.T) {
	known := typicalStreams()
	for name, c := range map[string]struct {
		work  StreamWork
		least time.Duration
	}{
		"whole":                       {StreamWork{PrefillTokens: 5000, OutputTokens: 1260}, 5200 * time.Millisecond},
		"prompt kept":                 {StreamWork{OutputTokens: 1260}, 4200 * time.Millisecond},
		"half made, prompt lost":      {StreamWork{PrefillTokens: 5000, OutputTokens: 1260, DeliveredEvents: 70}, 3100 * time.Millisecond},
		"nearly made, prompt kept":    {StreamWork{OutputTokens: 1260, DeliveredEvents: 130}, 300 * time.Millisecond},
		"longer than usual, all made": {StreamWork{PrefillTokens: 1000, OutputTokens: 1260, DeliveredEvents: 190}, 200 * time.Millisecond},
	} {
		least, ok := known.MinDuration(c.work)
		assert.Assert(t, ok, name)
		assert.Assert(t, (least-c.least).Abs() < time.Millisecond, "%s: %v", name, least)
	}
}

// TestMinDurationNeedsSamples: an instance that has just started has no estimate, and so refuses no
// stream.
func TestMinDurationNeedsSamples(t *testing.T) {
	var times StreamTimes
	_, ok := times.MinDuration(StreamWork{PrefillTokens: 5000, OutputTokens: 1260})
	assert.Assert(t, !ok)
	for range minSamples - 1 {
		times.ObserveStream(1260, 140, 139, 4*time.Second)
	}
	_, ok = times.MinDuration(StreamWork{PrefillTokens: 5000, OutputTokens: 1260})
	assert.Assert(t, !ok)
}

// TestMinDurationFollowsRecentStreams: old samples are dropped once enough other streams were
// served.
func TestMinDurationFollowsRecentStreams(t *testing.T) {
	known := typicalStreams()
	for range maxSamples {
		known.ObservePrefill(1000, time.Second)
		known.ObserveStream(100, 100, 99, 99*10*time.Millisecond)
	}
	least, ok := known.MinDuration(StreamWork{PrefillTokens: 2000, OutputTokens: 50})
	assert.Assert(t, ok)
	assert.Assert(t, (least-2500*time.Millisecond).Abs() < time.Millisecond, "%v", least)
}

// TestExpectedOutput: what is left of a running stream is estimated from the same samples as the shortest
// time of a new one.
func TestExpectedOutput(t *testing.T) {
	var none StreamTimes
	_, known := none.ExpectedOutput(1260)
	assert.Assert(t, !known)
	o, known := typicalStreams().ExpectedOutput(630)
	assert.Assert(t, known)
	assert.Equal(t, o.Events, 70)
	assert.Equal(t, o.TimePerEvent, 30*time.Millisecond)
}
