package routing

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// mixedTokens are the lengths of the prompts of two kinds of requests. Of each prompt's time, mixedFixed does not
// depend on its length.
const (
	mixedShort, mixedLong = 100, 8200
	mixedFixed            = 87 * time.Millisecond
)

func mixedTime(tokens int) time.Duration { return mixedFixed + time.Duration(tokens)*usualPerToken }

// TestMixOfPromptsMakesNoEngineSlow: engines that are used for short prompts only, or for long ones only, are as fast
// as the others. Neither kind may make them look slow or fast.
func TestMixOfPromptsMakesNoEngineSlow(t *testing.T) {
	v, now := newSpeedView(3), epoch
	for i := range 300 {
		tokens, id := mixedShort, "e000"
		switch i % 3 {
		case 1:
			tokens, id = mixedLong, "e001"
		case 2:
			tokens, id = []int{mixedShort, mixedLong}[i/3%2], "e002"
		}
		now = now.Add(100 * time.Millisecond)
		v.ObservePrefill(now, id, tokens, mixedTime(tokens))
		v.ObserveSpeed(now, id, tokens, 1, mixedTime(tokens))
	}
	assert.Equal(t, len(v.Paces(now)), 0, "%v", v.Paces(now))
	for _, id := range []string{"e000", "e001", "e002"} {
		speed, _ := v.Speed(now, id)
		assert.Assert(t, speed > 0.75 && speed < 1.3, "%s: %.2f", id, speed)
	}
}

// idleView returns a view of two engines of the usual speed, with an estimate of the time per prompt token.
func idleView(perToken time.Duration) *View {
	v := newTestView(2)
	for _, n := range v.nodes {
		n.Memory, n.Slots = 88000, 8
	}
	v.usualPrefillOf("engines").ObservePerUnit(epoch, float64(perToken), 1)
	return v
}

// longWithin is the time in which the prompt of a long request has to be prefilled.
const longWithin = 3 * time.Second

func longRequest(v *View) *Request {
	r := &Request{Service: "engines", DataCentre: "dc0", PromptTokens: 8000, Tokens: 9000, Weights: Weights{PendingPrefill: 1, Pace: 1}}
	r.PrefillWithin = v.PrefillWithin(r.Service, r.PromptTokens, longWithin, longWithin)
	return r
}

// TestLatePromptsWait: a prompt that would be on time at its arrival, and is not after it has waited, is not placed
// late: under overload others that are on time need the engines.
func TestLatePromptsWait(t *testing.T) {
	v := idleView(usualPerToken)
	for left, want := range map[time.Duration]time.Duration{longWithin: longWithin, 500 * time.Millisecond: 500 * time.Millisecond, 0: 0} {
		assert.Equal(t, v.PrefillWithin("engines", 8000, left, longWithin), want)
	}
	r := longRequest(v)
	r.PrefillWithin = v.PrefillWithin("engines", 8000, 500*time.Millisecond, longWithin)
	_, err := v.Pick(epoch, r, testRand())
	assert.ErrorIs(t, err, ErrFull)
}

// TestPromptFindsRoomWhereNoOtherIs guards against an estimate that keeps prompts from all engines: as none is placed,
// nothing corrects it. A prompt that takes too long by itself is placed where no other one is ahead, but not behind
// others, nor at an engine that is slower than the others.
func TestPromptFindsRoomWhereNoOtherIs(t *testing.T) {
	for name, c := range map[string]struct {
		perToken time.Duration
		prepare  func(*View)
		picked   bool
	}{
		"usual time":                  {usualPerToken, func(*View) {}, true},
		"usual time, one prompt":      {usualPerToken, func(v *View) { placeAtAll(v, 8000) }, true},
		"usual time, many prompts":    {usualPerToken, func(v *View) { placeAtAll(v, 24000) }, false},
		"too long":                    {time.Millisecond, func(*View) {}, true},
		"too long, one prompt":        {time.Millisecond, func(v *View) { placeAtAll(v, 8000) }, false},
		"too long, a short prompt":    {time.Millisecond, func(v *View) { placeAtAll(v, mixedShort) }, true},
		"too long, all engines slow":  {time.Millisecond, func(v *View) { slowDown(v, 2) }, false},
		"too long, one engine slow":   {time.Millisecond, func(v *View) { slowDown(v, 1) }, true},
		"usual time, all engines 2.5": {usualPerToken, func(v *View) { slowDown(v, 2) }, true},
	} {
		t.Run(name, func(t *testing.T) {
			v := idleView(c.perToken)
			c.prepare(v)
			r := longRequest(v)
			_, err := v.Pick(epoch, r, testRand())
			assert.Equal(t, err == nil, c.picked, "%v", err)
			granted := v.Claim(epoch, "e001", "f1", Claim{Tokens: r.Tokens, PendingPrefill: r.PromptTokens, PrefillWithin: r.PrefillWithin}).Granted
			assert.Equal(t, granted, c.picked)
		})
	}
}

