package routing

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/agateway/agateway/core/route"
)

const (
	slackPrompt  = 8000
	slackPrefill = time.Second // of slackPrompt tokens
	slackEvent   = 40 * time.Millisecond
)

// slackView returns a view of one engine whose usual prefill time is known.
func slackView(deadlines bool) *View {
	s := DefaultSettings()
	s.Deadlines = deadlines
	v := NewView(s)
	v.Upsert(Endpoint{ID: "e", Service: "s", Slots: 8, Memory: 88000})
	v.usualPrefillOf("s").ObservePerUnit(epoch, float64(slackPrefill)/slackPrompt, 1)
	return v
}

func runningStream(now time.Time, slack time.Duration) RunningStream {
	return RunningStream{Deadline: now.Add(slack + 100*slackEvent), RemainingEvents: 100, TimePerEvent: slackEvent}
}

// setOutputTime sets the time per output token for requests like that of slackClaim.
func setOutputTime(v *View, perToken time.Duration) {
	c := slackClaim()
	v.outputTimes[outputKeyOf("s", c.Tokens-c.PendingPrefill)] = outputTime{perToken, epoch}
}

func slackClaim() Claim { return Claim{Tokens: slackPrompt + 1000, PendingPrefill: slackPrompt} }

// placeStream records a stream of this instance that runs, with its slack.
func placeStream(v *View, now time.Time, key uint64, slack time.Duration) {
	v.Sent(now, "e")
	v.Place("e", Placed{Tokens: slackPrompt + 1000})
	v.SetStream(now, "e", key, runningStream(now, slack))
}

// peerStreams is a report of a peer with one stream, whose slack is announced if it is positive.
func peerStreams(slack time.Duration, pending int) PeerReport {
	t := PeerReport{Placed: map[string]Placed{"e": {Open: 1, Tokens: slackPrompt + 1000, PendingPrefill: pending}}}
	if slack > 0 {
		t.Slacks = map[string]time.Duration{"e": slack}
	}
	return t
}

// TestSlackFallsOnlyByPrefill: time in which a stream gets its events at the best speed leaves its slack as
// it is. A slack that shrank with time would close an engine to prompts whose streams all end in time.
func TestSlackFallsOnlyByPrefill(t *testing.T) {
	v, now := slackView(true), epoch
	s := runningStream(now, 5*time.Second)
	v.SetStream(now, "e", 1, s)
	for range 40 { // one event each 40 ms
		now, s.RemainingEvents = now.Add(slackEvent), s.RemainingEvents-1
		v.SetStream(now, "e", 1, s)
		slack, known := v.OwnSlacks(now)["e"]
		assert.Assert(t, known && slack == 5*time.Second, "%v", slack)
	}
	now, s.RemainingEvents = now.Add(slackPrefill), s.RemainingEvents-5 // a prompt is prefilled beside it
	v.SetStream(now, "e", 1, s)
	slack := v.OwnSlacks(now)["e"]
	assert.Equal(t, slack, 5*time.Second-slackPrefill+5*slackEvent)
	slack = v.OwnSlacks(now.Add(maxStreamAge + time.Second))["e"] // its events stop
	assert.Equal(t, slack, 4*time.Second-slackPrefill+5*slackEvent)
}

// TestPromptIsRefusedWithoutSlack: a prompt that is more urgent than the stream is refused too.
func TestPromptIsRefusedWithoutSlack(t *testing.T) {
	for _, tt := range []struct {
		name    string
		slack   time.Duration
		pending int
		change  func(*Claim)
		granted bool
	}{
		{"enough", slackMargin + slackPrefill, 0, nil, true},
		{"too little", slackMargin + slackPrefill - time.Millisecond, 0, nil, false},
		{"too little, more urgent", slackMargin, 0, func(c *Claim) { c.Priority = route.Priority{Levels: 2} }, false},
		{"a prompt is pending", slackMargin + 2*slackPrefill - time.Millisecond, slackPrompt, nil, false},
		{"enough for both", slackMargin + 2*slackPrefill, slackPrompt, nil, true},
		{"recovery", slackMargin, 0, func(c *Claim) { c.Recovery = true }, true},
		{"prompt in memory", slackMargin, 0, func(c *Claim) { c.PendingPrefill = 0 }, true},
		{"the stream is lost", -slackMargin - time.Millisecond, 0, nil, true},
	} {
		for _, deadlines := range []bool{true, false} {
			v, c := slackView(deadlines), slackClaim()
			placeStream(v, epoch, 1, tt.slack)
			v.Place("e", Placed{PendingPrefill: tt.pending})
			if tt.change != nil {
				tt.change(&c)
			}
			g := v.Claim(epoch, "e", "peer", c)
			assert.Equal(t, g.Granted, tt.granted || !deadlines, "%s, check %v", tt.name, deadlines)
		}
	}
}

