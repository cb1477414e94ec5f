package limits

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// streamsAt is when the streams of these tests were observed.
var streamsAt = time.Unix(1000, 0)

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
		t.ObservePrefill(streamsAt, 5000, slower*time.Second)
		t.ObserveStream(streamsAt, 1260, 140, 139, 139*slower*30*time.Millisecond)
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
		least, ok := known.MinDuration(streamsAt, c.work)
		assert.Assert(t, ok, name)
		assert.Assert(t, (least-c.least).Abs() < time.Millisecond, "%s: %v", name, least)
	}
}

// TestMinDurationNeedsSamples: an instance that has just started has no estimate, and so refuses no
// stream.
func TestMinDurationNeedsSamples(t *testing.T) {
	var times StreamTimes
	_, ok := times.MinDuration(streamsAt, StreamWork{PrefillTokens: 5000, OutputTokens: 1260})
	assert.Assert(t, !ok)
	for range minSamples - 1 {
		times.ObserveStream(streamsAt, 1260, 140, 139, 4*time.Second)
	}
	_, ok = times.MinDuration(streamsAt, StreamWork{PrefillTokens: 5000, OutputTokens: 1260})
	assert.Assert(t, !ok)
}

// TestMinDurationFollowsRecentStreams: old samples are dropped once enough other streams were
// served.
func TestMinDurationFollowsRecentStreams(t *testing.T) {
	known := typicalStreams()
	for range maxSamples {
		known.ObservePrefill(streamsAt, 2000, 2*time.Second)
		known.ObserveStream(streamsAt, 50, 50, 49, 49*10*time.Millisecond)
	}
	least, ok := known.MinDuration(streamsAt, StreamWork{PrefillTokens: 2000, OutputTokens: 50})
	assert.Assert(t, ok)
	assert.Assert(t, (least-2500*time.Millisecond).Abs() < time.Millisecond, "%v", least)
}

// TestExpectedOutput: what is left of a running stream is estimated from the same samples as the shortest
// time of a new one.
func TestExpectedOutput(t *testing.T) {
	var none StreamTimes
	_, known := none.ExpectedOutput(1260)
	assert.Assert(t, !known)
	o, known := typicalStreams().ExpectedOutput(1134)
	assert.Assert(t, known)
	assert.Equal(t, o.Events, 126)
	assert.Equal(t, o.TimePerEvent, 30*time.Millisecond)
}

// TestMinDurationOfOtherPrompts guards against times per token that come from prompts of another size. The time to
// the first event of a short prompt hardly depends on its length, so that a long one would seem to take minutes, and
// would be refused for ever.
func TestMinDurationOfOtherPrompts(t *testing.T) {
	long := typicalStreams()
	short := typicalStreams()
	for range 2 * maxSamples {
		short.ObservePrefill(streamsAt, 16, 90*time.Millisecond)
	}
	only := typicalStreams()
	only.prefills = [sizeClasses]samples{}
	for range maxSamples {
		only.ObservePrefill(streamsAt, 16, 90*time.Millisecond)
	}
	const output = 4200 * time.Millisecond
	for name, c := range map[string]struct {
		times *StreamTimes
		size  int
		least time.Duration
	}{
		"long":                          {long, 5000, time.Second},
		"half as long":                  {long, 2500, 500 * time.Millisecond},
		"twice as long as any":          {long, 10000, time.Second},
		"long, short ones since":        {short, 5000, time.Second},
		"short":                         {short, 16, 90 * time.Millisecond},
		"long, only short ones":         {only, 5000, 90 * time.Millisecond},
		"nothing left to prefill":       {short, 0, 0},
		"long, none observed for long":  {long, 5000, time.Second},
		"shorter than the shortest one": {only, 8, 45 * time.Millisecond},
	} {
		least, ok := c.times.MinDuration(streamsAt, StreamWork{PrefillTokens: c.size, OutputTokens: 1260})
		assert.Assert(t, ok, name)
		assert.Assert(t, (least-output-c.least).Abs() < time.Millisecond, "%s: %v", name, least)
	}
}

// TestMinDurationOfOtherMaxima guards against refusing callers who state a far larger maximum of output than they get,
// after others have got all that they stated.
func TestMinDurationOfOtherMaxima(t *testing.T) {
	known := typicalStreams()
	_, ok := known.MinDuration(streamsAt, StreamWork{OutputTokens: 9000})
	assert.Assert(t, !ok, "nothing is known of such maxima")
	_, ok = known.ExpectedOutput(9000)
	assert.Assert(t, !ok)
	for range minSamples {
		known.ObserveStream(streamsAt, 9000, 140, 139, 139*30*time.Millisecond)
	}
	least, ok := known.MinDuration(streamsAt, StreamWork{OutputTokens: 9000})
	assert.Assert(t, ok)
	assert.Assert(t, (least-4200*time.Millisecond).Abs() < time.Millisecond, "%v", least)
}

// TestSamplesExpire: streams are not refused because of times that nothing has confirmed for long.
func TestSamplesExpire(t *testing.T) {
	known, work := typicalStreams(), StreamWork{PrefillTokens: 5000, OutputTokens: 1260}
	_, ok := known.MinDuration(streamsAt.Add(sampleTTL), work)
	assert.Assert(t, ok)
	_, ok = known.MinDuration(streamsAt.Add(sampleTTL+1), work)
	assert.Assert(t, !ok)
	_, ok = known.ExpectedOutput(1260)
	assert.Assert(t, ok, "what is left of running streams")
}

// TestRefusalsAreChecked guards against an estimate with which streams are refused for as long as others confirm it.
// One in checkInterval is let through. After one that ended in time all are let through for a while; if none does,
// nearly all are still refused at once.
func TestRefusalsAreChecked(t *testing.T) {
	const interval = 100 * time.Millisecond
	const seconds = 60
	work, other := StreamWork{PrefillTokens: 5000, OutputTokens: 1260}, StreamWork{PrefillTokens: 100, OutputTokens: 1260}
	for _, inTime := range []bool{false, true} {
		var times StreamTimes
		through, firstAt := 0, time.Duration(0)
		for passed := time.Duration(0); passed < seconds*time.Second; passed += interval {
			now := streamsAt.Add(passed)
			if !times.MayCheck(now, work) {
				continue
			}
			if through++; through == 1 {
				firstAt = passed
			}
			if inTime {
				times.EndedInTime(now, work)
			}
		}
		assert.Assert(t, firstAt == checkInterval, "%v", firstAt)
		if inTime {
			assert.Equal(t, through, int((seconds*time.Second-checkInterval)/interval))
		} else {
			assert.Equal(t, through, int((seconds*time.Second-1)/checkInterval))
		}
		assert.Assert(t, !times.MayCheck(streamsAt.Add(seconds*time.Second), other), "streams of other sizes are refused as before")
	}
}