func placeAtAll(v *View, pending int) {
	for id := range v.nodes {
		v.Place(id, Placed{Tokens: pending, PendingPrefill: pending})
	}
}

// slowDown makes some engines take 2.5 times the usual time.
func slowDown(v *View, engines int) {
	for i := range engines {
		v.observe(testEndpoint(i).ID).pace.Observe(epoch, 4.6)
	}
}

// TestSlowEnginesGetPromptsAgain: engines that are found slow get no prompts that would be late there, until their
// observed paces have decayed, within seconds.
func TestSlowEnginesGetPromptsAgain(t *testing.T) {
	v := idleView(time.Millisecond)
	slowDown(v, 2)
	_, err := v.Pick(epoch, longRequest(v), testRand())
	assert.ErrorIs(t, err, ErrFull)
	_, err = v.Pick(epoch.Add(5*time.Second), longRequest(v), testRand())
	assert.NilError(t, err)
}

// TestHeldBackPromptsCorrectTheEstimate guards against an estimate that keeps prompts from engines for the deadlines of
// the streams there, and that nothing corrects as none is placed.
func TestHeldBackPromptsCorrectTheEstimate(t *testing.T) {
	const interval = 100 * time.Millisecond
	for name, c := range map[string]struct {
		confirmed bool          // prompts of other engines confirm the estimate
		pause     time.Duration // between the prompts
		pending   int
		granted   bool
	}{
		"unconfirmed":             {false, interval, 0, true},
		"confirmed":               {true, interval, 0, false},
		"another prompt there":    {false, interval, 100, false},
		"only now and then":       {false, 2 * maxUnconfirmed, 0, false},
		"confirmed, now and then": {true, 2 * maxUnconfirmed, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			v, now := slackView(true), epoch
			v.Place("e", Placed{PendingPrefill: c.pending})
			granted := false
			for range 100 {
				now = now.Add(c.pause)
				placeStream(v, now, 1, slackPrefill)
				if c.confirmed {
					v.ObservePrefill(now, "e", slackPrompt, slackPrefill)
				}
				granted = granted || v.Claim(now, "e", "peer", slackClaim()).Granted
				v.RemoveStream("e", 1)
				v.Finished(now, "e")
				v.Release("e", Placed{Tokens: slackPrompt + 1000})
			}
			assert.Equal(t, granted, c.granted)
		})
	}
}

// TestOutputTimesOfOtherCallers guards against a time per output token that comes from callers who get all they ask
// for, and keeps away those who state a far larger maximum than they get.
func TestOutputTimesOfOtherCallers(t *testing.T) {
	const perToken = 5 * time.Millisecond
	for name, c := range map[string]struct {
		maximum int
		age     time.Duration
		granted bool
	}{
		"the same maximum":          {1000, 0, false},
		"about the same":            {900, 0, false},
		"a far larger maximum":      {8000, 0, true},
		"a far smaller maximum":     {100, 0, true},
		"observed some time ago":    {1000, outputTimeTTL, true},
		"observed a short time ago": {1000, outputTimeTTL - time.Second, false},
	} {
		v := slackView(true)
		for i := range 6 {
			placeStream(v, epoch, uint64(i), time.Hour)
		}
		s := runningStream(epoch, time.Hour)
		s.OutputTokens, s.TimePerOutputToken = 1000, perToken
		v.SetStream(epoch, "e", 0, s)
		claim := Claim{Tokens: slackPrompt + c.maximum, PendingPrefill: slackPrompt, OutputWithin: 2 * time.Second}
		granted := v.Claim(epoch.Add(c.age), "e", "peer", claim).Granted
		assert.Equal(t, granted, c.granted, name)
	}
}