// TestLessUrgentPromptsLeaveSlack guards against less urgent streams that use up the slack at all engines,
// so that urgent ones find none: the least urgent leave slackReserve, and an urgent prompt counts those
// ahead of it and one that the engine may have begun.
func TestLessUrgentPromptsLeaveSlack(t *testing.T) {
	const begun = 2 * slackPrefill // one prompt of the other level, and the own one
	for _, tt := range []struct {
		name          string
		slack         time.Duration
		pendingLevel  int
		pending       int
		level         int
		granted, plus bool // with this slack, and with a millisecond more
	}{
		{"least urgent", slackMargin + slackReserve + slackPrefill - time.Millisecond, 1, 0, 1, false, true},
		{"most urgent", minSlackMargin + slackPrefill - time.Millisecond, 1, 0, 0, false, true},
		{"three less urgent prompts pending", minSlackMargin + begun - time.Millisecond, 1, 3, 0, false, true},
		{"an urgent prompt pending", minSlackMargin + begun - time.Millisecond, 0, 1, 0, false, true},
		{"two urgent prompts pending", minSlackMargin + begun, 0, 2, 0, false, false},
		{"urgent prompts are ahead of the least urgent", slackMargin + slackReserve + begun - time.Millisecond, 0, 1, 1, false, true},
	} {
		for _, more := range []bool{false, true} {
			v := slackView(true)
			slack := tt.slack
			if more {
				slack += time.Millisecond
			}
			placeStream(v, epoch, 1, slack)
			for range tt.pending {
				var w Placed
				w.SetPendingPrefill(slackPrompt, route.Priority{Level: tt.pendingLevel, Levels: 2})
				v.Place("e", w)
			}
			c := slackClaim()
			c.Priority = route.Priority{Level: tt.level, Levels: 2}
			want := tt.granted
			if more {
				want = tt.plus
			}
			assert.Equal(t, v.Claim(epoch, "e", "peer", c).Granted, want, "%s, more %v", tt.name, more)
		}
	}
}

// TestPeerSlack: an announced slack holds until its instance announces again, or is lost. What was prefilled
// since is subtracted, and time alone is not.
func TestPeerSlack(t *testing.T) {
	v, now := slackView(true), epoch
	granted := func() bool { return v.CheckSlack(now, "e", &Request{PromptTokens: slackPrompt}).Endangered == false }
	v.SetPeerReport(now, "a", peerStreams(slackMargin+2*slackPrefill, 0))
	v.SetPeerReport(now, "b", peerStreams(0, slackPrompt))
	assert.Assert(t, granted())
	now = now.Add(2 * time.Second) // announcements of a were lost
	assert.Assert(t, granted())
	v.SetPeerReport(now, "b", peerStreams(0, 0)) // its prompt was prefilled
	assert.Assert(t, granted(), "a prompt that has ended counts no more than while it was pending")
	v.SetPeerReport(now, "b", peerStreams(0, slackPrompt))
	assert.Assert(t, !granted(), "what was prefilled since the announcement is missing")
	v.SetPeerReport(now, "b", peerStreams(0, 0))
	v.SetPeerReport(now, "a", peerStreams(slackMargin+2*slackPrefill, 0))
	assert.Assert(t, granted(), "a new announcement replaces what was counted since the former one")
	v.SetPeerReport(now, "a", peerStreams(slackMargin, 0))
	assert.Assert(t, !granted())
	v.SetPeerReport(now, "a", PeerReport{}) // lost, with its streams
	assert.Assert(t, granted())
	v.SetPeerReport(now, "a", peerStreams(0, 0)) // a build that announces none
	assert.Assert(t, granted())
}

// TestSlackOfUnlistedEngine: a slack that was announced before the engine was listed counts from then on.
func TestSlackOfUnlistedEngine(t *testing.T) {
	v := slackView(true)
	v.Remove("e")
	v.SetPeerReport(epoch, "a", peerStreams(slackMargin, 0))
	v.Upsert(Endpoint{ID: "e", Service: "s", Slots: 8, Memory: 88000})
	assert.Assert(t, !v.Claim(epoch, "e", "b", slackClaim()).Granted)
}

// TestPromptOfClaimCountsUntilItEnded: a prompt that was claimed, and prefilled between two reports of its
// instance, is in none of them. If it were forgotten, the slack that others announced before would be too
// large.
func TestPromptOfClaimCountsUntilItEnded(t *testing.T) {
	v, now := slackView(true), epoch
	v.SetPeerReport(now, "a", peerStreams(slackMargin+slackPrefill, 0))
	assert.Assert(t, v.Claim(now, "e", "b", slackClaim()).Granted)
	assert.Assert(t, !v.Claim(now, "e", "b", slackClaim()).Granted)
	now = now.Add(900 * time.Millisecond)
	v.SetPeerReport(now, "b", peerStreams(0, 0))
	assert.Assert(t, !v.Claim(now, "e", "b", slackClaim()).Granted)
}

