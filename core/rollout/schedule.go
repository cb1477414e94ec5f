package rollout

import "time"

// Settings of roll-outs. Share and Reserve come with the deployment; see [DefaultSettings] for the rest.
type Settings struct {
	// Share of a service's requests, and Reserve besides, are what a bad target may get until the order's deadline.
	Share, Reserve float64
	// RollBack is the time after which a target found bad must get nothing more.
	RollBack time.Duration
	// UnknownShare is the part of Share that a route's canary uses while its load is not known.
	UnknownShare float64
	// MaxRouteShare is the largest share of one route's requests that a canary gets.
	MaxRouteShare float64
	// Spread is for how much chance the cost of a move is reckoned, in standard deviations of the number of requests.
	Spread float64
	// Hold is how many requests the target may fail or be slow with beyond the baseline's rate before a canary pauses.
	Hold float64
	// ManyAnswers is how many bad answers start the RollBack period. A canary whose target has answered as many requests pauses after
	// the part HoldAfter of that period, if there is evidence against the target.
	ManyAnswers uint64
	HoldAfter   float64
	// Surge is how long requests go to the target under their usual load before the end of the canary, SurgeLead how long before that,
	// and SurgeSettle the longest requests of a service for which it is done: the load of long ones is not reached within the bound.
	Surge, SurgeLead, SurgeSettle time.Duration
	// Ramp is the time over which requests move to the target, in RampSteps.
	Ramp      time.Duration
	RampSteps int
	// Settle is the least time after that until the baseline is stopped. What is left there ends meanwhile, or gets a copy at the target.
	Settle time.Duration
	// SpareShare of the duration, between MinSpare and MaxSpare, is left for the store to take the outcome.
	SpareShare         float64
	MinSpare, MaxSpare time.Duration
	// Unsure is the evidence against a target with which requests do not move to it. It is below 0: a bad build that is moved to harms
	// all callers, a good one that is rolled back can be ordered again.
	Unsure float64
	// MinAnswers is how many answers a target has to have given before requests move to it.
	MinAnswers uint64
	Judge      JudgeSettings
	// judge is the judgement, and canaryShare the share of a canary; nil for [Rollout.canaryShare]. Tests compare others.
	judge       func(t Tally, s JudgeSettings) Judgement
	canaryShare func(s *Settings, perSecond float64, routes int, age, until time.Duration) float64
}

// DefaultSettings returns the settings that docs/design/rollouts.md has measured.
func DefaultSettings() Settings {
	return Settings{
		Share: 0.1, Reserve: 50, RollBack: 5 * time.Second, UnknownShare: 0.4, MaxRouteShare: 0.5, Spread: 2.5, Hold: 15,
		ManyAnswers: 50, HoldAfter: 0.5,
		Surge: 350 * time.Millisecond, SurgeLead: 1500 * time.Millisecond, SurgeSettle: 500 * time.Millisecond,
		Ramp: 200 * time.Millisecond, RampSteps: 2, Settle: 200 * time.Millisecond,
		SpareShare: 0.05, MinSpare: 500 * time.Millisecond, MaxSpare: 30 * time.Second, Unsure: -0.2, MinAnswers: 5,
		Judge: DefaultJudgeSettings(),
		judge: Judge,
	}
}

// schedule are the times of an order, counted from when it was given.
type schedule struct {
	// move is when requests begin to move, lastMove when they have to have begun, and complete when the outcome is to be written.
	move, lastMove, complete time.Duration
	// last is when it is written though requests are left at the baseline.
	last time.Duration
	// shortest is the time before the deadline at which requests have to begin to move, for all to be settled at last.
	shortest time.Duration
	// surge is when the target gets the usual load for a moment; 0 for never.
	surge time.Duration
}

// moveParts: at least one part in so many of an order's duration is a canary.
const moveParts = 3

// schedule returns the times of an order. settle is how long what is left at the baseline usually takes to end.
func (s *Settings) schedule(duration, settle time.Duration) schedule {
	spare := min(max(time.Duration(s.SpareShare*float64(duration)), s.MinSpare), s.MaxSpare)
	complete := max(duration-spare, duration/moveParts)
	if spare/2 <= maxResumeWait {
		complete = max(duration-spare/2, complete)
	}
	moving := s.Ramp + min(max(settle, s.Settle), duration/moveParts)
	move := max(complete-moving, duration/moveParts)
	out := schedule{move: move, lastMove: max(duration-moving, move), complete: complete, last: duration - spare/2, shortest: moving + spare/2}
	if settle <= s.SurgeSettle && move > 2*s.SurgeLead {
		out.surge = move - s.SurgeLead
	}
	return out
}

// maxResumeWait bounds how long a stream that lost its engine waits for the order's deadline before it goes on at the target: its caller
// waits as well.
const maxResumeWait = 300 * time.Millisecond

// ramp returns the share of the requests that have moved some time after they began to.
func (s *Settings) ramp(passed time.Duration) float64 {
	steps := max(s.RampSteps, 1)
	step := 1 + int(float64(steps)*float64(passed)/float64(max(s.Ramp, 1)))
	return min(float64(step)/float64(steps), 1)
}

// rampSaves returns the part of a ramp's requests that do not move.
func (s *Settings) rampSaves() float64 {
	steps := float64(max(s.RampSteps, 1))
	return (steps - 1) / (2 * steps)
}