// TestClaimedStreamHasSlack: the owner knows the slack of a request from its claim. Otherwise further prompts
// could be granted until its instance announces it.
func TestClaimedStreamHasSlack(t *testing.T) {
	v := slackView(true)
	setOutputTime(v, 5*time.Millisecond)
	placeStream(v, epoch, 1, time.Minute)
	c := slackClaim() // its output takes 5 s
	c.OutputWithin = 5*time.Second + slackMargin + slackPrefill/2
	assert.Assert(t, v.Claim(epoch, "e", "a", c).Granted)
	assert.Assert(t, !v.Claim(epoch, "e", "b", slackClaim()).Granted)
}

// TestSummaryCarriesSlack: an instance that does not own the engine learns the slack from its owner, without
// the part of its own streams, which it knows better.
func TestSummaryCarriesSlack(t *testing.T) {
	owner, other := slackView(true), slackView(true)
	other.SetOwned(func(string) bool { return false })
	owner.SetPeerReport(epoch, "a", peerStreams(3*time.Second, 0))
	owner.SetPeerReport(epoch, "asking", peerStreams(time.Second, 0))
	placeStream(owner, epoch, 1, 4*time.Second)
	s, _ := owner.Summary(epoch, "e", "asking", 0)
	assert.Assert(t, s.SlackKnown && s.Slack == 3*time.Second, "%v", s.Slack)
	other.ApplySummary(epoch, &s, 0)
	assert.Assert(t, !other.CheckSlack(epoch, "e", &Request{PromptTokens: slackPrompt}).Endangered)
	s.Slack = slackMargin
	other.ApplySummary(epoch, &s, 0)
	assert.Assert(t, other.CheckSlack(epoch, "e", &Request{PromptTokens: slackPrompt}).Endangered)
}

// TestIdleEngineTakesAnyClaim: an engine without streams is never refused for an estimate, even if a slack
// is still announced and the output can't end in time.
func TestIdleEngineTakesAnyClaim(t *testing.T) {
	for streams, granted := range map[int]bool{0: true, 1: true, 2: true, 3: false} {
		v := slackView(true)
		setOutputTime(v, 5*time.Millisecond)
		if streams == 0 {
			v.SetPeerReport(epoch, "a", PeerReport{Slacks: map[string]time.Duration{"e": 0}})
		}
		for i := range streams {
			placeStream(v, epoch, uint64(i), time.Minute)
		}
		c := slackClaim()
		c.OutputWithin = time.Millisecond
		assert.Equal(t, v.Claim(epoch, "e", "a", c).Granted, granted, "%d streams", streams)
	}
}

// TestOutputHasToEndInTime: beside the streams of an engine, output takes longer than at best.
func TestOutputHasToEndInTime(t *testing.T) {
	const streams, best = 6, 5 * time.Second
	need := best + streams*slackPrefill/2
	for _, tt := range []struct {
		within  time.Duration
		pending int
		granted bool
	}{{need, 0, true}, {need - 1, 0, false}, {need, slackPrompt, false}, {need + slackPrefill, slackPrompt, true}, {0, 0, true}} {
		v := slackView(true)
		setOutputTime(v, best/1000)
		for i := range streams {
			placeStream(v, epoch, uint64(i), time.Minute)
		}
		v.Place("e", Placed{PendingPrefill: tt.pending})
		c := slackClaim()
		c.OutputWithin = tt.within
		assert.Equal(t, v.Claim(epoch, "e", "a", c).Granted, tt.granted, fmt.Sprint(tt))
	}
}

// TestEndedStreamsAreForgotten: streams that stayed would keep prompts from their engine for ever, and take
// memory.
func TestEndedStreamsAreForgotten(t *testing.T) {
	v, now := slackView(true), epoch
	v.SetStream(now, "e", 1, runningStream(now, 0))
	v.SetStream(now, "unknown", 1, runningStream(now, 0))
	assert.Equal(t, len(v.OwnSlacks(now)), 1)
	v.RemoveStream("e", 1)
	v.RemoveStream("unknown", 1)
	assert.Equal(t, len(v.OwnSlacks(now)), 0)
	for range 3 {
		now = now.Add(2 * sweepInterval)
		v.Sweep(now)
	}
	assert.Equal(t, len(v.observed), 0)
}

// TestDeadlinesOfRankedRequestsOnly checks that services without ranks are served as before where the check is
// restricted to ranked requests.
func TestDeadlinesOfRankedRequestsOnly(t *testing.T) {
	for _, ranked := range []bool{false, true} {
		v := slackView(true)
		v.settings.DeadlinesOnlyRanked = true
		placeStream(v, epoch, 1, 0)
		c := slackClaim()
		if ranked {
			c.Priority = route.Priority{Level: 1, Levels: 2}
		}
		assert.Equal(t, v.Claim(epoch, "e", "peer", c).Granted, !ranked, "ranked %v", ranked)
	}
}
